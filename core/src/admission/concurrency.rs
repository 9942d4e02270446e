//! Number of calls that may run at once, from announced slots and observed latency.
//!
//! A target that is merely slow takes longer at any concurrency. One that announced more slots
//! than it has takes longer only when many run at once. Comparing runs that started beside few
//! with runs that started beside many, close in time, tells the two apart without experiments
//! that cost goodput. See [overload](../../../docs/design/overload.md).

use std::time::Duration;

use crate::limit::TargetLimits;
use crate::time::Moment;

/// Time over which the two kinds of runs are compared.
const COMPARISON_TIME: Duration = Duration::from_secs(2);
/// Fewest runs of each kind for a comparison.
const RUNS_MIN: u32 = 50;
/// Part of the limit up to which a run counts as one beside few.
const LOW_LOAD: f64 = 0.5;
/// Part of the limit from which a run counts as one beside many.
const HIGH_LOAD: f64 = 0.85;
/// Ratio of latencies from which the target is taken to queue inside.
const RATIO_MAX: f64 = 1.3;
/// Largest part of the limit that one comparison takes off.
const DECREASE_MAX: f64 = 0.2;
/// Part of the slots that one comparison gives back.
const INCREASE_DIVISOR: u32 = 20;

/// Calls in flight, the run itself included, when a run started and when it ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlight {
    pub(crate) start: u32,
    pub(crate) end: u32,
}

/// Sum of latencies of one kind of run.
#[derive(Debug, Default)]
struct LatencySum {
    runs: u32,
    secs: f64,
}

/// Limit with the runs that the next comparison rests on.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limits: TargetLimits,
    limit: u32,
    /// Whether the target has yet to reach its slots for the first time.
    cold: bool,
    window_start: Moment,
    low: LatencySum,
    high: LatencySum,
}

impl ConcurrencyLimit {
    pub(crate) fn new(now: Moment, limits: TargetLimits) -> Self {
        let (low, high) = (LatencySum::default(), LatencySum::default());
        Self { limits, limit: limits.cold, cold: true, window_start: now, low, high }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Takes in a run.
    ///
    /// A run that started beside few and ended beside many, or the other way round, says nothing.
    pub(crate) fn record_run(&mut self, now: Moment, in_flight: InFlight, latency: Duration) {
        if self.cold {
            self.limit = self.limits.slots.min(self.limit + 1);
            self.cold = self.limit < self.limits.slots;
        }
        let limit = f64::from(self.limit.max(1));
        if f64::from(in_flight.start.max(in_flight.end)) <= LOW_LOAD * limit {
            self.low.add(latency);
        } else if f64::from(in_flight.start.min(in_flight.end)) >= HIGH_LOAD * limit {
            self.high.add(latency);
        }
        if now.since(self.window_start) >= COMPARISON_TIME {
            self.compare();
            self.window_start = now;
        }
    }

    fn compare(&mut self) {
        let (low, high) = (std::mem::take(&mut self.low), std::mem::take(&mut self.high));
        if self.cold || high.runs < RUNS_MIN {
            return;
        }
        // A target that is always full shows no run beside few. Its limit rises again until it does,
        // since what lowered it once may be over.
        let comparable = low.runs >= RUNS_MIN;
        let ratio = high.mean() / low.mean().max(f64::MIN_POSITIVE);
        let slots = self.limits.slots;
        self.limit = if comparable && ratio > RATIO_MAX {
            let part = (1.0 / ratio).max(1.0 - DECREASE_MAX);
            self.limits.cold.max((f64::from(self.limit) * part) as u32)
        } else {
            slots.min(self.limit + slots.div_ceil(INCREASE_DIVISOR))
        };
    }
}

impl LatencySum {
    fn add(&mut self, latency: Duration) {
        self.runs += 1;
        self.secs += latency.as_secs_f64();
    }

    fn mean(&self) -> f64 {
        self.secs / f64::from(self.runs.max(1))
    }
}
