//! Memory for answers that are held for callers: what is granted, which connection gives way, and
//! that everything is returned.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use poplar_core::{
    Accepted, ConnectionId, LingerTime, MemoryBudget, MemoryLimits, MemoryUse, Moment, Name, Room,
};
use quickcheck::{Gen, QuickCheck};

const LIMITS: MemoryLimits = MemoryLimits {
    bytes: 1_000,
    yield_after: Duration::from_secs(1),
    write_timeout: Duration::from_secs(10),
};

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn open(budget: &mut MemoryBudget, now: Moment) -> ConnectionId {
    match budget.open(now, usize::MAX) {
        Accepted::Opened(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Opens a connection with an answer of `bytes` on it that has stalled since `since`.
fn stalled(budget: &mut MemoryBudget, since: Moment, bytes: u64) -> ConnectionId {
    let id = open(budget, since);
    assert_eq!(budget.take(since, bytes), Room::Granted);
    budget.assign(id, bytes);
    budget.record_stall(since, id);
    id
}

#[test]
fn connection_that_has_stalled_longest_gives_way_first() {
    let mut budget = MemoryBudget::new(LIMITS);
    let later = stalled(&mut budget, at(200), 300);
    let first = stalled(&mut budget, at(100), 300);
    let last = stalled(&mut budget, at(300), 300);
    assert_eq!(budget.take(at(2_000), 200), Room::Closing(vec![first]));
    assert_eq!(budget.take(at(2_000), 600), Room::Closing(vec![later, last]));
}

/// The bytes of a connection that is being closed are not counted, and it is not chosen again.
#[test]
fn connection_is_closed_once() {
    let mut budget = MemoryBudget::new(LIMITS);
    let id = stalled(&mut budget, at(0), 900);
    assert_eq!(budget.take(at(1_000), 800), Room::Closing(vec![id]));
    assert_eq!(budget.take(at(1_000), 200), Room::Granted);
    assert_eq!(budget.take(at(20_000), 1), Room::Refused);
    assert_eq!(budget.expire(at(20_000)), []);
    budget.close(id);
    budget.release(Some(id), 900);
    let left = MemoryUse { held: 1_000, ..MemoryUse::default() };
    assert_eq!(budget.usage(), left);
}

/// Guards against callers that read slowly, but do read, being cut off by others.
#[test]
fn connection_that_makes_progress_never_gives_way() {
    let mut budget = MemoryBudget::new(LIMITS);
    let id = stalled(&mut budget, at(0), 900);
    for ms in (0..60_000).step_by(900) {
        budget.record_progress(id);
        budget.record_stall(at(ms), id);
        assert_eq!(budget.expire(at(ms + 900)), []);
        assert_eq!(budget.expect(at(ms + 900), 200), Room::Refused);
        assert_eq!(budget.take(at(ms + 900), 200), Room::Refused);
    }
}

/// No connection is closed if that does not make enough room.
#[test]
fn connections_are_not_closed_in_vain() {
    let mut budget = MemoryBudget::new(LIMITS);
    let reading = open(&mut budget, at(0));
    assert_eq!(budget.take(at(0), 600), Room::Granted);
    budget.assign(reading, 600);
    let id = stalled(&mut budget, at(0), 300);
    assert_eq!(budget.take(at(5_000), 500), Room::Refused);
    assert_eq!(budget.take(at(5_000), 400), Room::Closing(vec![id]));
}

#[test]
fn connection_that_takes_nothing_is_closed_in_any_case() {
    let mut budget = MemoryBudget::new(LIMITS);
    let id = open(&mut budget, at(0));
    budget.record_stall(at(0), id);
    assert_eq!(budget.expire(at(9_999)), []);
    assert_eq!(budget.expire(at(10_000)), [id]);
    assert_eq!(budget.expire(at(10_000)), []);
}

/// Expected answers refuse new requests, but not answers that have arrived.
#[test]
fn expected_answers_count_for_new_requests_only() {
    let mut budget = MemoryBudget::new(LIMITS);
    assert_eq!(budget.expect(at(0), 600), Room::Granted);
    assert_eq!(budget.expect(at(0), 600), Room::Refused);
    assert_eq!(budget.take(at(0), 1_000), Room::Granted);
    budget.cancel_expected(600);
    budget.release(None, 1_000);
    assert_eq!(budget.usage(), MemoryUse::default());
}

/// Guards against a budget that refuses the only request there is.
#[test]
fn single_request_is_granted_whatever_its_answer_is_expected_to_be() {
    let mut budget = MemoryBudget::new(LIMITS);
    assert_eq!(budget.expect(at(0), 5_000), Room::Granted);
    budget.cancel_expected(5_000);
    assert_eq!(budget.take(at(0), 1_000), Room::Granted);
}

#[test]
fn usual_size_follows_the_answers_of_a_route() {
    let mut budget = MemoryBudget::new(LIMITS);
    let (long, short) = (Name::new("long"), Name::new("short"));
    assert_eq!(budget.usual_size(&long), 0);
    budget.record_size(&long, 800);
    budget.record_size(&short, 8);
    assert_eq!((budget.usual_size(&long), budget.usual_size(&short)), (800, 8));
    budget.record_size(&long, 0);
    assert_eq!(budget.usual_size(&long), 700);
    (0..100).for_each(|_| budget.record_size(&long, 0));
    assert_eq!(budget.usual_size(&long), 0);
}

/// At the limit the connection that has been idle longest gives way. One with a request in progress
/// never does, nor one that still has an answer to send, unless it has stalled.
#[test]
fn idle_connections_give_way_to_new_ones() {
    let mut budget = MemoryBudget::new(LIMITS);
    let ids: Vec<_> = (0..4).map(|ms| open(&mut budget, at(ms))).collect();
    budget.begin_request(ids[0]);
    budget.begin_request(ids[1]);
    budget.end_request(at(100), ids[1]);
    assert_eq!(budget.take(at(100), 10), Room::Granted);
    budget.assign(ids[2], 10);
    let Accepted::Replaces(fifth, ended) = budget.open(at(200), 4) else { panic!() };
    assert_eq!(ended, ids[3]);
    budget.close(ended);
    let Accepted::Replaces(sixth, ended) = budget.open(at(200), 4) else { panic!() };
    assert_eq!(ended, ids[1]);
    budget.close(ended);
    budget.begin_request(fifth);
    budget.begin_request(sixth);
    assert_eq!(budget.open(at(200), 4), Accepted::Refused);
    budget.record_stall(at(200), ids[2]);
    assert_eq!(budget.open(at(1_100), 4), Accepted::Refused);
    let Accepted::Replaces(_, ended) = budget.open(at(1_200), 4) else { panic!() };
    assert_eq!(ended, ids[2]);
}

/// Guards against a burst of connections that opens descriptors faster than others are closed.
#[test]
fn burst_of_connections_is_refused_while_others_are_being_closed() {
    let mut budget = MemoryBudget::new(LIMITS);
    for ms in 0..50 {
        open(&mut budget, at(ms));
    }
    let mut replaced = Vec::new();
    while let Accepted::Replaces(_, id) = budget.open(at(100), 50) {
        replaced.push(id);
    }
    assert!(replaced.len() < 10, "{}", replaced.len());
    assert_eq!(budget.usage().connections, 50 + replaced.len());
    replaced.iter().for_each(|id| budget.close(*id));
    assert_eq!(budget.usage().connections, 50);
    assert!(matches!(budget.open(at(100), 50), Accepted::Replaces(..)));
}

/// Guards against connections that were opened while more were allowed and stay open.
#[test]
fn idle_connections_are_closed_when_fewer_are_allowed() {
    let mut budget = MemoryBudget::new(LIMITS);
    let ids: Vec<_> = (0..6).map(|ms| open(&mut budget, at(ms))).collect();
    budget.begin_request(ids[0]);
    assert_eq!(budget.trim(6), []);
    assert_eq!(budget.trim(4), [ids[1], ids[2]]);
    assert_eq!(budget.trim(4), []);
    assert_eq!(budget.trim(0), [ids[3], ids[4], ids[5]]);
    ids.iter().for_each(|id| budget.close(*id));
    assert_eq!(budget.usage(), MemoryUse::default());
}

/// Any order of events: what is granted stays within the limit, apart from what connections that
/// are being closed still hold, and nothing is left when all have ended.
#[test]
fn grants_stay_within_the_limit_and_everything_is_returned() {
    fn holds(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut budget = MemoryBudget::new(LIMITS);
        let (mut now, mut connections, mut answers) = (0, Vec::new(), Vec::new());
        let (mut expected, mut closing) = (Vec::new(), Vec::new());
        for (kind, which, value) in steps {
            now += u64::from(which) * 10;
            let which = usize::from(which);
            let bytes = u64::from(value % 1_200);
            let mut close = Vec::new();
            match kind % 8 {
                0 => match budget.open(at(now), 5) {
                    Accepted::Opened(id) => connections.push(id),
                    Accepted::Replaces(id, ended) => {
                        connections.push(id);
                        close.push(ended);
                    }
                    Accepted::Refused => {}
                },
                1 => match budget.take(at(now), bytes) {
                    Room::Refused => {}
                    room => {
                        let id = connections.get(which % connections.len().max(1)).copied();
                        if let Some(id) = id {
                            budget.assign(id, bytes);
                        }
                        answers.push((id, bytes));
                        if let Room::Closing(ids) = room {
                            close.extend(ids);
                        }
                    }
                },
                2 => match budget.expect(at(now), bytes) {
                    Room::Refused => {}
                    room => {
                        expected.push(bytes);
                        if let Room::Closing(ids) = room {
                            close.extend(ids);
                        }
                    }
                },
                3 if !answers.is_empty() => {
                    let (id, bytes) = answers.swap_remove(which % answers.len());
                    budget.release(id, bytes);
                }
                4 if !expected.is_empty() => {
                    budget.cancel_expected(expected.swap_remove(which % expected.len()));
                }
                5 if !connections.is_empty() => {
                    budget.record_stall(at(now), connections[which % connections.len()]);
                }
                6 if !connections.is_empty() => {
                    budget.record_progress(connections[which % connections.len()]);
                }
                _ => close.extend(budget.expire(at(now))),
            }
            // A connection is named once only.
            if close.iter().any(|id| closing.contains(id)) {
                return false;
            }
            closing.extend(close);
            let closing_bytes: u64 = answers
                .iter()
                .filter(|(id, _)| id.is_some_and(|id| closing.contains(&id)))
                .map(|(_, bytes)| bytes)
                .sum();
            let held: u64 = answers.iter().map(|(_, bytes)| bytes).sum();
            if budget.usage().held != held || held > LIMITS.bytes + closing_bytes {
                return false;
            }
            // The last of those that are being closed has ended.
            if which % 3 == 0
                && let Some(id) = closing.pop()
            {
                connections.retain(|open| *open != id);
                budget.close(id);
                answers.retain(|(of, bytes)| {
                    let ended = *of == Some(id);
                    if ended {
                        budget.release(*of, *bytes);
                    }
                    !ended
                });
            }
        }
        connections.into_iter().for_each(|id| budget.close(id));
        answers.into_iter().for_each(|(id, bytes)| budget.release(id, bytes));
        expected.into_iter().for_each(|bytes| budget.cancel_expected(bytes));
        budget.usage() == MemoryUse::default()
    }
    QuickCheck::new()
        .tests(5_000)
        .rng(Gen::new(120))
        .quickcheck(holds as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Guards against closed connections that keep ordinary callers out, and against the loss of
/// answers that are still being sent.
#[test]
fn lingering_connections_give_way_first_unless_they_still_send() {
    let mut budget = MemoryBudget::new(LIMITS);
    let idle = open(&mut budget, at(0));
    let (sending, sent) = (open(&mut budget, at(1)), open(&mut budget, at(2)));
    for id in [sending, sent] {
        budget.begin_request(id);
        assert_eq!(budget.begin_linger(at(100), id), LingerTime::Full);
    }
    budget.record_stall(at(100), sending);
    assert_eq!(budget.usage().lingering, 2);
    let replaced = |accepted| match accepted {
        Accepted::Replaces(_, replaced) => Some(replaced),
        _ => None,
    };
    assert_eq!(replaced(budget.open(at(200), 3)), Some(sent));
    assert_eq!(replaced(budget.open(at(200), 3)), Some(idle));
    budget.record_progress(sending);
    assert_eq!(replaced(budget.open(at(200), 3)), Some(sending));
}

/// Guards against a slow reader whose answer is cut off at the time limit of callers that take no
/// bytes; a lingering connection has a limit of its own.
#[test]
fn lingering_connection_does_not_expire() {
    let mut budget = MemoryBudget::new(LIMITS);
    let id = open(&mut budget, at(0));
    budget.begin_linger(at(0), id);
    budget.record_stall(at(0), id);
    assert_eq!(budget.expire(at(60_000)), []);
}

#[test]
fn connection_that_is_being_closed_lingers_no_longer_than_it_sends() {
    let mut budget = MemoryBudget::new(LIMITS);
    let idle = open(&mut budget, at(0));
    assert!(matches!(budget.open(at(10), 1), Accepted::Replaces(_, id) if id == idle));
    assert_eq!(budget.begin_linger(at(20), idle), LingerTime::UntilSent);
    let expired = stalled(&mut budget, at(20), 100);
    assert_eq!(budget.expire(at(20_000)), [expired]);
    assert_eq!(budget.begin_linger(at(20_000), expired), LingerTime::None);
}

/// Guards against callers that do not read and delay the connections that need their descriptors.
#[test]
fn stalled_connection_that_gives_way_does_not_linger() {
    let mut budget = MemoryBudget::new(LIMITS);
    let id = stalled(&mut budget, at(0), 100);
    assert!(matches!(budget.open(at(2_000), 1), Accepted::Replaces(_, replaced) if replaced == id));
    assert_eq!(budget.begin_linger(at(2_000), id), LingerTime::None);
}

/// Guards against a crowd of unfinished requests that holds all connections and keeps ordinary
/// callers out.
#[test]
fn connection_with_the_longest_incomplete_request_gives_way_last() {
    let mut budget = MemoryBudget::new(LIMITS);
    let (first, second, whole) =
        (open(&mut budget, at(0)), open(&mut budget, at(0)), open(&mut budget, at(0)));
    for id in [first, second, whole] {
        budget.begin_request(id);
    }
    budget.begin_receiving(at(100), first);
    budget.begin_receiving(at(200), second);
    assert_eq!(budget.open(at(1_099), 3), Accepted::Refused);
    let Accepted::Replaces(fourth, replaced) = budget.open(at(1_100), 3) else { panic!() };
    assert_eq!(replaced, first);
    budget.begin_request(fourth);
    budget.end_receiving(second);
    assert_eq!(budget.open(at(9_000), 3), Accepted::Refused);
}
