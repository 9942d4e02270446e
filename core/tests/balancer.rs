//! Choice of a target under failures.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use poplar_core::{
    Balancer, Importance, InstanceId, Level, Moment, Name, Observation, Rank, TargetInfo,
};

const RANK: Rank = Rank::at(Importance(5), 100);
const DONE: Observation =
    Observation::Done { latency: Duration::from_millis(10), level: Level::OPEN };

fn target(name: &str, zone: &str) -> TargetInfo {
    let (instance, zone) = (InstanceId::from(name), Name::new(zone));
    TargetInfo { instance, zone, slots: 4, connections: 8 }
}

fn chooser(targets: &[(&str, &str)]) -> Balancer {
    let mut chooser = Balancer::new(Name::new("rennes"));
    targets.iter().for_each(|(name, zone)| chooser.add_target(target(name, zone)));
    chooser
}

/// Sends 300 calls in pairs that overlap; counts those that went to `name`.
fn share(chooser: &mut Balancer, from: Moment, name: &str, observed: Observation) -> usize {
    let mut count = 0;
    let mut random: u64 = 7;
    for step in 0..150 {
        let now = from + Duration::from_millis(step);
        let mut chosen = Vec::new();
        for _ in 0..2 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            chosen.extend(chooser.choose(now, RANK, random, &[]));
        }
        for choice in chosen {
            let hit = choice.instance == InstanceId::from(name);
            count += usize::from(hit);
            chooser.observe(now, &choice.instance, if hit { observed } else { DONE });
            assert_eq!(chooser.verify(), Ok(()));
        }
    }
    count
}

const PAIR: [(&str, &str); 2] = [("a", "rennes"), ("b", "rennes")];

#[test]
fn a_target_that_claims_health_but_cannot_be_reached_is_left_alone() {
    let mut chooser = chooser(&PAIR);
    chooser.set_health(&InstanceId::from("a"), true);
    let count = share(&mut chooser, Moment::default(), "a", Observation::Unreachable);
    assert!(count <= 2, "{count} calls went to the unreachable target");
}

#[test]
fn a_target_that_claims_sickness_but_answers_keeps_its_share() {
    let mut chooser = chooser(&PAIR);
    share(&mut chooser, Moment::default(), "a", DONE);
    chooser.set_health(&InstanceId::from("a"), false);
    let count = share(&mut chooser, Moment::from_millis(200), "a", DONE);
    assert!((100..=200).contains(&count), "{count} of 300 calls");
}

#[test]
fn a_cold_target_starts_with_less_than_a_warm_one() {
    let mut chooser = chooser(&PAIR[..1]);
    share(&mut chooser, Moment::default(), "a", DONE);
    chooser.add_target(target("b", "rennes"));
    let choices = (0..5).filter_map(|_| chooser.choose(Moment::default(), RANK, 1 << 31, &[]));
    let cold = choices.filter(|choice| choice.instance == InstanceId::from("b")).count();
    assert_eq!(cold, 1);
}

#[test]
fn a_draining_target_gets_no_call() {
    let mut chooser = chooser(&PAIR);
    chooser.drain(&InstanceId::from("a"));
    assert_eq!(share(&mut chooser, Moment::default(), "a", DONE), 0);
    chooser.drain(&InstanceId::from("b"));
    assert_eq!(chooser.choose(Moment::default(), RANK, 0, &[]), None);
}

#[test]
fn the_near_zone_goes_first_until_its_level_refuses_the_call() {
    let mut chooser = chooser(&[("far", "brest"), ("near", "rennes")]);
    let count = share(&mut chooser, Moment::default(), "near", DONE);
    assert!(count > 200, "{count} of 300 calls stayed near");
    let level = Level::at(Rank::at(Importance(9), 0));
    let refused = Observation::Refused { level };
    let count = share(&mut chooser, Moment::from_millis(200), "near", refused);
    assert!(count <= 4, "{count} calls went to the target that refuses them");
}

/// A node restarts: all calls that are in flight to its target fail at the same moment.
#[test]
fn calls_that_fail_together_count_as_one_failure() {
    let mut chooser = chooser(&PAIR[..1]);
    let id = InstanceId::from("a");
    (0..20).for_each(|_| chooser.observe(Moment::default(), &id, DONE));
    let at = |millis| Moment::from_millis(millis);
    let taken = (0..8).filter(|_| chooser.choose(at(1_000), RANK, 0, &[]).is_some()).count();
    assert!(taken > 3, "{taken} calls are in flight");
    (0..taken).for_each(|_| chooser.observe(at(1_010), &id, Observation::Unreachable));
    assert_eq!(chooser.choose(at(1_200), RANK, 0, &[]), None);
    assert!(chooser.choose(at(1_250), RANK, 0, &[]).is_some(), "it is tried again after 0.2 s");
}

#[test]
fn calls_stay_within_the_announced_connections_and_avoid_what_was_tried() {
    let mut chooser = chooser(&PAIR[..1]);
    let now = Moment::default();
    assert_eq!(chooser.choose(now, RANK, 0, &[InstanceId::from("a")]), None);
    let connects: Vec<_> = (0..8).filter_map(|_| chooser.choose(now, RANK, 0, &[])).collect();
    assert!(connects.len() == 8 && connects.iter().all(|choice| choice.new_connection));
    assert_eq!(chooser.choose(now, RANK, 0, &[]), None);
    chooser.observe(now, &InstanceId::from("a"), DONE);
    assert!(chooser.choose(now, RANK, 0, &[]).is_some_and(|choice| !choice.new_connection));
}

/// Sends `calls` calls that end at once, and counts those of each target. `loads` are told at each answer.
fn spread(chooser: &mut Balancer, calls: usize, loads: &[(&str, f64)]) -> Vec<usize> {
    let mut random: u64 = 7;
    let mut counts = vec![0; loads.len()];
    for (name, load) in loads {
        chooser.record_load(Moment::default(), &InstanceId::from(*name), *load);
    }
    for call in 0..calls {
        let now = Moment::from_micros(500 * call as u64);
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let chosen = chooser.choose(now, RANK, random, &[]).unwrap().instance;
        let idx = loads.iter().position(|(name, _)| chosen == InstanceId::from(*name)).unwrap();
        counts[idx] += 1;
        chooser.observe(now, &chosen, DONE);
        for (name, load) in loads {
            chooser.record_load(now, &InstanceId::from(*name), *load);
        }
    }
    counts
}

/// Pattern: most targets of a service lose their answers, which their nodes tell as load, while the
/// others have room. The loads are those of inc-3637 in second 14.
#[test]
fn calls_leave_failing_targets_while_others_have_room() {
    let loads = [
        ("near", 1.22),
        ("b", 1.34),
        ("c", 1.15),
        ("d", 1.05),
        ("sound-1", 0.39),
        ("sound-2", 0.73),
        ("sound-3", 0.88),
    ];
    let mut chooser = Balancer::new(Name::new("rennes"));
    for (idx, (name, _)) in loads.iter().enumerate() {
        let zone = if idx == 0 { "rennes" } else { "other" };
        chooser.add_target(TargetInfo { slots: 36, ..target(name, zone) });
    }
    let counts = spread(&mut chooser, 2_000, &loads);
    let failing: usize = counts[..4].iter().sum();
    assert!(failing <= 200, "{failing} of 2000 calls went to failing targets: {counts:?}");
    assert!(counts[4..].iter().all(|count| *count >= 300), "{counts:?}");
}

/// Pattern: all targets are full but one. Nodes that all went there would fill it at once.
#[test]
fn one_target_with_room_among_many_full_ones_is_not_rushed_at() {
    let names: Vec<String> = (0..40).map(|idx| format!("t{idx}")).collect();
    let loads: Vec<(&str, f64)> = names
        .iter()
        .enumerate()
        .map(|(idx, name)| (name.as_str(), if idx == 0 { 0.5 } else { 1.5 }))
        .collect();
    let mut chooser = Balancer::new(Name::new("rennes"));
    for (name, _) in &loads {
        chooser.add_target(TargetInfo { slots: 36, ..target(name, "other") });
    }
    let counts = spread(&mut chooser, 2_000, &loads);
    assert!(counts[0] <= 300, "{} of 2000 calls went to one of 40 targets", counts[0]);
}
