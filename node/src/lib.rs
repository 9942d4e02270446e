//! The node: a process beside each target that receives calls, routes them to the nodes of other
//! targets, and admits calls and runs them at its own target.
//!
//! [`run`] starts the node with the product's own interface; [`proxy`] is the transparent data
//! plane, which an adapter embeds to run on a platform. Both share admission.

mod admission;
mod announcer;
mod attempts;
mod closing;
mod contracts;
mod directory;
mod entry;
mod executor;
mod handover;
mod levels;
mod links;
mod log_client;
mod log_sync;
mod members;
mod metrics;
mod once_table;
mod process;
pub mod proxy;
mod request_owner;
mod router;
mod runs;
mod servers;
mod settings;
mod suspects;
mod target;

pub use process::{StartError, run};
pub use settings::{Settings, TABLE};
