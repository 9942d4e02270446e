//! The target's end: admission of a call, its exchange with the target, and what the target says
//! of itself.

pub(crate) mod client;
pub(crate) mod limited_stream;
pub(crate) mod local_target;
pub(crate) mod run;
