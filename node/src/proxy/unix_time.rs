//! Wall clock time, for comparison with values that outlive a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch. It may jump when the machine's clock is set.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
