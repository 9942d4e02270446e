//! Time as the deciding functions see it: a point on the monotonic clock of one process.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Point in time, counted in microseconds from an origin that only its own process knows.
///
/// Two processes never compare moments; what crosses a process boundary is a duration, because
/// no correctness argument here may rest on synchronised clocks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Moment(u64);

impl Moment {
    /// Moment that lies `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Moment that lies `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, and zero if `earlier` lies in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Moment that lies `span` before this one, and the origin if that would lie before it.
    pub const fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}
