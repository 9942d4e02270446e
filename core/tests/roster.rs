//! Merging and comparing rosters whose records arrive late and out of order.

use std::time::Duration;

use poplar_core::{Age, InstanceId, Name, Roster, Stage, TargetRecord};

fn record(instance: &str, born: u64, sequence: u64, stage: Stage) -> TargetRecord {
    TargetRecord {
        peer: Name::new("10.0.0.1:7"),
        instance: InstanceId::from(instance),
        service: Name::new("s"),
        address: Name::new("10.0.0.1:8"),
        zone: Name::new("z"),
        slots: 4,
        stage,
        cold: Duration::ZERO,
        age: Age { born, sequence },
    }
}

#[test]
fn late_record_of_an_earlier_target_changes_nothing() {
    let mut roster = Roster::default();
    assert!(roster.merge(record("new", 20, 1, Stage::Serving)));
    assert!(!roster.merge(record("old", 10, 99, Stage::Serving)));
    assert!(!roster.merge(record("old", 10, 100, Stage::Left)));
    assert_eq!(roster.get(&Name::new("10.0.0.1:7")).unwrap().instance.to_string(), "new");
}

#[test]
fn record_of_a_later_start_replaces_that_of_an_earlier_one() {
    let mut roster = Roster::default();
    assert!(roster.merge(record("same", 10, 7, Stage::Draining)));
    assert!(roster.merge(record("same", 20, 1, Stage::Serving)));
    assert_eq!(roster.iter().next().unwrap().stage, Stage::Serving);
}

#[test]
fn later_stage_replaces_an_earlier_one_of_the_same_age() {
    let mut roster = Roster::default();
    assert!(roster.merge(record("a", 10, 7, Stage::Serving)));
    assert!(roster.merge(record("a", 10, 7, Stage::Left)));
    assert!(!roster.merge(record("a", 10, 7, Stage::Serving)));
    assert_eq!(roster.version(), 2);
}

/// A node that restarts does not know that its target is leaving, and announces it as serving.
#[test]
fn later_record_of_a_leaving_target_does_not_reactivate_it() {
    let mut roster = Roster::default();
    roster.merge(record("i-1", 10, 3, Stage::Draining));
    assert!(roster.merge(record("i-1", 10, 7, Stage::Serving)));
    let known = roster.iter().next().unwrap();
    assert_eq!((known.stage, known.age.sequence), (Stage::Draining, 7));
    assert!(roster.merge(record("i-1", 11, 0, Stage::Serving)), "a later start");
    assert_eq!(roster.iter().next().unwrap().stage, Stage::Serving);
}

fn at(peer: usize, sequence: u64) -> TargetRecord {
    let peer = format!("10.0.0.{peer}:7");
    TargetRecord { peer: Name::new(&peer), ..record("a", 10, sequence, Stage::Serving) }
}

/// Two nodes exchange only the records in ranges that differ, however many records they have in
/// common.
#[test]
fn comparison_of_two_rosters_exchanges_only_ranges_that_differ() {
    let (mut one, mut two) = (Roster::default(), Roster::default());
    for peer in 0..300 {
        one.merge(at(peer, 1));
        two.merge(at(peer, 1));
    }
    assert_eq!(one.digest(), two.digest());
    one.merge(at(7, 2));
    two.merge(at(300, 1));
    let ranges = one.digest().differing(&two.digest());
    let exchanged: Vec<_> = one.in_ranges(ranges).chain(two.in_ranges(ranges)).cloned().collect();
    assert!(exchanged.len() <= 80, "{} of 600 records", exchanged.len());
    for record in exchanged {
        one.merge(record.clone());
        two.merge(record);
    }
    assert_eq!(one.digest(), two.digest());
    assert_eq!(one.digest().checksum(), two.digest().checksum());
    assert!(one.digest().differing(&two.digest()).is_empty());
}

#[test]
fn digest_does_not_depend_on_the_order_of_merges_and_removals() {
    let (mut one, mut two) = (Roster::default(), Roster::default());
    for sequence in 1..9 {
        one.merge(at(1, sequence));
    }
    one.merge(at(2, 1));
    two.merge(at(2, 1));
    two.merge(at(3, 1));
    two.merge(at(1, 8));
    assert!(two.remove(&Name::new("10.0.0.3:7")));
    assert_eq!(one.digest(), two.digest());
}
