//! Decision whether a call is re-sent or gets its final answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::outcome::{ErrorKind, Outcome};

/// Minimum time after which a refused caller is asked to retry.
const RETRY_AFTER_FLOOR: Duration = Duration::from_millis(250);

/// State of a call when one of its sends has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTerms {
    /// Whether this call or one above it in the chain must not run more than once.
    pub once: bool,
    /// Whether an earlier send of the call may have run ([`Call::may_have_run`](super::Call)).
    pub ran: bool,
    /// Whether the request is suspected of crashing its targets.
    pub suspect: bool,
    /// Whether another target of the service is assumed to have free capacity.
    pub elsewhere: bool,
    /// Number of retry units available.
    pub units: u32,
    /// Time left until the deadline.
    pub left: Duration,
}

/// Next step of the node that sends a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep<A> {
    /// Re-send the call immediately; the send costs one unit.
    Resend,
    /// Send the final answer to the caller immediately.
    Final {
        /// Outcome to report to the caller.
        outcome: Outcome<A>,
        /// Time after which the caller may retry, if a retry can succeed.
        retry_after: Option<Duration>,
    },
}

/// Decides whether a call is re-sent after one of its sends has ended with `outcome`.
///
/// A call that is not re-sent immediately is answered immediately. It never waits for a later
/// re-send, because waiting calls fill queues and leave their callers without an answer. `roll` is
/// a random number.
pub fn next_step<A>(outcome: Outcome<A>, terms: &CallTerms, roll: u64) -> NextStep<A> {
    if may_resend(&outcome, terms) { NextStep::Resend } else { finish(outcome, terms.ran, roll) }
}

/// Retry time, distributed evenly between `base` and twice `base` by the random number `roll`. A
/// `base` below 250 ms counts as 250 ms.
///
/// Without the spread, callers that were refused at the same time would retry at the same time.
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
        // The last send did not run, but an earlier send may have run.
        (Outcome::NotRun { kind, .. }, _) if ran => Outcome::Unknown { kind },
        (Outcome::NotRun { kind, .. }, Some(retry_after)) => Outcome::NotRun { kind, retry_after },
        (other, _) => other,
    };
    NextStep::Final { outcome, retry_after }
}

fn retry_after_for(kind: ErrorKind, base: Duration, roll: u64) -> Option<Duration> {
    kind.reply().retryable.then(|| spread_retry_after(base, roll))
}
