//! Verification of answers, and the outcome of a run at a target.

use std::time::Duration;

use poplar_core::{
    AnswerError, AnswerHead, AttemptId, ErrorKind, Exchange, Expected, Outcome, RequestId,
    TargetResult,
};
use quickcheck::{Gen, QuickCheck, TestResult};

const EXPECTED: Expected =
    Expected { request: RequestId(1), attempt: AttemptId(2), max_length: 64 };

fn accept(head: &AnswerHead, body: &[u8]) -> Result<Vec<u8>, AnswerError> {
    let exchange = Exchange::new().begin(EXPECTED);
    exchange.accept(head, body.to_vec()).map(|(answer, _)| answer.into_body())
}

fn head_for(body: &[u8]) -> AnswerHead {
    AnswerHead::for_body(EXPECTED.request, EXPECTED.attempt, 200, body)
}

#[test]
fn only_the_complete_answer_to_the_expected_send_is_accepted() {
    let body = b"schedule";
    assert_eq!(accept(&head_for(body), body).as_deref(), Ok(&body[..]));
    let swapped = AnswerHead::for_body(RequestId(9), EXPECTED.attempt, 200, body);
    assert_eq!(accept(&swapped, body), Err(AnswerError::WrongRequest));
    let late = AnswerHead::for_body(EXPECTED.request, AttemptId(1), 200, body);
    assert_eq!(accept(&late, body), Err(AnswerError::WrongAttempt));
    let short = AnswerError::Length { expected: 8, found: 7 };
    assert_eq!(accept(&head_for(body), &body[..7]), Err(short));
    assert_eq!(accept(&head_for(&[0; 65]), &[0; 65]), Err(AnswerError::TooLarge));
    let relabelled = AnswerHead { request: EXPECTED.request, attempt: EXPECTED.attempt, ..swapped };
    assert_eq!(accept(&relabelled, body), Err(AnswerError::Checksum));
}

#[test]
fn a_body_that_differs_from_the_one_in_the_head_is_never_accepted() {
    fn property(body: Vec<u8>, other: Vec<u8>) -> TestResult {
        if body == other {
            return TestResult::discard();
        }
        let open = Expected { max_length: u64::MAX, ..EXPECTED };
        TestResult::from_bool(Exchange::new().begin(open).accept(&head_for(&body), other).is_err())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>, Vec<u8>) -> TestResult);
}

#[test]
fn a_second_answer_and_an_abandoned_wait_consume_the_exchange() {
    let body = b"one";
    let (_, idle) = Exchange::new()
        .begin(EXPECTED)
        .accept(&head_for(body), body)
        .expect("the answer is complete");
    assert_eq!(idle.unsolicited().kind(), ErrorKind::BadAnswer);
    assert_eq!(Exchange::new().begin(EXPECTED).abandon().kind(), ErrorKind::Deadline);
}

#[test]
fn only_the_shed_header_of_a_run_without_calls_means_not_run() {
    let after = Duration::from_secs(1);
    let end = |shed: Option<&str>, calls| {
        TargetResult::Answer { answer: 503, shed: shed.map(String::from), calls }.outcome(after)
    };
    assert_eq!(end(None, 0), Outcome::Done(503), "a 503 without the shed header is an answer");
    assert_eq!(end(Some("yes"), 0), Outcome::Done(503));
    let shed = Outcome::NotRun { kind: ErrorKind::Overload, retry_after: after };
    assert_eq!(end(Some("not-run"), 0), shed);
    assert_eq!(end(Some("not-run"), 1), Outcome::Unknown { kind: ErrorKind::BadAnswer });
}

#[test]
fn only_a_request_without_a_connection_to_the_target_is_not_run() {
    let after = Duration::ZERO;
    type End = TargetResult<()>;
    let not_run = |end: End| matches!(end.outcome(after), Outcome::NotRun { .. });
    assert!(not_run(End::NotConnected));
    for end in [End::ConnectionLost, End::Deadline, End::Cancelled, End::BadAnswer, End::TooLarge] {
        assert!(matches!(end.outcome(after), Outcome::Unknown { .. }));
    }
}

#[test]
fn each_error_kind_has_a_unique_label_and_an_error_status() {
    let mut labels: Vec<_> = ErrorKind::ALL.iter().map(|kind| kind.label()).collect();
    labels.sort_unstable();
    labels.dedup();
    assert_eq!(labels.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        assert!((400..600).contains(&kind.reply().status), "{kind:?}");
        assert_eq!(
            serde_json::to_value(kind).expect("an error kind serializes to a string"),
            kind.label()
        );
    }
}
