//! Choice of a target by load, level, zone and failures.

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

fn balancer(targets: &[(&str, &str)]) -> Balancer {
    let mut balancer = Balancer::new(Name::new("rennes"));
    targets.iter().for_each(|(name, zone)| balancer.add_target(target(name, zone)));
    balancer
}

/// Sends 300 calls, two at a time, and returns how many went to `name`. Calls to `name` end with
/// `observation`, the others with success.
fn share(balancer: &mut Balancer, from: Moment, name: &str, observation: Observation) -> usize {
    let mut count = 0;
    let mut random: u64 = 7;
    for step in 0..150 {
        let now = from + Duration::from_millis(step);
        let mut chosen = Vec::new();
        for _ in 0..2 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            chosen.extend(balancer.choose(now, RANK, random, &[]));
        }
        for choice in chosen {
            let hit = choice.instance == InstanceId::from(name);
            count += usize::from(hit);
            balancer.observe(now, &choice.instance, if hit { observation } else { DONE });
            assert_eq!(balancer.verify(), Ok(()));
        }
    }
    count
}

const PAIR: [(&str, &str); 2] = [("a", "rennes"), ("b", "rennes")];

#[test]
fn an_unreachable_target_gets_few_calls_although_it_reports_healthy() {
    let mut balancer = balancer(&PAIR);
    balancer.set_health(&InstanceId::from("a"), true);
    let count = share(&mut balancer, Moment::default(), "a", Observation::Unreachable);
    assert!(count <= 2, "{count} calls went to the unreachable target");
}

#[test]
fn an_answering_target_keeps_its_share_although_it_reports_unhealthy() {
    let mut balancer = balancer(&PAIR);
    share(&mut balancer, Moment::default(), "a", DONE);
    balancer.set_health(&InstanceId::from("a"), false);
    let count = share(&mut balancer, Moment::from_millis(200), "a", DONE);
    assert!((100..=200).contains(&count), "{count} of 300 calls");
}

#[test]
fn a_new_target_gets_fewer_calls_than_a_known_one() {
    let mut balancer = balancer(&PAIR[..1]);
    share(&mut balancer, Moment::default(), "a", DONE);
    balancer.add_target(target("b", "rennes"));
    let choices = (0..5).filter_map(|_| balancer.choose(Moment::default(), RANK, 1 << 31, &[]));
    let new_calls = choices.filter(|choice| choice.instance == InstanceId::from("b")).count();
    assert_eq!(new_calls, 1);
}

#[test]
fn a_draining_target_gets_no_call() {
    let mut balancer = balancer(&PAIR);
    balancer.drain(&InstanceId::from("a"));
    assert_eq!(share(&mut balancer, Moment::default(), "a", DONE), 0);
    balancer.drain(&InstanceId::from("b"));
    assert_eq!(balancer.choose(Moment::default(), RANK, 0, &[]), None);
}

#[test]
fn the_own_zone_is_preferred_until_its_level_refuses_the_call() {
    let mut balancer = balancer(&[("far", "brest"), ("near", "rennes")]);
    let count = share(&mut balancer, Moment::default(), "near", DONE);
    assert!(count > 200, "{count} of 300 calls stayed near");
    let level = Level::at(Rank::at(Importance(9), 0));
    let refused = Observation::Refused { level };
    let count = share(&mut balancer, Moment::from_millis(200), "near", refused);
    assert!(count <= 4, "{count} calls went to the target that refuses them");
}

/// When a node restarts, all calls in flight to its target fail at the same time. If each counted
/// as a failure, the backoff would grow to its maximum at once.
#[test]
fn calls_that_fail_together_count_as_one_failure() {
    let mut balancer = balancer(&PAIR[..1]);
    let id = InstanceId::from("a");
    (0..20).for_each(|_| balancer.observe(Moment::default(), &id, DONE));
    let at = |millis| Moment::from_millis(millis);
    let in_flight = (0..8).filter(|_| balancer.choose(at(1_000), RANK, 0, &[]).is_some()).count();
    assert!(in_flight > 3, "{in_flight} calls are in flight");
    (0..in_flight).for_each(|_| balancer.observe(at(1_010), &id, Observation::Unreachable));
    assert_eq!(balancer.choose(at(1_200), RANK, 0, &[]), None);
    assert!(balancer.choose(at(1_250), RANK, 0, &[]).is_some(), "the backoff is longer than 0.2 s");
}

#[test]
fn calls_stay_within_the_announced_connections_and_avoid_tried_targets() {
    let mut balancer = balancer(&PAIR[..1]);
    let now = Moment::default();
    assert_eq!(balancer.choose(now, RANK, 0, &[InstanceId::from("a")]), None);
    let choices: Vec<_> = (0..8).filter_map(|_| balancer.choose(now, RANK, 0, &[])).collect();
    assert!(choices.len() == 8 && choices.iter().all(|choice| choice.new_connection));
    assert_eq!(balancer.choose(now, RANK, 0, &[]), None);
    balancer.observe(now, &InstanceId::from("a"), DONE);
    assert!(balancer.choose(now, RANK, 0, &[]).is_some_and(|choice| !choice.new_connection));
}

/// Sends `calls` calls that end immediately, and returns how many each target got. Each answer
/// reports the load of every target from `loads`.
fn spread(balancer: &mut Balancer, calls: usize, loads: &[(&str, f64)]) -> Vec<usize> {
    let mut random: u64 = 7;
    let mut counts = vec![0; loads.len()];
    for (name, load) in loads {
        balancer.record_load(Moment::default(), &InstanceId::from(*name), *load);
    }
    for call in 0..calls {
        let now = Moment::from_micros(500 * call as u64);
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let chosen = balancer.choose(now, RANK, random, &[]).unwrap().instance;
        let idx = loads.iter().position(|(name, _)| chosen == InstanceId::from(*name)).unwrap();
        counts[idx] += 1;
        balancer.observe(now, &chosen, DONE);
        for (name, load) in loads {
            balancer.record_load(now, &InstanceId::from(*name), *load);
        }
    }
    counts
}

/// Most targets of a service lose their answers, which their nodes report as load above 1, while
/// the others have free capacity. The loads are those of incident inc-3637 in second 14.
#[test]
fn calls_avoid_failing_targets_while_others_have_capacity() {
    let loads = [
        ("near", 1.22),
        ("b", 1.34),
        ("c", 1.15),
        ("d", 1.05),
        ("sound-1", 0.39),
        ("sound-2", 0.73),
        ("sound-3", 0.88),
    ];
    let mut balancer = Balancer::new(Name::new("rennes"));
    for (idx, (name, _)) in loads.iter().enumerate() {
        let zone = if idx == 0 { "rennes" } else { "other" };
        balancer.add_target(TargetInfo { slots: 36, ..target(name, zone) });
    }
    let counts = spread(&mut balancer, 2_000, &loads);
    let failing: usize = counts[..4].iter().sum();
    assert!(failing <= 200, "{failing} of 2000 calls went to failing targets: {counts:?}");
    assert!(counts[4..].iter().all(|count| *count >= 300), "{counts:?}");
}

/// All targets but one are full. If every node sent all its calls to that one, it would be
/// overloaded immediately.
#[test]
fn the_only_target_with_capacity_does_not_get_all_calls() {
    let names: Vec<String> = (0..40).map(|idx| format!("t{idx}")).collect();
    let loads: Vec<(&str, f64)> = names
        .iter()
        .enumerate()
        .map(|(idx, name)| (name.as_str(), if idx == 0 { 0.5 } else { 1.5 }))
        .collect();
    let mut balancer = Balancer::new(Name::new("rennes"));
    for (name, _) in &loads {
        balancer.add_target(TargetInfo { slots: 36, ..target(name, "other") });
    }
    let counts = spread(&mut balancer, 2_000, &loads);
    assert!(counts[0] <= 300, "{} of 2000 calls went to one of 40 targets", counts[0]);
}

/// A target that announces no slots was divided by, once it had answered.
#[test]
fn a_target_without_slots_is_compared_with_others() {
    let mut balancer = Balancer::new(Name::new("rennes"));
    for name in ["a", "b"] {
        balancer.add_target(TargetInfo { slots: 0, ..target(name, "rennes") });
    }
    share(&mut balancer, Moment::default(), "a", DONE);
}
