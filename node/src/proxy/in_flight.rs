//! Counters of requests, calls and connections in progress, which a stopping process waits for.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Guard that counts one item as in progress until it is dropped.
pub(crate) struct InFlightGuard<'a>(&'a AtomicUsize);

impl<'a> InFlightGuard<'a> {
    pub(crate) fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
