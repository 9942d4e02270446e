//! The callers' library: one call in, one of three outcomes out.
//!
//! It draws request ids, keeps the deadline, does the binding handshake of once-only requests,
//! comes back when a node says when to, and hands on only whole answers. It holds no state of a
//! deployment beyond a list of nodes; the nodes decide everything else. See
//! [outcomes](../../docs/design/outcomes.md).
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
//!     Outcome::Done(answer) => println!("{} bytes, whole", answer.body.len()),
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
