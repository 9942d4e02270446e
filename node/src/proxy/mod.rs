//! The transparent data plane: routes any HTTP/1.1 request by its host and longest path prefix.
//!
//! Each folder depends only on folders listed after it:
//!
//! * `callers`: serves callers, and sends each request to a target, repeating the send if needed.
//! * `sync`: synchronizes rules, target records and crash records with the store and other nodes.
//! * `links`: connections to other nodes, which carry calls and synchronization messages.
//! * `target`: admission of calls to the local target, and the HTTP exchange with it.
//! * `state`: rules, targets, crash records and the call graph as this node knows them.
//!
//! Persistent data is in the platform's store, which is accessed through `ports`. See
//! [architecture](../../../docs/ARCHITECTURE.md) and [platform](../../../docs/design/platform.md).

mod accept;
mod admin;
mod body_codec;
mod callers;
mod decisions;
mod fields;
mod frame;
mod in_flight;
mod links;
mod locality;
mod memory;
mod metrics;
mod ports;
mod process;
mod report;
mod state;
mod statement;
mod sync;
mod target;
mod unix_time;

pub use accept::accept;
pub use ports::{Bounds, HeaderNames, NodeConfig, Page, Platform, StoreError, StoreRecord, Stream};
pub use process::{Proxy, StartError};
pub use target::local_target::{Announcement, AnnouncementOutcome, LocalTarget};

pub use crate::closing::Closer;
