//! At-most-once execution: a binding names the only target incarnation that may run a once-only
//! request.
//!
//! Whether a request runs never depends on a clock or a lease; time only decides how long answers
//! are kept. See [at most once](../../../docs/design/at-most-once.md).

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

/// The only target incarnation that may run a once-only request.
///
/// Only the party that minted a binding for a request may mint the next one, and only after it
/// has proof that the request did not and will not run under the previous one; see
/// [`UnboundCall`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Binding {
    /// Instance of the target.
    pub instance: InstanceId,
    /// Incarnation of the target's node; an instance never uses a number twice.
    pub incarnation: Incarnation,
    /// Window of that incarnation in which the binding was minted.
    pub window: u64,
    /// Number of bindings minted before for the same request; each definite not-run result adds
    /// one.
    pub serial: u32,
}

impl fmt::Display for Binding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.instance, self.incarnation, self.window, self.serial)
    }
}

/// Failure to parse a binding from its text form.
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

/// Execution status of a request; unlike [`Outcome`](crate::Outcome) it can be `Running` and
/// carries no retry delay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunStatus<A> {
    /// The node admitted the request and its run has not ended yet. A duplicate waits for that
    /// run's answer and is not run.
    Running,
    /// The target ran the request; this is its complete answer.
    Done(A),
    /// The request did not run, and no copy that carries the same binding will.
    NotRun(ErrorKind),
    /// The request may have run. It will not be run under the same binding again.
    Unknown(ErrorKind),
}

/// Decision about a copy of a request that arrived at the target's node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunVerdict<A> {
    /// First copy, now recorded. The caller must hand it to the target and report how it ended.
    Run,
    /// Duplicate or refused copy. It must not run; the sender may receive this status.
    Known(RunStatus<A>),
}
