//! The process beside each target: takes calls in, routes them, admits them, runs them there.
//!
//! [`run`] starts the node with the product's own interface; [`proxy`] is the transparent data
//! plane, which an adapter embeds to run on a platform. Both share admission.

mod announcer;
mod contracts;
mod directory;
mod entry;
mod gate;
mod handover;
mod keeper;
mod levels;
mod links;
mod log_client;
mod log_sync;
mod members;
mod metrics;
mod once;
mod process;
pub mod proxy;
mod route;
mod runs;
mod sends;
mod servers;
mod settings;
mod suspects;
mod target;
mod work;

pub use process::{StartError, run};
pub use settings::{Settings, TABLE};
