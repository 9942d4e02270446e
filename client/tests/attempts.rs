//! What a client tells its caller is never more than its sends have shown.

use std::time::Duration;

use poplar_client::{Answer, Attempts, Call, ErrorKind, NextStep, Outcome, SendResult};
use poplar_core::Moment;

const NOW: Moment = Moment::from_millis(0);
const SOON: Duration = Duration::from_millis(100);

fn attempts() -> Attempts {
    Attempts::new(&Call::new("armor", "read-listing", Duration::from_secs(1)), NOW)
}

fn refused(kind: ErrorKind) -> SendResult {
    let outcome = Outcome::NotRun { kind, retry_after: SOON };
    SendResult { outcome, binding: None }
}

fn unknown(kind: ErrorKind) -> SendResult {
    SendResult { outcome: Outcome::Unknown { kind }, binding: None }
}

fn needs(binding: &str) -> SendResult {
    SendResult { binding: Some(binding.to_owned()), ..refused(ErrorKind::BindingNeeded) }
}

/// Receives the same until the call is over; returns the sends made and the outcome.
fn exhaust(attempts: &mut Attempts, received: &SendResult) -> (u32, Outcome<Answer>) {
    let mut sends = 1;
    loop {
        match attempts.on_send_result(NOW, received.clone()) {
            NextStep::Finish(outcome) => return (sends, outcome),
            NextStep::Send(_) => sends += 1,
        }
    }
}

#[test]
fn a_refused_call_comes_back_when_told_and_at_most_as_often_as_it_may() {
    let mut attempts = attempts();
    let refusal = refused(ErrorKind::Overload);
    assert_eq!(attempts.on_send_result(NOW, refusal.clone()), NextStep::Send(SOON));
    assert!(attempts.is_first_send());
    let (sends, outcome) = exhaust(&mut attempts, &refusal);
    assert_eq!(sends + 1, Call::DEFAULT_SENDS);
    assert_eq!(outcome, refusal.outcome);
}

#[test]
fn a_call_is_over_when_the_time_to_come_back_lies_behind_its_deadline() {
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
fn the_holder_of_a_binding_speaks_for_every_send_under_it() {
    let mut attempts = attempts();
    assert_eq!(attempts.on_send_result(NOW, needs("0.1.a")), NextStep::Send(Duration::ZERO));
    attempts.on_send_result(NOW, unknown(ErrorKind::Connection));
    assert_eq!(attempts.binding(), Some("0.1.a"));
    attempts.on_send_result(NOW, refused(ErrorKind::Draining));
    assert!(attempts.is_first_send() && attempts.binding().is_none());
}

#[test]
fn a_node_that_only_hands_out_bindings_does_not_keep_a_call_for_ever() {
    let (sends, outcome) = exhaust(&mut attempts(), &needs("0.1.a"));
    assert!(sends <= 2 * Call::DEFAULT_SENDS);
    assert!(matches!(outcome, Outcome::NotRun { kind: ErrorKind::BindingNeeded, .. }));
}

#[test]
fn a_lost_binding_ends_the_call_at_once() {
    let mut attempts = attempts();
    attempts.on_send_result(NOW, needs("0.1.a"));
    let lost = unknown(ErrorKind::BindingLost);
    assert_eq!(attempts.on_send_result(NOW, lost.clone()), NextStep::Finish(lost.outcome));
}

#[test]
fn a_binding_is_never_exchanged_while_its_outcome_is_open() {
    let mut attempts = attempts();
    attempts.on_send_result(NOW, needs("a/1/0/0"));
    let other =
        SendResult { binding: Some("b/1/0/0".to_owned()), ..unknown(ErrorKind::Connection) };
    attempts.on_send_result(NOW, other);
    assert_eq!(attempts.binding(), Some("a/1/0/0"));
}

#[test]
fn a_binding_that_another_send_may_have_used_is_taken_and_says_nothing_of_the_past() {
    let mut attempts = attempts();
    attempts.on_send_result(Moment::default(), unknown(ErrorKind::Connection));
    let offered =
        SendResult { binding: needs("b/1/0/0").binding, ..unknown(ErrorKind::BindingNeeded) };
    let step = attempts.on_send_result(Moment::default(), offered);
    assert_eq!(step, NextStep::Send(Duration::ZERO));
    assert_eq!(attempts.binding(), Some("b/1/0/0"));
    assert!(!attempts.is_first_send());
}

#[test]
fn an_entry_that_stops_costs_no_send_but_not_without_end() {
    let mut attempts = attempts();
    assert_eq!(attempts.on_send_result(NOW, needs("0.1.a")), NextStep::Send(Duration::ZERO));
    let returned = SendResult { binding: Some("0.1.a".to_owned()), ..refused(ErrorKind::Draining) };
    assert_eq!(attempts.on_send_result(NOW, returned.clone()), NextStep::Send(Duration::ZERO));
    assert!(attempts.is_first_send() && attempts.binding() == Some("0.1.a"));
    let (sends, outcome) = exhaust(&mut attempts, &returned);
    assert!(sends <= 2 * Call::DEFAULT_SENDS);
    assert_eq!(outcome, returned.outcome);
}
