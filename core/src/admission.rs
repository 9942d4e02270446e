//! Admission by importance, with levels that travel up the chain.
