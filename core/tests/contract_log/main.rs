//! Tests of the contract state, the log reader and the publisher.

mod contract_state;
mod log;
mod log_reader;
mod publish;
mod random;
