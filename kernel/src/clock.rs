//! The one place that reads the monotonic clock.

use std::time::Instant;

use poplar_core::Moment;

/// Monotonic clock of this process; hands out the `now` that deciding functions take.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Clock whose origin is the present.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Present time.
    pub fn now(&self) -> Moment {
        Moment::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Instant of the runtime's timers that stands for `moment`.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.origin + moment.since(Moment::default())
    }
}
