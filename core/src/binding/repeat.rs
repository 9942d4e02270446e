//! Rules for whether a run may make a call, whether the call needs a binding, and how a bound call
//! may be re-sent.
//!
//! Repeatability is a property of the whole request: a once-only request stays once-only for all
//! calls below it.
//!
//! See [at most once](../../../docs/design/at-most-once.md#the-whole-request).

use super::RunStatus;
use crate::outcome::ErrorKind;

/// Whether a call may run again, as inherited from the request that it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// The root request and every hop above the call may be repeated.
    Repeatable,
    /// The root request or a hop above the call may run only once.
    Once,
}

impl Repeatability {
    /// Converts the once-only flag that is sent with a call.
    pub const fn from_once(once: bool) -> Self {
        if once { Self::Once } else { Self::Repeatable }
    }

    /// Repeatability that a call passes on to the calls that its run makes; `class_repeatable`
    /// says whether the contract declares the call's class repeatable.
    pub const fn for_children(self, class_repeatable: bool) -> Self {
        match self {
            Self::Repeatable if class_repeatable => Self::Repeatable,
            _ => Self::Once,
        }
    }
}

/// Whether and by whom a call is bound to a target incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BindingMode {
    /// The call carries no binding and may run more than once.
    Unbound,
    /// The call runs at most once, under a binding that the caller's node mints.
    Bound,
    /// The call runs at most once for a key that the calling target chose, and the key's binder
    /// mints the binding. Needed because the run that makes the call may be repeated elsewhere.
    Keyed,
}

/// Decides whether a run may make a call of a class, and how the call is bound.
///
/// `parent` is the repeatability that the calls of the run inherit, `class_repeatable` is that of
/// the call's class, and `keyed` says whether the calling target gave the call a key of its own.
///
/// A once-only call without a key from a repeatable request is refused: the request may be re-run
/// on another target, whose node would mint a second binding for the same call. With a key, both
/// runs name the same call.
///
/// # Errors
///
/// Returns [`ErrorKind::OnceInRepeatable`] if the call is refused.
pub const fn binding_mode(
    parent: Repeatability,
    class_repeatable: bool,
    keyed: bool,
) -> Result<BindingMode, ErrorKind> {
    match (parent, class_repeatable) {
        (_, true) => Ok(BindingMode::Unbound),
        (_, false) if keyed => Ok(BindingMode::Keyed),
        (Repeatability::Once, false) => Ok(BindingMode::Bound),
        (Repeatability::Repeatable, false) => Err(ErrorKind::OnceInRepeatable),
    }
}

/// How the party that minted a call's binding may re-send the call, if
/// [`next_step`](crate::next_step) decides that another send is worth a retry unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resend {
    /// Not at all; the outcome is returned to the caller unchanged.
    Never,
    /// To the same incarnation with the same binding, to learn the outcome.
    SameBinding,
    /// To any target, with the next binding.
    NextBinding,
}

/// Decides how a bound call may be re-sent after `status`.
///
/// `NotRun` covers every send under the binding, so it is definite whatever happened to earlier
/// sends. Only a connection failure leaves an outcome that can still be learned; after a lost
/// binding it stays unknown.
pub const fn bound_resend<A>(status: &RunStatus<A>) -> Resend {
    match status {
        RunStatus::Running | RunStatus::Done(_) => Resend::Never,
        RunStatus::NotRun(_) => Resend::NextBinding,
        RunStatus::Unknown(ErrorKind::Connection) => Resend::SameBinding,
        RunStatus::Unknown(_) => Resend::Never,
    }
}
