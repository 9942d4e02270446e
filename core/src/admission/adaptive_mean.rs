//! Moving average that smooths noise but follows a step change quickly.

use std::time::Duration;

/// Time constant of the fast average, which follows changes.
const FAST: Duration = Duration::from_millis(60);
/// Time constant of the slow average, which smooths noise.
const SLOW: Duration = Duration::from_millis(500);
/// Distance between the two averages, in standard errors of the fast one, above which the quantity
/// is assumed to have changed.
const CHANGE: f64 = 3.0;

/// Two exponentially weighted averages. The slow one is the estimate; it is reset to the fast one
/// when the two differ by more than noise explains.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AdaptiveMean {
    seen: bool,
    fast: f64,
    slow: f64,
}

impl AdaptiveMean {
    /// Current estimate, or `None` before the first observation.
    pub(crate) fn value(&self) -> Option<f64> {
        self.seen.then_some(self.slow)
    }

    /// Records `sample`, the mean over a window of length `span`, with its relative standard error.
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

    /// Multiplies the estimate by `factor`.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.fast *= factor;
        self.slow *= factor;
    }
}

/// Weight of a sample over `span` in an average with the given time constant.
fn weight(span: Duration, time_constant: Duration) -> f64 {
    1.0 - (-span.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
