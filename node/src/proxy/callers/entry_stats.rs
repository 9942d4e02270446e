//! What became of the requests that entered at this node, and of the work done for them.
//!
//! The node beside a target knows how long a call held a slot, but only the entry learns whether
//! the request completed. Targets that are busy with requests that fail look the same as targets
//! that are short of room; this account tells the two apart. See
//! [operations](../../../../docs/OPERATIONS.md).

use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};

use poplar_core::{Outcome, WorkSum};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::proxy::frame::TargetResponse;

/// Labels of slot time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WorkLabels {
    service: String,
    /// Whether the request completed.
    completed: &'static str,
}

/// Slot time by service and fate of the request.
pub(crate) type WorkFamily = Family<WorkLabels, Counter<f64, AtomicU64>>;

/// Requests that ended since the last look.
#[derive(Debug, Default)]
pub(crate) struct EntryTotals {
    /// Requests that completed.
    pub(crate) served: u32,
    /// Requests that were refused before any target ran them.
    pub(crate) refused: u32,
    /// Requests that failed in another way.
    pub(crate) failed: u32,
    /// Work of the requests that completed.
    pub(crate) useful: WorkSum,
    /// Work of the others.
    pub(crate) wasted: WorkSum,
}

/// Account of one entry.
#[derive(Debug, Default)]
pub(crate) struct EntryStats {
    totals: Mutex<EntryTotals>,
    work: WorkFamily,
}

impl EntryStats {
    /// Counters of slot time.
    pub(crate) fn work_counters(&self) -> WorkFamily {
        self.work.clone()
    }

    /// Takes in the end of a request that took `work`.
    pub(crate) fn record(&self, outcome: &Outcome<TargetResponse>, work: &WorkSum) {
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        let totals = &mut *totals;
        let (count, sum, completed) = match outcome {
            Outcome::Done(whole) if !whole.is_failure() => {
                (&mut totals.served, &mut totals.useful, "yes")
            }
            Outcome::NotRun { .. } => (&mut totals.refused, &mut totals.wasted, "no"),
            Outcome::Done(_) | Outcome::Unknown { .. } => {
                (&mut totals.failed, &mut totals.wasted, "no")
            }
        };
        *count += 1;
        for (service, time) in work.iter() {
            sum.add(service, time);
            let labels = WorkLabels { service: service.to_string(), completed };
            self.work.get_or_create(&labels).inc_by(time.as_secs_f64());
        }
    }

    /// What ended since the last call.
    pub(crate) fn take_totals(&self) -> EntryTotals {
        std::mem::take(&mut *self.totals.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
