//! Tests of the contract state, the log reader and the publisher.

mod judge;
mod log;
mod publish;
mod random;
mod reader;
