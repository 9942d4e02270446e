//! Time of day, where something must be compared with what outlives a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch; it may jump with the machine's clock.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
