//! Small stand-ins for the platform's log, for targets and for callers, used only by tests,
//! benchmarks and the demo.
//!
//! By default they listen on ports that the operating system picks. They keep all data in memory
//! and can inject the faults of the platform and its targets.

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
