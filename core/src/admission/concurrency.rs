//! Concurrency limit of one target, derived from its announced slots and its observed latency.
//!
//! A slow target has a high latency at any concurrency. A target that announced more slots than it
//! has shows a high latency only while many calls run at once. Comparing runs at low concurrency
//! with runs at high concurrency from the same period distinguishes the two cases without
//! experiments that would cost goodput. See [overload](../../../docs/design/overload.md).

use std::time::Duration;

use crate::limit::TargetLimits;
use crate::time::Moment;

/// Period over which runs are collected for one comparison.
const COMPARISON_TIME: Duration = Duration::from_secs(2);
/// Minimum number of runs at low and at high concurrency for a comparison.
const RUNS_MIN: u32 = 50;
/// Fraction of the limit up to which a run counts as one at low concurrency.
const LOW_LOAD: f64 = 0.5;
/// Fraction of the limit from which a run counts as one at high concurrency.
const HIGH_LOAD: f64 = 0.85;
/// Ratio of the mean latencies at high and low concurrency above which the target is assumed to
/// queue calls internally.
const RATIO_MAX: f64 = 1.3;
/// Largest fraction by which one comparison lowers the limit.
const DECREASE_MAX: f64 = 0.2;
/// One comparison raises the limit by at most the announced slots divided by this number.
const INCREASE_DIVISOR: u32 = 20;

/// Number of calls in flight, including the run itself, when a run started and when it ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlight {
    pub(crate) start: u32,
    pub(crate) end: u32,
}

/// Number and total latency, in seconds, of the runs at low or at high concurrency.
#[derive(Debug, Default)]
struct LatencySum {
    runs: u32,
    secs: f64,
}

/// Concurrency limit and the runs collected for the next comparison.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limits: TargetLimits,
    limit: u32,
    /// Whether the limit has not reached the announced slots yet; it grows by one with each run
    /// until it does.
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

    /// Records a finished run and compares the collected runs when the period is over.
    ///
    /// A run that was at low concurrency at one end and at high concurrency at the other is not
    /// counted, because its latency cannot be attributed to either.
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
        // A target that is always full has no runs at low concurrency. Its limit rises until it has
        // some, because the condition that lowered the limit may have ended.
        let comparable = low.runs >= RUNS_MIN;
        let ratio = high.mean() / low.mean().max(f64::MIN_POSITIVE);
        let slots = self.limits.slots;
        self.limit = if comparable && ratio > RATIO_MAX {
            let factor = (1.0 / ratio).max(1.0 - DECREASE_MAX);
            self.limits.cold.max((f64::from(self.limit) * factor) as u32)
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
