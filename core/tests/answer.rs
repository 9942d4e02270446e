//! Whole answers and the outcome of a run at a target.

use std::time::Duration;

use poplar_core::{
    AnswerError, AnswerHead, AttemptId, ErrorKind, Exchange, Expected, Outcome, RequestId,
    TargetResult,
};
use quickcheck::{Gen, QuickCheck, TestResult};

const HERE: Expected = Expected { request: RequestId(1), attempt: AttemptId(2), max_length: 64 };

fn accept(head: &AnswerHead, body: &[u8]) -> Result<Vec<u8>, AnswerError> {
    let exchange = Exchange::new().begin(HERE);
    exchange.accept(head, body.to_vec()).map(|(whole, _)| whole.into_body())
}

fn sealed(body: &[u8]) -> AnswerHead {
    AnswerHead::for_body(HERE.request, HERE.attempt, 200, body)
}

#[test]
fn only_the_whole_answer_to_this_send_is_accepted() {
    let body = b"schedule";
    assert_eq!(accept(&sealed(body), body).as_deref(), Ok(&body[..]));
    let swapped = AnswerHead::for_body(RequestId(9), HERE.attempt, 200, body);
    assert_eq!(accept(&swapped, body), Err(AnswerError::WrongRequest));
    let late = AnswerHead::for_body(HERE.request, AttemptId(1), 200, body);
    assert_eq!(accept(&late, body), Err(AnswerError::WrongAttempt));
    let short = AnswerError::Length { expected: 8, found: 7 };
    assert_eq!(accept(&sealed(body), &body[..7]), Err(short));
    assert_eq!(accept(&sealed(&[0; 65]), &[0; 65]), Err(AnswerError::TooLarge));
    let relabelled = AnswerHead { request: HERE.request, attempt: HERE.attempt, ..swapped };
    assert_eq!(accept(&relabelled, body), Err(AnswerError::Checksum));
}

#[test]
fn a_changed_byte_bit_or_length_is_never_accepted() {
    fn property(body: Vec<u8>, other: Vec<u8>) -> TestResult {
        if body == other {
            return TestResult::discard();
        }
        let open = Expected { max_length: u64::MAX, ..HERE };
        TestResult::from_bool(Exchange::new().begin(open).accept(&sealed(&body), other).is_err())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>, Vec<u8>) -> TestResult);
}

#[test]
fn a_second_answer_and_an_abandoned_wait_use_the_connection_up() {
    let body = b"one";
    let (_, idle) = Exchange::new().begin(HERE).accept(&sealed(body), body).expect("whole");
    assert_eq!(idle.unsolicited().kind(), ErrorKind::BadAnswer);
    assert_eq!(Exchange::new().begin(HERE).abandon().kind(), ErrorKind::Deadline);
}

#[test]
fn only_the_explicit_shed_signal_of_a_run_without_calls_is_not_run() {
    let after = Duration::from_secs(1);
    let end = |shed: Option<&str>, calls| {
        TargetResult::Answer { answer: 503, shed: shed.map(String::from), calls }.outcome(after)
    };
    assert_eq!(end(None, 0), Outcome::Done(503), "a bare 503 is an answer");
    assert_eq!(end(Some("yes"), 0), Outcome::Done(503));
    let shed = Outcome::NotRun { kind: ErrorKind::Overload, retry_after: after };
    assert_eq!(end(Some("not-run"), 0), shed);
    assert_eq!(end(Some("not-run"), 1), Outcome::Unknown { kind: ErrorKind::BadAnswer });
}

#[test]
fn a_run_is_not_run_only_if_nothing_was_handed_over() {
    let after = Duration::ZERO;
    type End = TargetResult<()>;
    let not_run = |end: End| matches!(end.outcome(after), Outcome::NotRun { .. });
    assert!(not_run(End::NotConnected));
    for end in [End::ConnectionLost, End::Deadline, End::Cancelled, End::BadAnswer, End::TooLarge] {
        assert!(matches!(end.outcome(after), Outcome::Unknown { .. }));
    }
}

#[test]
fn each_error_kind_has_its_own_label_and_an_error_status() {
    let mut labels: Vec<_> = ErrorKind::ALL.iter().map(|kind| kind.label()).collect();
    labels.sort_unstable();
    labels.dedup();
    assert_eq!(labels.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        assert!((400..600).contains(&kind.reply().status), "{kind:?}");
        assert_eq!(serde_json::to_value(kind).expect("a string"), kind.label());
    }
}
