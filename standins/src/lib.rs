//! Small stand-ins for the platform's log, for targets and for callers: tests and the demo only.
//!
//! They bind to ports that the operating system picks, keep everything in memory, and can be told
//! to fail in the ways that the platform and its targets fail.

mod caller;
mod contract;
mod graph;
mod http;
mod log;
mod relay;
mod target;
mod usage;

pub use caller::{CallTerms, CallerSettings, Report, run_caller};
pub use contract::{ContractOptionError, read_contract};
pub use graph::{ClassGraph, GraphError, MixEntry, parse_mix};
pub use http::{HttpClient, HttpError, Reply, stop_signal};
pub use log::{LogFaults, LogServer, LoseAcks};
pub use relay::Relay;
pub use target::{TargetFaults, TargetServer, TargetSettings};
pub use usage::Usage;
