//! Monotonic clock of the process, the source of the moments that the core works with.

use std::time::Instant;

use poplar_core::Moment;

/// Monotonic clock of this process. Functions of the core take their `now` from it as a parameter.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Current time, as a moment since the clock's origin.
    pub fn now(&self) -> Moment {
        Moment::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Converts `moment` to an instant, as the timers of the runtime use it.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.origin + moment.since(Moment::default())
    }
}
