//! Admission levels of a target and in the maps of its callers.

use std::collections::VecDeque;
use std::time::Duration;

use poplar_core::{
    Admission, AdmissionVerdict, Arrival, ErrorKind, Importance, ImportanceScale, InstanceId,
    Level, LevelMap, Moment, Name, Rank, TargetLimits, Ticket,
};

const LOW: Rank = Rank::at(Importance(1), 60_000);
const HIGH: Rank = Rank::at(Importance(9), 100);

fn scale() -> ImportanceScale {
    ImportanceScale::new([1, 9].map(Importance))
}

#[test]
fn a_class_whose_calls_are_all_refused_admits_occasional_probes() {
    let (class, instance) = (Name::new("guide"), InstanceId::from("a"));
    let mut map = LevelMap::new(scale());
    map.record(Moment::from_millis(1_000), &class, &instance, Level::at(HIGH));
    let refused =
        |map: &mut LevelMap, millis| map.would_refuse(Moment::from_millis(millis), LOW, [&class]);
    assert!(refused(&mut map, 1_040));
    assert!(!refused(&mut map, 1_060));
    assert!(refused(&mut map, 1_061));
    map.record(Moment::from_millis(1_070), &class, &instance, Level::OPEN);
    assert!(!refused(&mut map, 1_071));
}

#[test]
fn an_important_call_is_not_refused_while_one_instance_admits_less_important_ones() {
    let class = Name::new("correct");
    let now = Moment::from_millis(1_000);
    let instances = ["a", "b", "c"].map(InstanceId::from);
    let level = Level::at(Rank::at(Importance(9), 5_000));
    let mut map = LevelMap::new(scale());
    map.add_instance(&class, &instances[2]);
    instances[..2].iter().for_each(|instance| map.record(now, &class, instance, level));
    assert!(!map.would_refuse(now, HIGH, [&class]));
    assert!(map.would_refuse(now, LOW, [&class]));
    map.record(now, &class, &instances[2], level);
    assert!(map.would_refuse(now, HIGH, [&class]));
}

fn arrival(ticket: u64, rank: Rank) -> Arrival {
    let (age, min_latency) = (Duration::ZERO, Duration::from_millis(10));
    let left = Duration::from_secs(10);
    Arrival { ticket: Ticket(ticket), rank, age, left, min_latency, begun: false }
}

/// Offers one important call per millisecond for half a second, four times as many as the target
/// completes. Call 1000 must be running.
fn overload(admission: &mut Admission) -> Moment {
    let mut now = Moment::from_millis(1_000);
    let mut running = VecDeque::from([Ticket(1_000)]);
    for step in 0..500 {
        now = now + Duration::from_millis(1);
        let tiebreak = (step * 7_919 % 65_536) as u16;
        let call = arrival(step, Rank::at(Importance(9), tiebreak));
        if admission.arrive(now, call) == AdmissionVerdict::Admit {
            running.push_back(call.ticket);
        }
        if step % 4 == 0
            && let Some(ticket) = running.pop_front()
        {
            running.extend(admission.finish(now, ticket, Duration::from_millis(16)).start);
        }
        running.extend(admission.tick(now).start);
        assert_eq!(admission.verify(), Ok(()));
    }
    now
}

#[test]
fn less_important_calls_cannot_wait_once_important_ones_are_refused() {
    let limits = TargetLimits::derive(4, 100);
    let mut admission = Admission::new(Moment::default(), limits, scale());
    let mut refused = 0;
    for ticket in 1_000..1_010 {
        admission.arrive(Moment::from_millis(1_000), arrival(ticket, LOW));
    }
    let now = overload(&mut admission);
    assert!(
        admission.level(now) > Level::at(Rank::at(Importance(9), 0)),
        "level admits every important call"
    );
    assert_eq!(admission.lowest_queued(), Some(Importance(9)));
    for ticket in 2_000..2_010 {
        admission.arrive(now, Arrival { begun: true, ..arrival(ticket, LOW) });
        refused += u32::from(admission.lowest_queued() == Some(Importance(9)));
    }
    assert_eq!(refused, 10);
}

#[test]
fn an_evicted_call_gets_an_overload_refusal() {
    let mut admission = Admission::new(Moment::default(), TargetLimits::derive(1, 100), scale());
    let now = Moment::from_millis(1);
    for ticket in 0..9 {
        admission.arrive(now, arrival(ticket, LOW));
    }
    let verdict = admission.arrive(now, arrival(9, HIGH));
    let AdmissionVerdict::Queue { evicted: Some(refusal) } = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.kind, ErrorKind::Overload);
    assert!(refusal.retry_after >= Duration::from_millis(50));
}
