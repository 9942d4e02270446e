//! The caller-facing side: the HTTP/1.1 server, and dispatch of requests to targets with retries.

pub(crate) mod dispatch;
pub(crate) mod end_cause;
pub(crate) mod entry_stats;
pub(crate) mod read_ahead;
pub(crate) mod reply;
pub(crate) mod request_body;
pub(crate) mod serve;
pub(crate) mod watched_stream;
