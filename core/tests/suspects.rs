//! Crashing requests are isolated and refused; bystanders recover.

use std::time::Duration;

use poplar_core::{
    Barred, Fingerprint, InstanceId, Moment, Permit, Standing, SuspectReport, Suspects,
};
use quickcheck::{Arbitrary, Gen};

const MEMORY: Duration = Duration::from_secs(600);
const POISON: Fingerprint = Fingerprint(0);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn suspects() -> Suspects {
    Suspects::new(MEMORY, 64)
}

#[test]
fn the_second_crash_convicts_and_innocents_in_flight_recover() {
    let mut node = suspects();
    let prints = || (0..20).map(Fingerprint);
    let runs: Vec<_> = prints().map(|p| (p, node.admit(at(0), p).expect("clear"))).collect();
    node.crashed(at(1), runs);
    let mut crashes = 1;
    for print in prints() {
        let permit = node.admit(at(2), print).expect("no other suspect runs");
        assert_eq!(permit, Permit::Alone);
        assert_eq!(node.admit(at(2), Fingerprint(19)), Err(Barred::Busy));
        if print == POISON {
            node.crashed(at(3), [(print, permit)]);
            crashes += 1;
        } else {
            node.succeeded(at(3), print, permit);
        }
    }
    assert_eq!(crashes, 2);
    assert_eq!(node.admit(at(4), POISON), Err(Barred::Convicted));
    for print in prints().skip(1) {
        assert_eq!(node.admit(at(4), print), Ok(Permit::Open), "{print:?} did not recover");
    }
    node.verify().expect("consistent");
    assert_eq!(node.standing(at(3) + MEMORY, POISON), Standing::Clear, "convictions expire");
}

#[test]
fn a_bystander_of_many_crashes_is_never_convicted() {
    let mut node = suspects();
    for round in 0..9 {
        node.crashed(at(round), [(Fingerprint(5), Permit::Open)]);
    }
    assert_eq!(node.standing(at(9), Fingerprint(5)), Standing::Suspect);
    let permit = node.admit(at(9), Fingerprint(5)).expect("suspects may run");
    node.succeeded(at(9), Fingerprint(5), permit);
    assert_eq!(node.standing(at(9), Fingerprint(5)), Standing::Clear);
}

#[test]
fn a_cancelled_run_lets_the_next_suspect_in() {
    let mut node = suspects();
    node.crashed(at(0), [(POISON, Permit::Open), (Fingerprint(1), Permit::Open)]);
    let permit = node.admit(at(1), POISON).expect("first suspect");
    node.ended(permit);
    assert_eq!(node.admit(at(2), Fingerprint(1)), Ok(Permit::Alone));
    assert_eq!(node.standing(at(2), POISON), Standing::Suspect, "a cancel proves nothing");
}

#[test]
fn a_conviction_bars_the_request_at_every_node_it_reaches() {
    let (mut here, mut there) = (suspects(), suspects());
    here.crashed(at(0), [(POISON, Permit::Open)]);
    let alone = here.admit(at(1), POISON).expect("suspect");
    here.crashed(at(2), [(POISON, alone)]);
    there.merge(at(700_000), &here.export(at(3), 8));
    assert_eq!(there.admit(at(700_001), POISON), Err(Barred::Convicted));
}

#[test]
fn nodes_that_exchange_reports_agree_whatever_the_order() {
    for seed in 0..300 {
        let mut random = Gen::from_size_and_seed(32, seed);
        let mut nodes = [suspects(), suspects(), suspects()];
        let mut sent: Vec<Vec<SuspectReport>> = Vec::new();
        for step in 0..60 {
            let node = &mut nodes[usize::from(u8::arbitrary(&mut random) % 3)];
            let print = Fingerprint(u64::from(u8::arbitrary(&mut random) % 4));
            match u8::arbitrary(&mut random) % 4 {
                0 => node.crashed(at(step), [(print, Permit::Open)]),
                1 => node.succeeded(at(step), print, Permit::Open),
                2 => sent.push(node.export(at(step), 64)),
                _ => {
                    let past = random.choose(&sent).cloned().unwrap_or_default();
                    node.merge(at(step), &past);
                }
            }
            node.verify().expect("consistent");
        }
        let last: Vec<_> = nodes.iter().map(|node| node.export(at(60), 64)).collect();
        let seen = nodes.map(|mut node| {
            last.iter().for_each(|reports| node.merge(at(60), reports));
            (0..4).map(|n| node.standing(at(60), Fingerprint(n))).collect::<Vec<_>>()
        });
        assert!(seen[0] == seen[1] && seen[1] == seen[2], "seed {seed}: {seen:?}");
    }
}

#[test]
fn memory_is_bounded_and_convictions_outlast_suspicions() {
    let mut node = suspects();
    node.crashed(at(0), [(POISON, Permit::Alone)]);
    node.crashed(at(1), (1..10_000).map(|n| (Fingerprint(n), Permit::Open)));
    node.verify().expect("within capacity");
    assert_eq!((node.len(), node.standing(at(2), POISON)), (64, Standing::Convicted));
    assert_eq!(node.export(at(2), 3).len(), 3);
    node.crashed(at(2) + MEMORY, []);
    assert!(node.is_empty(), "expired records are dropped");
}

#[test]
fn all_nodes_send_a_suspect_to_the_same_target() {
    let members: Vec<InstanceId> = ["a", "b", "c", "d"].map(InstanceId::from).to_vec();
    let chosen = POISON.isolation(&members);
    assert_eq!(chosen, POISON.isolation(members.iter().rev()));
}
