//! Target that accepts connections and breaks every one of them.
//!
//! The pattern that this answers: a target that is down behind a listener which is not, such as one
//! that restarts. Each request that it is handed may have run, so that sending it on costs the budget
//! for repeats, of which little is left for other requests. Once a few runs in a row have broken, it is
//! handed one at a time to learn when it is back; all others are refused unsent.

use std::time::Duration;

use crate::time::Moment;

/// Runs in a row that must break. A target that loses one answer in thirty does so to that many in a row
/// once in 27,000 runs.
const RESETS_MIN: u32 = 3;
/// First pause between two trials, which doubles; each trial may cost a request.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest such pause; a target takes seconds to come back, and mostly says so itself.
const BACKOFF_MAX: Duration = Duration::from_millis(1_600);

/// How the last runs at one target ended.
#[derive(Debug, Default)]
pub struct ConnectionBreaker {
    resets: u32,
    /// Moment from which the next trial may be.
    next_trial: Moment,
    backoff: Duration,
}

impl ConnectionBreaker {
    /// Whether the target may be handed a request now.
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

    /// Takes in that the connection of a run broke.
    pub fn record_reset(&mut self) {
        self.resets = self.resets.saturating_add(1);
    }

    /// Takes in that the target answered.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }
}
