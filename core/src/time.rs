//! Time as an argument of the decision functions: a point on the monotonic clock of one process.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Point in time, in microseconds since an origin that is specific to the process.
///
/// Moments of different processes are not comparable. Messages between processes contain durations
/// instead, because correctness must not depend on synchronized clocks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Moment(u64);

impl Moment {
    /// Moment `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Moment `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, or zero if `earlier` is later than this moment.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Moment `span` before this one, but not before the origin.
    pub const fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(saturating_micros(span)))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(saturating_micros(span)))
    }
}

const fn saturating_micros(span: Duration) -> u64 {
    let micros = span.as_micros();
    if micros > u64::MAX as u128 { u64::MAX } else { micros as u64 }
}
