//! The process beside each target: takes calls in, routes them, admits them, runs them there.
//!
//! [`run`] starts the node with the product's own interface; [`proxy`] is the transparent data
//! plane, which an adapter embeds to run on a platform. Both share admission.

mod admission;
mod announce;
mod attempts;
mod contracts;
mod directory;
mod ends;
mod entry;
mod executor;
mod follow;
mod handover;
mod levels;
mod links;
mod members;
mod metrics;
mod once_table;
mod platform;
mod process;
pub mod proxy;
mod request_owner;
mod router;
mod runs;
mod settings;
mod suspects;
mod target;

pub use process::{StartError, run};
pub use settings::{Settings, TABLE};
