//! Duration of a service's overload, from which the retry time of refused callers is derived.
//!
//! If an overload lasts longer than the retry time that callers are given, they return during the
//! same overload again and again. The remaining duration is unknown, but an overload that has
//! lasted for a while is likely to last about as long again, so the retry time grows with its
//! duration. It is bounded by the latency objective, because a caller that returns too late to get
//! an answer of full value gains nothing by waiting.

use std::time::Duration;

use crate::time::Moment;

/// Time without a refusal after which a shortage has ended.
const QUIET_TIME: Duration = Duration::from_millis(1_000);
/// Lower bound of the mean retry time: levels change within some hundred milliseconds.
const RETRY_MIN: Duration = Duration::from_millis(400);
/// Upper bound of the mean retry time, so that callers return after a long shortage too.
const RETRY_MAX: Duration = Duration::from_secs(10);

/// The mean retry time is at most the objective divided by this number. With the spread up to three
/// halves of the mean, at least a quarter of the objective is left for the run.
const OBJECTIVE_DIVISOR: u32 = 2;

/// Period during which one service, or one that its requests reach, lacks capacity; starts with a
/// refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    first_refusal: Moment,
    last_refusal: Moment,
}

impl Shortage {
    /// Shortage whose first refusal is at `now`.
    pub fn begin(now: Moment) -> Self {
        Self { first_refusal: now, last_refusal: now }
    }

    /// Records a further refusal. If the last one is more than 1 s ago, a new shortage starts.
    pub fn extend(&mut self, now: Moment) {
        if now.since(self.last_refusal) > QUIET_TIME {
            self.first_refusal = now;
        }
        self.last_refusal = now;
    }

    /// Time after which a caller that is refused now should retry, spread by its `tiebreak` between
    /// one half and three halves of the mean.
    ///
    /// The mean is the duration of the shortage so far, between 400 ms and 10 s, but at most half
    /// of `objective`, the latency up to which the answer has its full value.
    pub fn retry_after(&self, now: Moment, tiebreak: u16, objective: Duration) -> Duration {
        let lasted = now.since(self.first_refusal).clamp(RETRY_MIN, RETRY_MAX);
        let base = lasted.min(objective / OBJECTIVE_DIVISOR);
        base / 2 + base.mul_f64(f64::from(tiebreak) / f64::from(u16::MAX))
    }
}
