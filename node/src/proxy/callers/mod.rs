//! The callers' end: HTTP/1.1 in and out, and the way of a request over its sends.

pub(crate) mod dispatch;
pub(crate) mod entry_stats;
pub(crate) mod reply;
pub(crate) mod serve;
