//! At most once: which incarnation of which target alone may run a once-only request.
//!
//! No clock and no lease decides whether a request runs; time only decides how long an answer is
//! kept. See [at most once](../../../docs/design/at-most-once.md).

mod attempts;
mod binder;
mod mint;
mod repeat;
mod runs;
mod sealed;
mod window;

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId};
use crate::outcome::ErrorKind;

pub use attempts::{AttemptLimits, AttemptLog, SenderId};
pub use binder::{Binder, BinderAnswer, BinderLimits};
pub use mint::{BoundCall, NotRunProof, UnboundCall, WindowView};
pub use repeat::{BindingMode, Repeatability, Resend, binding_mode, bound_resend};
pub use runs::{RunLimits, RunTable};
pub use sealed::{Handover, HandoverEntry, HandoverError, SealedTable, Successor};

/// Target incarnation that alone may run a once-only request.
///
/// Only the one party that minted a binding for a request may mint the next one, and only after
/// the last was told definitely not run; see [`UnboundCall`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Binding {
    /// Instance of the target.
    pub instance: InstanceId,
    /// Incarnation of the node beside it; never used twice by one instance.
    pub incarnation: Incarnation,
    /// Window of that incarnation in which the binding was minted.
    pub window: u64,
    /// Bindings minted before for the same request; grows by one with each definite not run.
    pub serial: u32,
}

impl fmt::Display for Binding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.instance, self.incarnation, self.window, self.serial)
    }
}

/// Error of reading a binding from its text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected instance/incarnation/window/serial")]
pub struct BindingError;

impl FromStr for Binding {
    type Err = BindingError;

    fn from_str(text: &str) -> Result<Self, BindingError> {
        let mut parts = text.rsplitn(4, '/');
        let serial = number(parts.next())?;
        let window = number(parts.next())?;
        let incarnation = Incarnation(number(parts.next())?);
        let instance = parts.next().filter(|name| !name.is_empty()).ok_or(BindingError)?;
        Ok(Self { instance: instance.into(), incarnation, window, serial })
    }
}

fn number<N: FromStr>(part: Option<&str>) -> Result<N, BindingError> {
    part.ok_or(BindingError)?.parse().map_err(|_| BindingError)
}

/// What is known of a request, without the time to come back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunStatus<A> {
    /// It was handed to the target, whose answer is not there yet: wait for it, do not run it.
    Running,
    /// The target ran it and this is its whole answer.
    Done(A),
    /// It did not run, and no copy that carries the same binding will.
    NotRun(ErrorKind),
    /// It may have run. It is never run on account of this binding again.
    Unknown(ErrorKind),
}

/// Verdict on a copy of a request that reached the node beside the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunVerdict<A> {
    /// First copy, now recorded: hand it to the target, and report how it ended.
    Run,
    /// Do not run it; this is what the sender may be told.
    Known(RunStatus<A>),
}
