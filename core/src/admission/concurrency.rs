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
const EPOCH: Duration = Duration::from_secs(2);
/// Fewest runs of each kind for a comparison.
const RUNS_MIN: u32 = 50;
/// Part of the limit up to which a run counts as one beside few.
const FEW: f64 = 0.5;
/// Part of the limit from which a run counts as one beside many.
const MANY: f64 = 0.85;
/// Ratio of latencies from which the target is taken to queue inside.
const RATIO_MAX: f64 = 1.3;
/// Largest part of the limit that one comparison takes off.
const CUT_MAX: f64 = 0.2;
/// Part of the slots that one comparison gives back.
const STEP: u32 = 20;

/// Calls in flight, the run itself included, when a run started and when it ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Crowd {
    pub(crate) start: u32,
    pub(crate) end: u32,
}

/// Sum of latencies of one kind of run.
#[derive(Debug, Default)]
struct Sample {
    runs: u32,
    secs: f64,
}

/// Limit with the runs that the next comparison rests on.
#[derive(Debug)]
pub(crate) struct Concurrency {
    limits: TargetLimits,
    limit: u32,
    /// Whether the target has yet to reach its slots for the first time.
    cold: bool,
    opened: Moment,
    few: Sample,
    many: Sample,
}

impl Concurrency {
    pub(crate) fn new(now: Moment, limits: TargetLimits) -> Self {
        let (few, many) = (Sample::default(), Sample::default());
        Self { limits, limit: limits.cold, cold: true, opened: now, few, many }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Takes in a run.
    ///
    /// A run that started beside few and ended beside many, or the other way round, says nothing.
    pub(crate) fn finished(&mut self, now: Moment, crowd: Crowd, latency: Duration) {
        if self.cold {
            self.limit = self.limits.slots.min(self.limit + 1);
            self.cold = self.limit < self.limits.slots;
        }
        let limit = f64::from(self.limit.max(1));
        if f64::from(crowd.start.max(crowd.end)) <= FEW * limit {
            self.few.add(latency);
        } else if f64::from(crowd.start.min(crowd.end)) >= MANY * limit {
            self.many.add(latency);
        }
        if now.since(self.opened) >= EPOCH {
            self.compare();
            self.opened = now;
        }
    }

    fn compare(&mut self) {
        let (few, many) = (std::mem::take(&mut self.few), std::mem::take(&mut self.many));
        if self.cold || many.runs < RUNS_MIN {
            return;
        }
        // A target that is always full shows no run beside few. Its limit rises again until it does,
        // since what lowered it once may be over.
        let known = few.runs >= RUNS_MIN;
        let ratio = many.mean() / few.mean().max(f64::MIN_POSITIVE);
        let slots = self.limits.slots;
        self.limit = if known && ratio > RATIO_MAX {
            let part = (1.0 / ratio).max(1.0 - CUT_MAX);
            self.limits.cold.max((f64::from(self.limit) * part) as u32)
        } else {
            slots.min(self.limit + slots.div_ceil(STEP))
        };
    }
}

impl Sample {
    fn add(&mut self, latency: Duration) {
        self.runs += 1;
        self.secs += latency.as_secs_f64();
    }

    fn mean(&self) -> f64 {
        self.secs / f64::from(self.runs.max(1))
    }
}
