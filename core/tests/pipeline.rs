//! Requests that a client sends behind an unanswered one on the same connection.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use poplar_core::{
    CallerLimits, HeadEnd, HeadSearch, Pipeline, PipelineBudget, PipelineLimits, PipelinedHead,
    StartDecision,
};
use quickcheck::{Gen, QuickCheck};

const LIMITS: PipelineLimits = PipelineLimits {
    connection_requests: 3,
    connection_bytes: 1_000,
    process_requests: 4,
    process_bytes: 1_500,
};
const CALLERS: CallerLimits = CallerLimits {
    head: 400,
    body: 1_000,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};
const READ: PipelinedHead = PipelinedHead { repeatable: true, plain: true, last: false, bytes: 90 };
const BOOK: PipelinedHead = PipelinedHead { repeatable: false, ..READ };

fn pipeline() -> Pipeline {
    Pipeline::new(LIMITS, Some(&CALLERS))
}

/// A pipeline whose server has reached `head`, and the decision on one request behind it.
fn behind(head: PipelinedHead, next: PipelinedHead) -> StartDecision {
    let mut pipeline = pipeline();
    pipeline.begin(head);
    pipeline.decide(next, false, &mut PipelineBudget::new(LIMITS))
}

/// A request that must not run twice may neither pass those in front of it nor be passed.
#[test]
fn only_repeatable_requests_are_started_behind_repeatable_ones() {
    assert_eq!(behind(READ, READ), StartDecision::Start);
    assert_eq!(behind(READ, BOOK), StartDecision::InSequence);
    assert_eq!(behind(BOOK, READ), StartDecision::InSequence);
    assert_eq!(behind(BOOK, BOOK), StartDecision::InSequence);
    let (mut pipeline, mut budget) = (pipeline(), PipelineBudget::new(LIMITS));
    pipeline.begin(READ);
    assert_eq!(pipeline.decide(BOOK, false, &mut budget), StartDecision::InSequence);
    // The request behind it waits too, until the server has reached one that may run again.
    assert_eq!(pipeline.decide(READ, false, &mut budget), StartDecision::InSequence);
    pipeline.begin(BOOK);
    assert_eq!(pipeline.decide(READ, false, &mut budget), StartDecision::InSequence);
    pipeline.begin(READ);
    assert_eq!(pipeline.decide(READ, false, &mut budget), StartDecision::Start);
}

/// Bytes behind a body, an upgrade or a head that is too large may not be a request.
#[test]
fn nothing_is_started_at_or_behind_an_unusual_request() {
    let with_body = PipelinedHead { plain: false, ..READ };
    let large = PipelinedHead { bytes: 401, ..READ };
    for unusual in [with_body, large] {
        assert_eq!(behind(READ, unusual), StartDecision::InSequence, "{unusual:?}");
        assert_eq!(behind(unusual, READ), StartDecision::InSequence, "{unusual:?}");
    }
    let (mut pipeline, mut budget) = (pipeline(), PipelineBudget::new(LIMITS));
    pipeline.begin(READ);
    pipeline.stop();
    assert_eq!(pipeline.decide(READ, false, &mut budget), StartDecision::InSequence);
}

/// A client counts requests behind a closing answer as not read and sends them again.
#[test]
fn nothing_is_started_behind_an_answer_that_closes_the_connection() {
    let last = PipelinedHead { last: true, ..READ };
    assert_eq!(behind(last, READ), StartDecision::InSequence);
    let (mut pipeline, mut budget) = (pipeline(), PipelineBudget::new(LIMITS));
    pipeline.begin(READ);
    assert_eq!(pipeline.decide(last, false, &mut budget), StartDecision::Start);
    assert_eq!(pipeline.decide(READ, false, &mut budget), StartDecision::InSequence);
    let mut without_limits = Pipeline::new(LIMITS, None);
    without_limits.begin(READ);
    assert_eq!(without_limits.decide(READ, false, &mut budget), StartDecision::InSequence);
    assert!(without_limits.may_close(false));
}

/// A planned stop: what was started is answered before the connection closes.
#[test]
fn only_the_answer_to_the_last_started_request_closes_the_connection() {
    let (mut pipeline, mut budget) = (pipeline(), PipelineBudget::new(LIMITS));
    pipeline.begin(READ);
    for _ in 0..2 {
        assert_eq!(pipeline.decide(READ, false, &mut budget), StartDecision::Start);
    }
    assert_eq!(pipeline.decide(READ, true, &mut budget), StartDecision::Wait);
    assert!(!pipeline.may_close(true));
    pipeline.take_over(&mut budget);
    assert!(!pipeline.may_close(true));
    pipeline.take_over(&mut budget);
    assert!(pipeline.may_close(true) && !pipeline.may_close(false));
}

/// A client that sends requests endlessly must not fill the slots of a service or the memory.
#[test]
fn limits_hold_on_a_connection_and_in_the_process() {
    let (mut one, mut two) = (pipeline(), pipeline());
    let mut budget = PipelineBudget::new(LIMITS);
    one.begin(READ);
    two.begin(READ);
    let decide = |pipeline: &mut Pipeline, budget: &mut PipelineBudget| {
        pipeline.decide(READ, false, budget) == StartDecision::Start
    };
    assert_eq!((0..9).filter(|_| decide(&mut one, &mut budget)).count(), 3);
    assert_eq!((0..9).filter(|_| decide(&mut two, &mut budget)).count(), 1);
    // A request that was not started may be started once there is room.
    one.take_over(&mut budget);
    assert_eq!((0..9).filter(|_| decide(&mut two, &mut budget)).count(), 1);
    one.cancel(&mut budget);
    two.cancel(&mut budget);
    assert_eq!((budget.requests(), one.started(), two.started()), (0, 0, 0));

    assert_eq!(one.read_room(400, &budget), 600);
    budget.change_bytes(0, 400);
    budget.change_bytes(0, 900);
    assert_eq!(one.read_room(400, &budget), 200);
    assert!(budget.has_room(200) && !budget.has_room(201));
    budget.change_bytes(900, 0);
    assert_eq!(one.read_room(400, &budget), 600);
    // Heads of the largest size that the operator allows must fit.
    let large = Pipeline::new(LIMITS, Some(&CallerLimits { head: 600, ..CALLERS }));
    assert_eq!(large.read_room(400, &budget), 800);
}

/// Parts of heads, which random inputs are composed of.
const PARTS: [&str; 16] = [
    "GET /a HTTP/1.1",
    "POST /b HTTP/1.0",
    "\r\n",
    "\r\n",
    "\r\n",
    "\n",
    "\r",
    "\r\n\r\n",
    "\n\n",
    "host: a",
    "x: ",
    ":",
    " ",
    "\t",
    "x:\r\n y",
    "\u{e9}",
];

/// Bytes behind the end of a head must not be taken as part of it, and the other way around,
/// however lines end and however the bytes are divided into reads.
#[test]
fn the_end_of_a_head_is_where_the_parser_of_the_server_finds_it() {
    fn agrees(parts: Vec<usize>, divisions: Vec<usize>) -> bool {
        let begin = ["GET /a HTTP/1.1", "\r\nGET /a HTTP/1.1\nhost: a"][parts.len() % 2];
        let parts = parts.into_iter().map(|idx| PARTS[idx % PARTS.len()]);
        let input: String = [begin].into_iter().chain(parts).collect();
        let mut fields = [httparse::EMPTY_HEADER; 64];
        let Ok(parsed) = httparse::Request::new(&mut fields).parse(input.as_bytes()) else {
            return true;
        };
        let (mut finder, mut rest, mut searched) = (HeadEnd::default(), input.as_bytes(), 0);
        let mut divisions = divisions.into_iter().map(|len| 1 + len % 7);
        let mut found = None;
        while !rest.is_empty() && found.is_none() {
            let len = divisions.next().unwrap_or(rest.len()).min(rest.len());
            let (bytes, behind) = rest.split_at(len);
            if let HeadSearch::At(end) = finder.find(bytes) {
                found = Some(searched + end);
            }
            (rest, searched) = (behind, searched + len);
        }
        match parsed {
            httparse::Status::Complete(end) => found == Some(end),
            httparse::Status::Partial => found.is_none(),
        }
    }
    QuickCheck::new()
        .rng(Gen::new(12))
        .tests(200_000)
        .max_tests(200_000)
        .quickcheck(agrees as fn(Vec<usize>, Vec<usize>) -> bool);
}

/// Bytes behind an end that was already found belong to another head.
#[test]
fn a_search_behind_the_end_finds_nothing() {
    let mut finder = HeadEnd::default();
    assert_eq!(finder.find(b"GET / HTTP/1.1\r\n\r\n"), HeadSearch::At(18));
    assert_eq!(finder.find(b"GET / HTTP/1.1\r\n\r\n"), HeadSearch::Before);
}
