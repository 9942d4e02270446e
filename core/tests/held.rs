//! Claims of calls whose connection broke: the answer matches what happened, and a call that ran is
//! never reported as not run.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;
use std::time::Duration;

use poplar_core::{CallId, ClaimResult, HeldLimits, HeldRuns, LinkId, Moment};
use quickcheck::{Gen, QuickCheck};

const LIMITS: HeldLimits = HeldLimits { retention: Duration::from_secs(6), bytes: 1_000 };
const LINK: LinkId = LinkId(7);

type Held = HeldRuns<&'static str, u32>;

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn call(number: u32) -> CallId {
    CallId { link: LINK, number }
}

fn held() -> Held {
    let mut held = Held::new(LIMITS);
    held.open_link(LINK);
    held
}

#[test]
fn a_run_continues_after_its_connection_closed_and_its_answer_can_be_claimed() {
    let mut held = held();
    assert!(held.record_arrival(call(0)));
    held.insert(call(0), 10);
    held.close_link(at(1_000), LINK);
    assert_eq!(held.claim(at(2_000), call(0)), ClaimResult::Running);
    held.finish(at(3_000), call(0), "answer", 6);
    assert_eq!(held.claim(at(3_000), call(0)), ClaimResult::Done("answer"));
    // A second lost connection changes nothing.
    assert_eq!(held.claim(at(4_000), call(0)), ClaimResult::Done("answer"));
}

#[test]
fn an_answer_in_transit_when_the_connection_broke_can_be_claimed() {
    let mut held = held();
    assert!(held.record_arrival(call(0)));
    held.insert(call(0), 10);
    held.finish(at(1_000), call(0), "answer", 6);
    held.close_link(at(1_000), LINK);
    assert_eq!(held.claim(at(1_500), call(0)), ClaimResult::Done("answer"));
}

#[test]
fn a_call_claimed_before_it_arrives_is_not_run_and_does_not_run_on_late_arrival() {
    let mut held = held();
    assert!(held.record_arrival(call(0)));
    assert_eq!(held.claim(at(1_000), call(1)), ClaimResult::NotRun);
    assert!(!held.record_arrival(call(1)), "its caller received \"not run\"");
}

#[test]
fn a_call_that_arrived_is_never_reported_as_not_run() {
    let mut held = held();
    // Its run was not added, so its outcome is unknown.
    assert!(held.record_arrival(call(3)));
    assert_eq!(held.claim(at(1_000), call(3)), ClaimResult::Unknown);
    assert_eq!(held.claim(at(1_000), call(2)), ClaimResult::Unknown);
    assert_eq!(held.claim(at(1_000), CallId { link: LinkId(8), number: 9 }), ClaimResult::Unknown);
}

#[test]
fn a_run_that_is_not_claimed_in_time_is_stopped_and_unknown_from_then_on() {
    let mut held = held();
    assert!(held.record_arrival(call(0)));
    held.insert(call(0), 10);
    assert_eq!(held.expire(at(60_000)), Vec::<u32>::new(), "its connection is open");
    held.close_link(at(60_000), LINK);
    assert_eq!(held.expire(at(65_999)), Vec::<u32>::new());
    assert_eq!(held.expire(at(66_000)), vec![10]);
    assert_eq!(held.claim(at(66_000), call(0)), ClaimResult::Unknown);
    assert_eq!(held.links(), 0);
}

/// Guards against a run that is stopped although its caller waits for its answer.
#[test]
fn a_run_that_is_claimed_again_and_again_continues_and_is_answered() {
    let mut held = held();
    for number in [0, 1] {
        assert!(held.record_arrival(call(number)));
        held.insert(call(number), number);
    }
    held.close_link(at(1_000), LINK);
    for now in (2_000..22_000).step_by(2_000) {
        assert_eq!(held.claim(at(now), call(0)), ClaimResult::Running);
        // Only the other run, which nobody claims, is stopped.
        let expected = if now == 8_000 { vec![1] } else { vec![] };
        assert_eq!(held.expire(at(now)), expected, "at {now} ms");
    }
    held.finish(at(22_000), call(0), "answer", 6);
    // The last claim is longer ago than runs are kept, the answer is not.
    assert_eq!(held.expire(at(27_000)), Vec::<u32>::new());
    assert_eq!(held.claim(at(27_000), call(0)), ClaimResult::Done("answer"));
    assert_eq!(held.expire(at(28_000)), Vec::<u32>::new());
    assert_eq!((held.links(), held.bytes()), (0, 0));
}

#[test]
fn a_run_whose_claims_end_is_stopped_after_the_retention_time() {
    let mut held = held();
    assert!(held.record_arrival(call(0)));
    held.insert(call(0), 10);
    held.close_link(at(1_000), LINK);
    assert_eq!(held.claim(at(5_000), call(0)), ClaimResult::Running);
    assert_eq!(held.expire(at(10_999)), Vec::<u32>::new());
    assert_eq!(held.expire(at(11_000)), vec![10]);
    assert_eq!(held.links(), 0);
}

#[test]
fn cancelling_a_call_stops_its_run() {
    let mut held = held();
    assert!(held.record_arrival(call(0)));
    held.insert(call(0), 10);
    held.close_link(at(1_000), LINK);
    assert_eq!(held.cancel(call(0)), Some(10));
    assert_eq!(held.cancel(call(0)), None);
    assert_eq!(held.claim(at(1_000), call(0)), ClaimResult::Unknown);
}

#[test]
fn kept_answers_are_bounded_in_bytes_and_time() {
    let mut held = held();
    for number in 0..100 {
        assert!(held.record_arrival(call(number)));
        held.insert(call(number), number);
        held.finish(at(u64::from(number)), call(number), "answer", 300);
        assert!(held.bytes() <= LIMITS.bytes);
    }
    assert_eq!(held.claim(at(100), call(99)), ClaimResult::Done("answer"));
    assert_eq!(held.claim(at(100), call(0)), ClaimResult::Unknown);
    held.expire(at(10_000));
    assert_eq!(held.bytes(), 0);
}

/// In any order of events, a call that ran is not reported as not run, a call reported as not run
/// does not run, and a claimed answer belongs to its call.
#[test]
fn no_order_of_events_gives_a_wrong_claim_result() {
    let rng = Gen::from_size_and_seed(80, 3_741);
    QuickCheck::new().rng(rng).tests(2_000).quickcheck(check_events as fn(Vec<(u8, u8, u16)>));
}

fn check_events(events: Vec<(u8, u8, u16)>) {
    let mut held: HeldRuns<u32, u32> = HeldRuns::new(LIMITS);
    held.open_link(LINK);
    let (mut ran, mut not_run, mut ended) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    let mut now = 0;
    for (event, number, pause) in events {
        let number = u32::from(number % 8);
        match event % 12 {
            0..=3 if !ran.contains(&number) && held.record_arrival(call(number)) => {
                assert!(
                    !not_run.contains(&number),
                    "call {number} ran after it was reported as not run"
                );
                ran.insert(number);
                held.insert(call(number), number);
            }
            4..=5 if ran.contains(&number) && ended.insert(number) => {
                held.finish(at(now), call(number), number, 10);
            }
            6 => {
                if let Some(handle) = held.cancel(call(number)) {
                    assert_eq!(handle, number);
                    ended.insert(number);
                }
            }
            7..=9 => match held.claim(at(now), call(number)) {
                ClaimResult::NotRun => {
                    assert!(
                        !ran.contains(&number),
                        "call {number} ran but was reported as not run"
                    );
                    not_run.insert(number);
                }
                ClaimResult::Done(answer) => assert_eq!(answer, number),
                ClaimResult::Running => assert!(ran.contains(&number)),
                ClaimResult::Unknown => {}
            },
            10 => held.close_link(at(now), LINK),
            11 => {
                now += u64::from(pause % 4_000);
                held.expire(at(now));
            }
            _ => {}
        }
    }
}
