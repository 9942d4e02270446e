//! Decides after each send whether a call has ended or is sent again.

use std::time::Duration;

use poplar_core::{ErrorKind, Moment, Outcome};

use crate::call::{Answer, Call};

/// Retry-after time of the outcome when no node can be connected to.
const CONNECT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of one send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendResult {
    /// Outcome that the node reported, or that follows from the failure of the send.
    pub outcome: Outcome<Answer>,
    /// Binding that came with the answer, in the node's text form.
    pub binding: Option<String>,
}

/// Next step of a call after a send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// The call has ended with this outcome.
    Finish(Outcome<Answer>),
    /// Send the call again after this time.
    Send(Duration),
}

/// State of the sends of one call: what their results showed and how many more are allowed.
///
/// Sending again is safe for every class: a node runs a once-only request only with a binding, and
/// the instance that the binding names runs it once. A send is marked as the first as long as no
/// earlier send can have run, so that a node that cannot rule out earlier runs may still run it.
#[derive(Debug)]
pub struct Attempts {
    /// Moment after which the answer is no longer useful.
    deadline: Moment,
    /// Number of sends that are still allowed.
    sends_left: u32,
    /// Number of sends still allowed after an answer that issued a binding or returned it unused.
    /// They are counted apart from `sends_left`, because the send before ran nothing.
    binding_sends: u32,
    /// Whether no earlier send can have run.
    none_ran: bool,
    /// Binding that the next send carries.
    binding: Option<String>,
}

impl Attempts {
    /// Creates the state for `call`, whose first send is made at `now`.
    pub fn new(call: &Call, now: Moment) -> Self {
        Self {
            deadline: now + call.deadline,
            sends_left: call.max_sends.saturating_sub(1),
            binding_sends: call.max_sends,
            none_ran: true,
            binding: None,
        }
    }

    /// Whether the next send is marked as the first, because no earlier send can have run.
    pub fn is_first_send(&self) -> bool {
        self.none_ran
    }

    /// Binding that the next send carries, in the node's text form.
    pub fn binding(&self) -> Option<&str> {
        self.binding.as_deref()
    }

    /// Time left until the deadline.
    pub fn time_left(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }

    /// Records the result of a send and returns the next step.
    pub fn on_send_result(&mut self, now: Moment, result: SendResult) -> NextStep {
        match result.outcome {
            Outcome::Done(_) => NextStep::Finish(result.outcome),
            Outcome::NotRun { kind, retry_after } => {
                // A refusal under a binding covers every send with that binding, since only the
                // instance that it names could have run them. A request that needs a binding was
                // not run without one. Any other refusal covers a single send.
                self.none_ran |= self.binding.is_some() || kind == ErrorKind::BindingNeeded;
                // A draining entry node returns the binding unused; another entry node accepts it.
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
                    // An earlier send may have run under this binding, so the next send must carry
                    // it to learn the outcome of that run.
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

    /// Outcome when no node can be connected to: `NotRun`, or `Unknown` if an earlier send may have
    /// run.
    pub fn connect_failure(&self) -> Outcome<Answer> {
        self.not_run_or_unknown(ErrorKind::Connection, CONNECT_RETRY_AFTER)
    }

    fn not_run_or_unknown(&self, kind: ErrorKind, retry_after: Duration) -> Outcome<Answer> {
        match self.none_ran {
            true => Outcome::NotRun { kind, retry_after },
            false => Outcome::Unknown { kind },
        }
    }

    /// Uses up one of the sends that follow a binding; false if none is left or no binding was
    /// received.
    fn use_binding_send(&mut self) -> bool {
        if self.binding_sends == 0 || self.binding.is_none() {
            return false;
        }
        self.binding_sends -= 1;
        true
    }

    /// Uses up one send; false if none is left or if the deadline is no later than `now + after`.
    fn use_send(&mut self, now: Moment, after: Duration) -> bool {
        if self.sends_left == 0 || self.deadline.since(now) <= after {
            return false;
        }
        self.sends_left -= 1;
        true
    }
}
