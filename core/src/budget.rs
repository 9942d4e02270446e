//! Retry budget: one quantity for the whole chain, moved and never copied.
