//! How long a shortage lasts, and so when a refused caller should come back.
//!
//! The pattern that this answers: a surge that outlasts the patience of its callers. If each is
//! told to come back after the same short time, they return into the same surge, again and again.
//! Nothing tells how long a surge will last, but one that has lasted for a while is likely to last
//! about as long again. A caller whose answer would by then have lost its full value gains nothing
//! by the wait, so it is never told to stay away for longer than leaves time to serve it.

use std::time::Duration;

use crate::time::Moment;

/// Time without a refusal after which a shortage is over.
const QUIET_TIME: Duration = Duration::from_millis(1_000);
/// Shortest mean time to come back: levels move within some hundred milliseconds.
const RETRY_MIN: Duration = Duration::from_millis(400);
/// Longest mean time to come back, so that no caller is sent away for good.
const RETRY_MAX: Duration = Duration::from_secs(10);

/// Part of the objective that is the longest mean time to come back, as a divisor; with the spread,
/// a quarter of the objective or more is left for the run.
const OBJECTIVE_DIVISOR: u32 = 2;

/// Shortage of room at one service, from the first refusal on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    began: Moment,
    last: Moment,
}

impl Shortage {
    /// Shortage that shows at `now`.
    pub fn begin(now: Moment) -> Self {
        Self { began: now, last: now }
    }

    /// Takes in a further refusal; after a pause it belongs to a new shortage.
    pub fn extend(&mut self, now: Moment) {
        if now.since(self.last) > QUIET_TIME {
            self.began = now;
        }
        self.last = now;
    }

    /// Time after which a caller that is refused now should come back, spread by its `lot` between
    /// one half and three halves of what the shortage has lasted.
    ///
    /// `objective` is the latency up to which the answer has its full value.
    pub fn retry_after(&self, now: Moment, lot: u16, objective: Duration) -> Duration {
        let lasted = now.since(self.began).clamp(RETRY_MIN, RETRY_MAX);
        let base = lasted.min(objective / OBJECTIVE_DIVISOR);
        base / 2 + base.mul_f64(f64::from(lot) / f64::from(u16::MAX))
    }
}
