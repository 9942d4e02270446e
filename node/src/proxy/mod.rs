//! The transparent data plane: any HTTP/1.1 request, routed by host and longest path prefix.
//!
//! One folder for each job, none of which needs one that stands before it:
//!
//! * `callers`: the end for callers, and a request's way over its sends.
//! * `news`: how the node learns of rules and targets, and tells of them.
//! * `links`: connections to other nodes, which carry calls and news.
//! * `target`: admission beside the target, and the exchange with it.
//! * `known`: rules, targets and the call graph, as they are known here.
//!
//! What lasts lies in the platform's store, which is reached through `ports`. See
//! [architecture](../../../docs/ARCHITECTURE.md) and [platform](../../../docs/design/platform.md).

mod accept;
mod admin;
mod callers;
mod decisions;
mod fields;
mod frame;
mod in_flight;
mod links;
mod locality;
mod metrics;
mod ports;
mod process;
mod report;
mod state;
mod sync;
mod target;
mod unix_time;

pub use accept::accept;
pub use ports::{Bounds, HeaderNames, NodeConfig, Page, Platform, StoreError, StoreRecord, Stream};
pub use process::{Proxy, StartError};
pub use target::local_target::{Announcement, AnnouncementOutcome, LocalTarget};
