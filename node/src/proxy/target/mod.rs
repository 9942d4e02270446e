//! The target-facing side: admission of calls, HTTP exchanges with the target beside this node, and
//! the target's announcements.

pub(crate) mod client;
pub(crate) mod health_check;
pub(crate) mod limited_stream;
pub(crate) mod local_target;
pub(crate) mod run;
