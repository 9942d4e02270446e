//! Requests that crash their targets are isolated and then refused, and bystanders are cleared.

use std::time::Duration;

use poplar_core::{
    Fingerprint, InstanceId, Moment, Permit, SuspectRefusal, SuspectReport, SuspectTable,
    SuspicionState,
};
use quickcheck::{Arbitrary, Gen};

const RETENTION: Duration = Duration::from_secs(600);
const CRASHING: Fingerprint = Fingerprint(0);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn suspects() -> SuspectTable {
    SuspectTable::new(RETENTION, 64)
}

#[test]
fn the_second_crash_convicts_a_request_and_bystanders_are_cleared() {
    let mut node = suspects();
    let prints = || (0..20).map(Fingerprint);
    let runs: Vec<_> =
        prints().map(|p| (p, node.admit(at(0), p).expect("the request is clear"))).collect();
    node.record_crash(at(1), runs);
    let mut crashes = 1;
    for print in prints() {
        let permit = node.admit(at(2), print).expect("no other suspect is running");
        assert_eq!(permit, Permit::Isolated);
        assert_eq!(node.admit(at(2), Fingerprint(19)), Err(SuspectRefusal::Busy));
        if print == CRASHING {
            node.record_crash(at(3), [(print, permit)]);
            crashes += 1;
        } else {
            node.record_success(at(3), print, permit);
        }
    }
    assert_eq!(crashes, 2);
    assert_eq!(node.admit(at(4), CRASHING), Err(SuspectRefusal::Convicted));
    for print in prints().skip(1) {
        assert_eq!(node.admit(at(4), print), Ok(Permit::Unrestricted), "{print:?} was not cleared");
    }
    node.verify().expect("the table is consistent");
    assert_eq!(
        node.state(at(3) + RETENTION, CRASHING),
        SuspicionState::Clear,
        "convictions expire"
    );
}

#[test]
fn a_bystander_of_many_crashes_is_never_convicted() {
    let mut node = suspects();
    for round in 0..9 {
        node.record_crash(at(round), [(Fingerprint(5), Permit::Unrestricted)]);
    }
    assert_eq!(node.state(at(9), Fingerprint(5)), SuspicionState::Suspect);
    let permit = node.admit(at(9), Fingerprint(5)).expect("suspects may run");
    node.record_success(at(9), Fingerprint(5), permit);
    assert_eq!(node.state(at(9), Fingerprint(5)), SuspicionState::Clear);
}

#[test]
fn a_cancelled_run_allows_the_next_suspect_to_run() {
    let mut node = suspects();
    node.record_crash(
        at(0),
        [(CRASHING, Permit::Unrestricted), (Fingerprint(1), Permit::Unrestricted)],
    );
    let permit = node.admit(at(1), CRASHING).expect("no other suspect is running");
    node.release(permit);
    assert_eq!(node.admit(at(2), Fingerprint(1)), Ok(Permit::Isolated));
    assert_eq!(
        node.state(at(2), CRASHING),
        SuspicionState::Suspect,
        "a cancelled run does not clear the request"
    );
}

#[test]
fn a_conviction_refuses_the_request_at_every_node_that_merges_it() {
    let (mut here, mut there) = (suspects(), suspects());
    here.record_crash(at(0), [(CRASHING, Permit::Unrestricted)]);
    let alone = here.admit(at(1), CRASHING).expect("no other suspect is running");
    here.record_crash(at(2), [(CRASHING, alone)]);
    there.merge(at(700_000), &here.export(at(3), 8));
    assert_eq!(there.admit(at(700_001), CRASHING), Err(SuspectRefusal::Convicted));
}

#[test]
fn nodes_that_exchange_reports_agree_in_any_order() {
    for seed in 0..300 {
        let mut random = Gen::from_size_and_seed(32, seed);
        let mut nodes = [suspects(), suspects(), suspects()];
        let mut sent: Vec<Vec<SuspectReport>> = Vec::new();
        for step in 0..60 {
            let node = &mut nodes[usize::from(u8::arbitrary(&mut random) % 3)];
            let print = Fingerprint(u64::from(u8::arbitrary(&mut random) % 4));
            match u8::arbitrary(&mut random) % 4 {
                0 => node.record_crash(at(step), [(print, Permit::Unrestricted)]),
                1 => node.record_success(at(step), print, Permit::Unrestricted),
                2 => sent.push(node.export(at(step), 64)),
                _ => {
                    let past = random.choose(&sent).cloned().unwrap_or_default();
                    node.merge(at(step), &past);
                }
            }
            node.verify().expect("the table is consistent");
        }
        let last: Vec<_> = nodes.iter().map(|node| node.export(at(60), 64)).collect();
        let seen = nodes.map(|mut node| {
            last.iter().for_each(|reports| node.merge(at(60), reports));
            (0..4).map(|n| node.state(at(60), Fingerprint(n))).collect::<Vec<_>>()
        });
        assert!(seen[0] == seen[1] && seen[1] == seen[2], "seed {seed}: {seen:?}");
    }
}

#[test]
fn the_table_is_bounded_and_evicts_suspects_before_convicted_requests() {
    let mut node = suspects();
    node.record_crash(at(0), [(CRASHING, Permit::Isolated)]);
    node.record_crash(at(1), (1..10_000).map(|n| (Fingerprint(n), Permit::Unrestricted)));
    node.verify().expect("the table is within its capacity");
    assert_eq!((node.len(), node.state(at(2), CRASHING)), (64, SuspicionState::Convicted));
    assert_eq!(node.export(at(2), 3).len(), 3);
    node.record_crash(at(2) + RETENTION, []);
    assert!(node.is_empty(), "expired records are dropped");
}

#[test]
fn all_nodes_send_a_suspect_to_the_same_target() {
    let members: Vec<InstanceId> = ["a", "b", "c", "d"].map(InstanceId::from).to_vec();
    let chosen = CRASHING.isolation_target(&members);
    assert_eq!(chosen, CRASHING.isolation_target(members.iter().rev()));
}
