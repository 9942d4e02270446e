//! Properties of the fold of the stream of contracts, of its reader and of its publisher.

mod judge;
mod log;
mod publish;
mod random;
mod reader;
