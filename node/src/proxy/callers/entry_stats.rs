//! Statistics of the requests that entered at this node: their outcomes and the slot time spent on
//! them.
//!
//! The node beside a target measures how long a call held a slot, but only the entry node learns
//! whether the request completed. A target busy with requests that fail later looks like a target
//! without spare capacity; splitting slot time by the request's outcome distinguishes the two. See
//! [operations](../../../../docs/OPERATIONS.md).

use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};

use poplar_core::{Outcome, WorkSum};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::proxy::frame::TargetResponse;

/// Labels of the slot-time counters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WorkLabels {
    service: String,
    /// `yes` if the request completed, `no` otherwise.
    completed: &'static str,
}

/// Slot time in seconds, by service and by whether the request completed.
pub(crate) type WorkFamily = Family<WorkLabels, Counter<f64, AtomicU64>>;

/// Totals over the requests that ended since the previous [`EntryStats::take_totals`].
#[derive(Debug, Default)]
pub(crate) struct EntryTotals {
    /// Requests that completed: the target answered with a status below 500.
    pub(crate) served: u32,
    /// Requests that were refused and that no target ran.
    pub(crate) refused: u32,
    /// Requests that a target failed, or whose outcome is unknown.
    pub(crate) failed: u32,
    /// Slot time, by service, of the requests that completed.
    pub(crate) useful: WorkSum,
    /// Slot time, by service, of all other requests.
    pub(crate) wasted: WorkSum,
}

/// Outcome and slot-time statistics of one entry node.
#[derive(Debug, Default)]
pub(crate) struct EntryStats {
    totals: Mutex<EntryTotals>,
    work: WorkFamily,
}

impl EntryStats {
    /// Slot-time counters, for registration with the metrics.
    pub(crate) fn work_counters(&self) -> WorkFamily {
        self.work.clone()
    }

    /// Records that a request ended with `outcome` after `work` was spent on it.
    pub(crate) fn record(&self, outcome: &Outcome<TargetResponse>, work: &WorkSum) {
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        let totals = &mut *totals;
        let (count, sum, completed) = match outcome {
            Outcome::Done(response) if !response.is_failure() => {
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

    /// Returns the totals and resets them.
    pub(crate) fn take_totals(&self) -> EntryTotals {
        std::mem::take(&mut *self.totals.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
