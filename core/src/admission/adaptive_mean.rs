//! Estimate of a quantity that is noisy while steady and may change at once.

use std::time::Duration;

/// Memory of the estimate that follows a change.
const FAST: Duration = Duration::from_millis(60);
/// Memory of the estimate that rides out noise.
const SLOW: Duration = Duration::from_millis(500);
/// Distance between the two, in standard errors of the fast one, that counts as a change.
const CHANGE: f64 = 3.0;

/// Two exponentially weighted means; the slow one holds until the fast one leaves it clearly.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AdaptiveMean {
    seen: bool,
    fast: f64,
    slow: f64,
}

impl AdaptiveMean {
    /// Present estimate, once anything was observed.
    pub(crate) fn value(&self) -> Option<f64> {
        self.seen.then_some(self.slow)
    }

    /// Takes in the mean `sample` of a window of length `span` with the given relative error.
    pub(crate) fn observe(&mut self, span: Duration, sample: f64, error: f64) {
        if !self.seen {
            *self = Self { seen: true, fast: sample, slow: sample };
            return;
        }
        let fast = weight(span, FAST);
        self.fast += fast * (sample - self.fast);
        self.slow += weight(span, SLOW) * (sample - self.slow);
        let noise = error * sample.max(self.slow) * (fast / (2.0 - fast)).sqrt();
        if (self.fast - self.slow).abs() > CHANGE * noise {
            self.slow = self.fast;
        }
    }

    /// Multiplies the estimate.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.fast *= factor;
        self.slow *= factor;
    }
}

/// Weight of a sample over `span` in a mean with the given memory.
fn weight(span: Duration, memory: Duration) -> f64 {
    1.0 - (-span.as_secs_f64() / memory.as_secs_f64()).exp()
}
