//! Which crash reports of other nodes a node has passed on already.
//!
//! A node passes on what is new to it, so every node that is connected to another learns of each
//! report. What is new to a node cannot be told from its history alone: a report that is received
//! again may have been evicted meanwhile, and its times are relative, so that one that was on its
//! way for long seems to be of a later event. Without a memory of its own, two nodes would pass
//! such reports to each other without end. See
//! [crashing requests](../../docs/design/crashing-requests.md).

use std::collections::HashSet;
use std::time::Duration;

use crate::crashes::TargetLifetime;
use crate::suspects::Fingerprint;
use crate::time::Moment;

/// Time for which a report is remembered at least. No link keeps a message for as long.
const RETENTION: Duration = Duration::from_secs(60);

/// Report that may be passed on once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RelayedReport {
    /// Crash of a target during a run of the request.
    Crash(Fingerprint, TargetLifetime),
    /// Success of the request, with the last crash that it clears, if any is known.
    Success(Fingerprint, Option<TargetLifetime>),
}

/// Reports that were passed on, in two generations. When the current one is too old, it replaces
/// the previous one; when it is full, nothing more is passed on until then.
#[derive(Debug)]
pub(crate) struct RelayedReports {
    generation_max: usize,
    rotated: Moment,
    current: HashSet<RelayedReport>,
    previous: HashSet<RelayedReport>,
}

impl RelayedReports {
    /// Memory of up to `generation_max` reports in each generation.
    pub(crate) fn new(generation_max: usize) -> Self {
        Self {
            generation_max,
            rotated: Moment::default(),
            current: HashSet::new(),
            previous: HashSet::new(),
        }
    }

    /// Whether a report may be passed on at `now`; if so, it counts as passed on. A report that is
    /// not `urgent` leaves half of a generation to those that are.
    pub(crate) fn admit(&mut self, now: Moment, report: RelayedReport, urgent: bool) -> bool {
        if now.since(self.rotated) >= RETENTION {
            self.previous = std::mem::take(&mut self.current);
            self.rotated = now;
        }
        let limit = if urgent { self.generation_max } else { self.generation_max / 2 };
        let known = self.previous.contains(&report) || self.current.contains(&report);
        if known || self.current.len() >= limit {
            return false;
        }
        self.current.insert(report)
    }
}
