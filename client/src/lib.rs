//! Client library for callers: each call ends with one of three outcomes.
//!
//! The client generates request ids, enforces the deadline, performs the binding handshake of
//! once-only requests, retries after the time that a node names and returns only whole answers. The
//! list of nodes is the only state of a deployment that it holds; the nodes decide everything else.
//! See [outcomes](../../docs/design/outcomes.md).
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use poplar_client::{Call, Client, Outcome};
//!
//! # async fn run() {
//! let client = Client::new(vec!["127.0.0.1:7000".to_owned(), "127.0.0.1:7001".to_owned()]);
//! let call = Call::new("armor", "book-reminder", Duration::from_secs(2)).with_body("{}");
//! match client.call(call).await {
//!     Outcome::Done(answer) => println!("whole answer of {} bytes", answer.body.len()),
//!     Outcome::NotRun { kind, .. } => println!("nothing was run: {}", kind.label()),
//!     Outcome::Unknown { kind } => println!("it may have run: {}", kind.label()),
//! }
//! # }
//! ```

mod attempts;
mod call;
mod client;
mod nodes;

pub use attempts::{Attempts, NextStep, SendResult};
pub use call::{Answer, Call};
pub use client::Client;
pub use poplar_core::{ErrorKind, Outcome, RequestId};
