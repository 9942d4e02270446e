//! Requests suspected of crashing their targets.
