//! Repeatability belongs to the whole request: which calls may be made, and which re-sent.
//!
//! See [at most once](../../../docs/design/at-most-once.md#the-whole-request).

use super::Fate;
use crate::outcome::ErrorKind;

/// What a call inherits from the request that it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lineage {
    /// The root request and every hop above may be repeated.
    Repeatable,
    /// The root request or a hop above may run only once.
    Once,
}

impl Lineage {
    /// Lineage from the flag that travels with a call.
    pub const fn from_once(once: bool) -> Self {
        if once { Self::Once } else { Self::Repeatable }
    }

    /// Lineage that a call of a class passes on to the calls that it makes.
    pub const fn below(self, repeatable: bool) -> Self {
        match self {
            Self::Repeatable if repeatable => Self::Repeatable,
            _ => Self::Once,
        }
    }
}

/// How a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRule {
    /// It carries no binding.
    Free,
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
pub const fn call_rule(
    above: Lineage,
    repeatable: bool,
    keyed: bool,
) -> Result<CallRule, ErrorKind> {
    match (above, repeatable) {
        (_, true) => Ok(CallRule::Free),
        (_, false) if keyed => Ok(CallRule::Keyed),
        (Lineage::Once, false) => Ok(CallRule::Bound),
        (Lineage::Repeatable, false) => Err(ErrorKind::OnceInRepeatable),
    }
}

/// What a hop may do with a call that ended without an answer, if it has a retry unit left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resend {
    /// Nothing: the outcome goes to the caller as it is.
    Never,
    /// Send it again, to any target.
    Anywhere,
    /// Send it again to the same incarnation with the same binding.
    SameBinding,
    /// Mint the next binding, for any target, and send it again.
    NextBinding,
}

/// Decides whether a hop may re-send a call.
///
/// `within` is the lineage of the call itself, its own class included. A call under a once-only
/// request that is itself repeatable is re-sent only after a definite not run, because the run
/// above it cannot be taken back.
pub const fn resend_rule<A>(rule: CallRule, within: Lineage, fate: &Fate<A>) -> Resend {
    match (fate, rule) {
        (Fate::Running | Fate::Done(_), _) => Resend::Never,
        (Fate::NotRun(kind) | Fate::Unknown(kind), _) if is_final(*kind) => Resend::Never,
        (Fate::NotRun(_), CallRule::Free) => Resend::Anywhere,
        (Fate::NotRun(_), _) => Resend::NextBinding,
        (Fate::Unknown(ErrorKind::Connection), CallRule::Bound | CallRule::Keyed) => {
            Resend::SameBinding
        }
        (Fate::Unknown(_), CallRule::Free) if matches!(within, Lineage::Repeatable) => {
            Resend::Anywhere
        }
        (Fate::Unknown(_), _) => Resend::Never,
    }
}

/// Whether sending the call again cannot change its outcome.
const fn is_final(kind: ErrorKind) -> bool {
    use ErrorKind as Kind;
    match kind {
        Kind::BadRequest | Kind::UnknownClass | Kind::OnceInRepeatable => true,
        Kind::CrashSuspect | Kind::Deadline | Kind::Cancelled => true,
        Kind::AnswerTooLarge | Kind::RetriesSpent => true,
        Kind::NoContract | Kind::NoTarget | Kind::Overload | Kind::Draining => false,
        Kind::Connection | Kind::BindingLost | Kind::BindingNeeded | Kind::BadAnswer => false,
    }
}

/// Fate of a run whose target gave the explicit shed signal.
///
/// The signal says that the request was shed before it was started. A run that has already made
/// calls was started, whatever the target says.
pub const fn shed_fate<A>(calls: u32) -> Fate<A> {
    if calls == 0 { Fate::NotRun(ErrorKind::Overload) } else { Fate::Unknown(ErrorKind::BadAnswer) }
}

/// Fate of a call over all its sends, when the last of them ended with `last`.
///
/// `open` says that an earlier send ended unknown. A not run then speaks for the whole call only
/// if every send carried the binding that it is about.
pub fn overall_fate<A>(rule: CallRule, open: bool, last: Fate<A>) -> Fate<A> {
    match (last, rule) {
        (Fate::NotRun(kind), CallRule::Free) if open => Fate::Unknown(kind),
        (fate, _) => fate,
    }
}
