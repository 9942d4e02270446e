//! Decides after each send whether a call is over or is sent again.

use std::time::Duration;

use poplar_core::{ErrorKind, Moment, Outcome};

use crate::call::{Answer, Call};

/// Time to come back when no node can be connected to.
const CONNECT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What one send brought back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendResult {
    /// Outcome that the node told, or that the failed send leaves.
    pub outcome: Outcome<Answer>,
    /// Binding that came with it, as the node wrote it.
    pub binding: Option<String>,
}

/// What to do after a send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// The call is over.
    Finish(Outcome<Answer>),
    /// Send again after this time.
    Send(Duration),
}

/// Sends of one call: what was learned and what may still be spent.
///
/// Sending again is safe whatever the class: a node runs a once-only request only with a binding,
/// and the binding's holder runs it once. A send is marked as the first one as long as no earlier
/// send can have run, so that a node that cannot vouch for the past may still run it.
#[derive(Debug)]
pub struct Attempts {
    /// Moment after which the answer is of no use.
    deadline: Moment,
    /// Sends that may still be made.
    sends_left: u32,
    /// Sends that may still be made to be given a binding, which run nothing.
    binding_sends: u32,
    /// Whether no earlier send can have run.
    none_ran: bool,
    /// Binding to send with the next send.
    binding: Option<String>,
}

impl Attempts {
    /// Sends of `call`, the first of which is made at `now`.
    pub fn new(call: &Call, now: Moment) -> Self {
        Self {
            deadline: now + call.deadline,
            sends_left: call.max_sends.saturating_sub(1),
            binding_sends: call.max_sends,
            none_ran: true,
            binding: None,
        }
    }

    /// Whether the next send is to be marked as the first.
    pub fn is_first_send(&self) -> bool {
        self.none_ran
    }

    /// Binding for the next send.
    pub fn binding(&self) -> Option<&str> {
        self.binding.as_deref()
    }

    /// Time left until the deadline.
    pub fn time_left(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }

    /// Takes in what a send brought back and says what to do.
    pub fn on_send_result(&mut self, now: Moment, result: SendResult) -> NextStep {
        match result.outcome {
            Outcome::Done(_) => NextStep::Finish(result.outcome),
            Outcome::NotRun { kind, retry_after } => {
                // The holder of a binding speaks for every send under it, and a request that needs
                // a binding was not run without one. Any other refusal speaks for one send only.
                self.none_ran |= self.binding.is_some() || kind == ErrorKind::BindingNeeded;
                // An entry that stops gives the binding back unused; another entry takes it.
                let unused = kind == ErrorKind::Draining && result.binding == self.binding;
                self.binding = result.binding;
                if unused && self.use_binding_send() {
                    return NextStep::Send(Duration::ZERO);
                }
                if kind == ErrorKind::BindingNeeded && self.use_binding_send() {
                    return NextStep::Send(Duration::ZERO);
                }
                if kind.reply().retryable && self.use_send(now, retry_after) {
                    return NextStep::Send(retry_after);
                }
                NextStep::Finish(self.not_run_or_unknown(kind, retry_after))
            }
            Outcome::Unknown { kind } => {
                self.none_ran = false;
                if kind == ErrorKind::BindingNeeded && self.binding.is_none() {
                    // A send may have run under this very binding, so it is the one to ask with.
                    self.binding = result.binding;
                    if self.use_binding_send() {
                        return NextStep::Send(Duration::ZERO);
                    }
                }
                if kind.reply().retryable && self.use_send(now, Duration::ZERO) {
                    return NextStep::Send(Duration::ZERO);
                }
                NextStep::Finish(result.outcome)
            }
        }
    }

    /// Outcome when no node can be connected to: not run, unless an earlier send may have.
    pub fn connect_failure(&self) -> Outcome<Answer> {
        self.not_run_or_unknown(ErrorKind::Connection, CONNECT_RETRY_AFTER)
    }

    fn not_run_or_unknown(&self, kind: ErrorKind, retry_after: Duration) -> Outcome<Answer> {
        match self.none_ran {
            true => Outcome::NotRun { kind, retry_after },
            false => Outcome::Unknown { kind },
        }
    }

    /// Takes one send from those that fetch a binding, if one was given.
    fn use_binding_send(&mut self) -> bool {
        if self.binding_sends == 0 || self.binding.is_none() {
            return false;
        }
        self.binding_sends -= 1;
        true
    }

    /// Takes one send from what is left if it would come before the deadline.
    fn use_send(&mut self, now: Moment, after: Duration) -> bool {
        if self.sends_left == 0 || self.deadline.since(now) <= after {
            return false;
        }
        self.sends_left -= 1;
        true
    }
}
