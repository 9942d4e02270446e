//! The one decision between sending a call again and answering for good.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::outcome::{ErrorKind, Outcome};

/// Shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_FLOOR: Duration = Duration::from_millis(250);

/// What is known about a call when one of its sends has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTerms {
    /// Whether this call or one above it may not be repeated.
    pub once: bool,
    /// Whether an earlier send of the call may have run ([`Call::may_have_run`](super::Call)).
    pub ran: bool,
    /// Whether the request is suspected of crashing its targets.
    pub suspect: bool,
    /// Whether another target of the service is believed to have room.
    pub elsewhere: bool,
    /// Retry units at hand.
    pub units: u32,
    /// Time until the answer is of no use.
    pub left: Duration,
}

/// What the holder of a call does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep<A> {
    /// Send it again at once; the send takes one unit.
    Resend,
    /// Answer the caller at once and for good.
    Final {
        /// What became of the call.
        outcome: Outcome<A>,
        /// Time after which the caller may come back, where coming back can help.
        retry_after: Option<Duration>,
    },
}

/// Decides what follows the end of one send.
///
/// There is no third way such as waiting: a call that is not sent again now is answered now, since
/// a call that is held back fills queues and tells its caller nothing. `roll` is any random number.
pub fn next_step<A>(outcome: Outcome<A>, terms: &CallTerms, roll: u64) -> NextStep<A> {
    if may_resend(&outcome, terms) { NextStep::Resend } else { finish(outcome, terms.ran, roll) }
}

/// Time to come back, spread evenly over `base` to twice `base`.
///
/// Callers that were refused at the same moment would otherwise return as one wave.
pub fn spread_retry_after(base: Duration, roll: u64) -> Duration {
    let base = base.max(RETRY_AFTER_FLOOR);
    let span = u64::try_from(base.as_micros()).unwrap_or(u64::MAX);
    base.saturating_add(Duration::from_micros(roll % span))
}

fn may_resend<A>(outcome: &Outcome<A>, terms: &CallTerms) -> bool {
    if terms.units == 0 || terms.suspect || terms.left.is_zero() {
        return false;
    }
    match outcome {
        Outcome::Done(_) => false,
        Outcome::NotRun { kind, .. } => terms.elsewhere && other_target_may_help(*kind),
        Outcome::Unknown { kind } => !terms.once && terms.elsewhere && is_connection_failure(*kind),
    }
}

const fn other_target_may_help(kind: ErrorKind) -> bool {
    use ErrorKind::{BindingNeeded, Connection, Draining, NoContract, NoTarget, Overload};
    matches!(kind, BindingNeeded | Connection | Draining | NoContract | NoTarget | Overload)
}

const fn is_connection_failure(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Connection | ErrorKind::BadAnswer)
}

fn finish<A>(outcome: Outcome<A>, ran: bool, roll: u64) -> NextStep<A> {
    let retry_after = match &outcome {
        Outcome::Done(_) => None,
        Outcome::NotRun { kind, retry_after } => retry_after_for(*kind, *retry_after, roll),
        Outcome::Unknown { kind } => retry_after_for(*kind, Duration::ZERO, roll),
    };
    let outcome = match (outcome, retry_after) {
        // The last send did not run, but an earlier one may have.
        (Outcome::NotRun { kind, .. }, _) if ran => Outcome::Unknown { kind },
        (Outcome::NotRun { kind, .. }, Some(retry_after)) => Outcome::NotRun { kind, retry_after },
        (other, _) => other,
    };
    NextStep::Final { outcome, retry_after }
}

fn retry_after_for(kind: ErrorKind, base: Duration, roll: u64) -> Option<Duration> {
    kind.reply().retryable.then(|| spread_retry_after(base, roll))
}
