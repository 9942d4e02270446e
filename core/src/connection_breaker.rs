//! Circuit breaker for a target that accepts connections and then resets every one of them.
//!
//! A target that restarts, for example, may be down while its listener still accepts connections.
//! Each request sent to it may have run, so that re-sending it to another target uses the retry
//! budget, which other requests then lack. After a few resets in a row, only single requests are
//! sent as trials, to detect when the target is back; all others are refused without being sent.

use std::time::Duration;

use crate::time::Moment;

/// Number of resets in a row that opens the breaker. A target that loses one answer in thirty has
/// this many resets in a row once in 27,000 runs.
const RESETS_MIN: u32 = 3;
/// First interval between two trials, which doubles with each trial. Each trial may lose a request.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Maximum interval between two trials. A target takes seconds to come back and usually announces
/// itself when it does.
const BACKOFF_MAX: Duration = Duration::from_millis(1_600);

/// Circuit breaker of one target.
#[derive(Debug, Default)]
pub struct ConnectionBreaker {
    /// Resets since the last answer.
    resets: u32,
    /// Earliest time of the next trial.
    next_trial: Moment,
    backoff: Duration,
}

impl ConnectionBreaker {
    /// Whether a request may be sent to the target now.
    pub fn admit(&mut self, now: Moment) -> bool {
        if self.resets < RESETS_MIN {
            return true;
        }
        let due = now >= self.next_trial;
        if due {
            self.backoff = (self.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
            self.next_trial = now + self.backoff;
        }
        due
    }

    /// Records that the connection was reset during a run.
    pub fn record_reset(&mut self) {
        self.resets = self.resets.saturating_add(1);
    }

    /// Records that the target answered, which closes the breaker.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }
}
