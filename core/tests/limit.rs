//! Limits derived from announcements and observations.

use std::collections::VecDeque;
use std::time::Duration;

use poplar_core::{
    Admission, Arrival, Importance, ImportanceScale, Moment, Name, Rank, RunTimes, TargetLimits,
    Ticket, retry_after,
};

const SLOTS: u32 = 40;

fn admission() -> Admission {
    let scale = ImportanceScale::new([Importance(1)]);
    Admission::new(Moment::default(), TargetLimits::derive(SLOTS, 400), scale)
}

fn call(ticket: u64) -> Arrival {
    let rank = Rank::at(Importance(1), 0);
    let (age, left, min_latency) = (Duration::ZERO, Duration::from_secs(1), Duration::ZERO);
    Arrival { ticket: Ticket(ticket), rank, age, left, min_latency, begun: false }
}

/// Alternates for a minute between six calls in flight and as many as the limit permits, and
/// returns the limit.
///
/// Each turn first brings the number of calls in flight to its goal, then replaces each call twice.
fn settle_limit(admission: &mut Admission, latency: impl Fn(u32) -> Duration) -> u32 {
    let mut in_flight = VecDeque::new();
    let mut next = 0;
    for turn in 0..600 {
        let now = Moment::from_millis(turn * 100);
        let goal = if turn % 2 == 0 { 6 } else { admission.limit() };
        while in_flight.len() > goal as usize {
            in_flight.pop_front().map(|ticket| admission.cancel(now, ticket));
        }
        for _ in 0..3 * goal {
            if in_flight.len() == goal as usize {
                let took = latency(admission.in_flight() as u32);
                in_flight.pop_front().map(|ticket| admission.finish(now, ticket, took));
            }
            admission.arrive(now, call(next));
            in_flight.push_back(Ticket(next));
            next += 1;
        }
        assert_eq!(admission.verify(), Ok(()));
    }
    in_flight.into_iter().for_each(|ticket| {
        admission.cancel(Moment::from_millis(60_000), ticket);
    });
    admission.limit()
}

#[test]
fn a_target_that_overstates_its_slots_gets_fewer() {
    let real_slots = 15;
    let queues_inside = |n: u32| Duration::from_millis(40) * n.max(real_slots) / real_slots;
    let limit = settle_limit(&mut admission(), queues_inside);
    assert!((real_slots..=SLOTS * 2 / 3).contains(&limit), "limit settled at {limit}");
}

#[test]
fn a_target_that_is_merely_slow_keeps_its_slots() {
    let mut admission = admission();
    assert_eq!(settle_limit(&mut admission, |_| Duration::from_millis(40)), SLOTS);
    assert_eq!(settle_limit(&mut admission, |_| Duration::from_millis(400)), SLOTS);
}

/// Applies full load for ten seconds: every slot is used again as soon as it is free.
fn keep_full(admission: &mut Admission, from: u64, latency: Duration) {
    let mut in_flight = VecDeque::new();
    let mut next = 1 << 20;
    for millis in from..from + 10_000 {
        let now = Moment::from_millis(millis);
        while in_flight.len() < admission.limit() as usize {
            admission.arrive(now, call(next));
            in_flight.push_back(Ticket(next));
            next += 1;
        }
        in_flight.pop_front().map(|ticket| admission.finish(now, ticket, latency));
    }
    in_flight.into_iter().for_each(|ticket| {
        admission.cancel(Moment::from_millis(from + 10_000), ticket);
    });
}

#[test]
fn a_lowered_limit_rises_again_under_lasting_load() {
    let mut admission = admission();
    let real_slots = 15;
    settle_limit(&mut admission, |n| Duration::from_millis(40) * n.max(real_slots) / real_slots);
    assert!(admission.limit() < SLOTS);
    for from in [70_000, 80_000, 90_000] {
        keep_full(&mut admission, from, Duration::from_millis(40));
    }
    assert_eq!(admission.limit(), SLOTS);
}

#[test]
fn a_sixteenth_of_the_slots_is_left_free() {
    let limits = TargetLimits::derive(57, 400);
    assert_eq!(limits.with_reserve().slots, 53);
    assert_eq!(TargetLimits::derive(1, 4).with_reserve().slots, 1);
}

#[test]
fn a_cold_target_starts_with_a_quarter_of_its_slots_and_gains_one_per_answer() {
    let mut admission = admission();
    assert_eq!(admission.limit(), SLOTS / 4);
    admission.arrive(Moment::default(), call(1));
    admission.finish(Moment::default(), Ticket(1), Duration::from_millis(10));
    assert_eq!(admission.limit(), SLOTS / 4 + 1);
}

#[test]
fn retry_times_are_spread_between_four_and_twelve_waits() {
    let wait = Duration::from_millis(50);
    let (first, last) = (retry_after(wait, 0), retry_after(wait, u16::MAX));
    assert_eq!((first, last), (Duration::from_millis(200), Duration::from_millis(600)));
}

#[test]
fn the_expected_run_time_is_half_the_smoothed_one() {
    let class = Name::new("book");
    let mut times = RunTimes::new();
    assert_eq!(times.expected(&class), Duration::ZERO);
    (0..50).for_each(|_| times.observe(&class, Duration::from_millis(80)));
    assert_eq!(times.expected(&class), Duration::from_millis(40));
}
