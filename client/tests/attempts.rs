//! A client never reports a more definite outcome than the results of its sends prove.

use std::time::Duration;

use poplar_client::{Answer, Attempts, Call, ErrorKind, NextStep, Outcome, SendResult};
use poplar_core::Moment;

const NOW: Moment = Moment::from_millis(0);
const RETRY_AFTER: Duration = Duration::from_millis(100);

fn attempts() -> Attempts {
    Attempts::new(&Call::new("armor", "read-listing", Duration::from_secs(1)), NOW)
}

fn refused(kind: ErrorKind) -> SendResult {
    let outcome = Outcome::NotRun { kind, retry_after: RETRY_AFTER };
    SendResult { outcome, binding: None }
}

fn unknown(kind: ErrorKind) -> SendResult {
    SendResult { outcome: Outcome::Unknown { kind }, binding: None }
}

fn needs_binding(binding: &str) -> SendResult {
    SendResult { binding: Some(binding.to_owned()), ..refused(ErrorKind::BindingNeeded) }
}

/// Repeats the same send result until the call ends; returns the number of sends and the outcome.
fn exhaust(attempts: &mut Attempts, result: &SendResult) -> (u32, Outcome<Answer>) {
    let mut sends = 1;
    loop {
        match attempts.on_send_result(NOW, result.clone()) {
            NextStep::Finish(outcome) => return (sends, outcome),
            NextStep::Send(_) => sends += 1,
        }
    }
}

#[test]
fn a_refused_call_is_retried_after_the_given_time_and_at_most_max_sends_times() {
    let mut attempts = attempts();
    let refusal = refused(ErrorKind::Overload);
    assert_eq!(attempts.on_send_result(NOW, refusal.clone()), NextStep::Send(RETRY_AFTER));
    assert!(attempts.is_first_send());
    let (sends, outcome) = exhaust(&mut attempts, &refusal);
    assert_eq!(sends + 1, Call::DEFAULT_SENDS);
    assert_eq!(outcome, refusal.outcome);
}

#[test]
fn a_call_ends_if_the_retry_time_is_after_its_deadline() {
    let late = Moment::from_millis(950);
    let refusal = refused(ErrorKind::Overload);
    assert_eq!(attempts().on_send_result(late, refusal.clone()), NextStep::Finish(refusal.outcome));
}

#[test]
fn a_refusal_after_an_unknown_send_is_unknown() {
    let mut attempts = attempts();
    attempts.on_send_result(NOW, unknown(ErrorKind::Connection));
    assert!(!attempts.is_first_send());
    let (_, outcome) = exhaust(&mut attempts, &refused(ErrorKind::Overload));
    assert_eq!(outcome, Outcome::Unknown { kind: ErrorKind::Overload });
    assert_eq!(attempts.connect_failure(), Outcome::Unknown { kind: ErrorKind::Connection });
}

#[test]
fn a_refusal_under_a_binding_covers_every_send_with_that_binding() {
    let mut attempts = attempts();
    assert_eq!(
        attempts.on_send_result(NOW, needs_binding("0.1.a")),
        NextStep::Send(Duration::ZERO)
    );
    attempts.on_send_result(NOW, unknown(ErrorKind::Connection));
    assert_eq!(attempts.binding(), Some("0.1.a"));
    attempts.on_send_result(NOW, refused(ErrorKind::Draining));
    assert!(attempts.is_first_send() && attempts.binding().is_none());
}

#[test]
fn a_call_ends_if_nodes_only_issue_bindings() {
    let (sends, outcome) = exhaust(&mut attempts(), &needs_binding("0.1.a"));
    assert!(sends <= 2 * Call::DEFAULT_SENDS);
    assert!(matches!(outcome, Outcome::NotRun { kind: ErrorKind::BindingNeeded, .. }));
}

#[test]
fn a_lost_binding_ends_the_call_immediately() {
    let mut attempts = attempts();
    attempts.on_send_result(NOW, needs_binding("0.1.a"));
    let lost = unknown(ErrorKind::BindingLost);
    assert_eq!(attempts.on_send_result(NOW, lost.clone()), NextStep::Finish(lost.outcome));
}

#[test]
fn a_binding_is_not_replaced_while_its_outcome_is_unknown() {
    let mut attempts = attempts();
    attempts.on_send_result(NOW, needs_binding("a/1/0/0"));
    let other =
        SendResult { binding: Some("b/1/0/0".to_owned()), ..unknown(ErrorKind::Connection) };
    attempts.on_send_result(NOW, other);
    assert_eq!(attempts.binding(), Some("a/1/0/0"));
}

#[test]
fn a_binding_that_an_earlier_send_may_have_used_is_accepted_and_does_not_rule_out_a_run() {
    let mut attempts = attempts();
    attempts.on_send_result(Moment::default(), unknown(ErrorKind::Connection));
    let offered = SendResult {
        binding: needs_binding("b/1/0/0").binding,
        ..unknown(ErrorKind::BindingNeeded)
    };
    let step = attempts.on_send_result(Moment::default(), offered);
    assert_eq!(step, NextStep::Send(Duration::ZERO));
    assert_eq!(attempts.binding(), Some("b/1/0/0"));
    assert!(!attempts.is_first_send());
}

#[test]
fn a_draining_entry_node_uses_no_send_but_the_repeats_are_bounded() {
    let mut attempts = attempts();
    assert_eq!(
        attempts.on_send_result(NOW, needs_binding("0.1.a")),
        NextStep::Send(Duration::ZERO)
    );
    let returned = SendResult { binding: Some("0.1.a".to_owned()), ..refused(ErrorKind::Draining) };
    assert_eq!(attempts.on_send_result(NOW, returned.clone()), NextStep::Send(Duration::ZERO));
    assert!(attempts.is_first_send() && attempts.binding() == Some("0.1.a"));
    let (sends, outcome) = exhaust(&mut attempts, &returned);
    assert!(sends <= 2 * Call::DEFAULT_SENDS);
    assert_eq!(outcome, returned.outcome);
}
