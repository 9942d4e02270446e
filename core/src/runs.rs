//! Requests that one target runs, and the attribution of the target's own calls to them.
//!
//! A target that makes further calls may give them identifiers that extend the one of the request
//! it runs (hierarchical request identifiers). Such a call is attributed to its request: the call
//! inherits the rank of the request, and the services it reaches are recorded for the request. A
//! call whose identifier extends none gets the average mix of the running requests. See
//! [overload](../../docs/design/overload.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::Rank;
use crate::ids::Name;
use crate::mix::{ImportanceMix, ImportanceMixSum};
use crate::work::WorkSum;

/// Request that a target runs.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRequest {
    /// Shedding order of the root request.
    pub rank: Rank,
    /// Requests that the run represents, by importance.
    pub mix: ImportanceMix,
    /// Whether the request, or one that it belongs to, may have run before.
    pub repeat: bool,
    /// Work of the calls that this run made.
    work: WorkSum,
}

/// Requests that one target runs, by their identifiers.
#[derive(Debug, Default)]
pub struct RunningRequests {
    running: HashMap<Box<[u8]>, RunningRequest>,
    sum: ImportanceMixSum,
}

impl RunningRequests {
    /// Adds a request that starts to run. It replaces one with the same identifier.
    pub fn begin(&mut self, id: &[u8], rank: Rank, mix: ImportanceMix, repeat: bool) {
        self.sum.begin(&mix);
        let run = RunningRequest { rank, mix, repeat, work: WorkSum::default() };
        if let Some(replaced) = self.running.insert(id.into(), run) {
            self.sum.end(&replaced.mix);
        }
    }

    /// Removes a request and returns the work of its calls.
    pub fn end(&mut self, id: &[u8]) -> WorkSum {
        let Some(run) = self.running.remove(id) else { return WorkSum::default() };
        self.sum.end(&run.mix);
        run.work
    }

    /// Request that the call `id` belongs to, and its identifier.
    ///
    /// That is the request with the longest identifier that is a prefix of `id` and is followed in
    /// it by a character that is not an ASCII letter or digit.
    pub fn parent<'a>(&self, id: &'a [u8]) -> Option<(&'a [u8], &RunningRequest)> {
        let ends = (1..id.len()).rev().filter(|end| !id[*end].is_ascii_alphanumeric());
        ends.map(|end| &id[..end]).find_map(|prefix| Some((prefix, self.running.get(prefix)?)))
    }

    /// Adds to the request `id` a call that ran at `service` for `time`, and the work of its
    /// `nested` calls.
    pub fn add_call(&mut self, id: &[u8], service: &Name, time: Duration, nested: &WorkSum) {
        if let Some(run) = self.running.get_mut(id) {
            run.work.add_call(service, time, nested);
        }
    }

    /// Mix of a call that belongs to an unknown one of the running requests; `None` if none runs.
    pub fn mean_mix(&self) -> Option<ImportanceMix> {
        self.sum.mean_mix()
    }
}
