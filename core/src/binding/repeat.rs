//! Repeatability belongs to the whole request: which calls may be made, and how bound ones are
//! sent again.
//!
//! See [at most once](../../../docs/design/at-most-once.md#the-whole-request).

use super::RunStatus;
use crate::outcome::ErrorKind;

/// What a call inherits from the request that it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// The root request and every hop above may be repeated.
    Repeatable,
    /// The root request or a hop above may run only once.
    Once,
}

impl Repeatability {
    /// Lineage from the flag that travels with a call.
    pub const fn from_once(once: bool) -> Self {
        if once { Self::Once } else { Self::Repeatable }
    }

    /// Lineage that a call of a class passes on to the calls that it makes.
    pub const fn for_children(self, repeatable: bool) -> Self {
        match self {
            Self::Repeatable if repeatable => Self::Repeatable,
            _ => Self::Once,
        }
    }
}

/// How a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BindingMode {
    /// It carries no binding.
    Unbound,
    /// It runs at most once, under a binding that the caller's node mints.
    Bound,
    /// It runs at most once under the target's own key, through the key's binder, because the
    /// run that makes it may be repeated elsewhere.
    Keyed,
}

/// Decides whether a run may make a call of a class, and how.
///
/// A once-only call from a repeatable request is refused: the request may be re-run on another
/// target, whose node would mint a second binding for the same call. A key of the target's own
/// (`keyed`) makes the two runs name the same call.
pub const fn binding_mode(
    above: Repeatability,
    repeatable: bool,
    keyed: bool,
) -> Result<BindingMode, ErrorKind> {
    match (above, repeatable) {
        (_, true) => Ok(BindingMode::Unbound),
        (_, false) if keyed => Ok(BindingMode::Keyed),
        (Repeatability::Once, false) => Ok(BindingMode::Bound),
        (Repeatability::Repeatable, false) => Err(ErrorKind::OnceInRepeatable),
    }
}

/// How the minter of a bound call may send it again, if [`next_step`](crate::next_step) finds
/// that another send is worth its retry unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resend {
    /// Not at all: the outcome goes to the caller as it is.
    Never,
    /// To the same incarnation with the same binding, to hear what became of it.
    SameBinding,
    /// To any target, with the next binding.
    NextBinding,
}

/// Decides how a bound call may be sent again after `fate`.
///
/// A not run speaks for every send under the binding, so it is definite whatever happened to the
/// sends before. After a lost binding nothing better will ever be known.
pub const fn bound_resend<A>(status: &RunStatus<A>) -> Resend {
    match status {
        RunStatus::Running | RunStatus::Done(_) => Resend::Never,
        RunStatus::NotRun(_) => Resend::NextBinding,
        RunStatus::Unknown(ErrorKind::Connection) => Resend::SameBinding,
        RunStatus::Unknown(_) => Resend::Never,
    }
}
