//! Planned stop of a node: until when it runs calls, and which ones it still takes.
//!
//! A stopping node ends the runs that are left shortly before its grace time is over. Their callers
//! are on other nodes, which may be stopping themselves and must then answer what they have taken.
//! So a stopping node takes a call only if its time limit is reached before the runs end; any other
//! call is refused, and its entry node sends it to another target. See
//! [planned stops](../../docs/design/planned-stops.md).

use std::time::Duration;

use crate::time::Moment;

/// Fraction of the grace time after which the runs that are left are ended. The rest is left for
/// the process to exit on a slow machine.
const RUN_FRACTION: f64 = 0.88;

/// Times of a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct StopPlan {
    run_end: Moment,
}

impl StopPlan {
    /// Plan of a stop that began at `began` and must be over after `grace`.
    pub fn new(began: Moment, grace: Duration) -> Self {
        Self { run_end: began + grace.mul_f64(RUN_FRACTION) }
    }

    /// When the runs that are left are ended.
    pub fn run_end(self) -> Moment {
        self.run_end
    }

    /// Whether a call of another node that has the time `left` until its time limit is taken at
    /// `now`.
    pub fn takes_call(self, now: Moment, left: Duration) -> bool {
        now + left <= self.run_end
    }
}
