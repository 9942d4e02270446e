//! Choice of the target that gets a call.
