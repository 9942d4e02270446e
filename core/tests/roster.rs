//! Records of targets that arrive late and out of order.

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
fn late_word_of_a_predecessor_changes_nothing() {
    let mut roster = Roster::default();
    assert!(roster.merge(record("new", 20, 1, Stage::Serving)));
    assert!(!roster.merge(record("old", 10, 99, Stage::Serving)));
    assert!(!roster.merge(record("old", 10, 100, Stage::Left)));
    assert_eq!(roster.get(&Name::new("10.0.0.1:7")).unwrap().instance.to_string(), "new");
}

#[test]
fn same_id_started_again_is_a_new_life() {
    let mut roster = Roster::default();
    assert!(roster.merge(record("same", 10, 7, Stage::Draining)));
    assert!(roster.merge(record("same", 20, 1, Stage::Serving)));
    assert_eq!(roster.iter().next().unwrap().stage, Stage::Serving);
}

#[test]
fn of_two_words_of_one_number_the_graver_holds() {
    let mut roster = Roster::default();
    assert!(roster.merge(record("a", 10, 7, Stage::Serving)));
    assert!(roster.merge(record("a", 10, 7, Stage::Left)));
    assert!(!roster.merge(record("a", 10, 7, Stage::Serving)));
    assert_eq!(roster.version(), 2);
}

fn at(peer: usize, sequence: u64) -> TargetRecord {
    let peer = format!("10.0.0.{peer}:7");
    TargetRecord { peer: Name::new(&peer), ..record("a", 10, sequence, Stage::Serving) }
}

/// What two nodes exchange to agree does not grow with the number of nodes that they know alike.
#[test]
fn comparison_of_two_rosters_moves_what_differs_and_little_else() {
    let (mut one, mut two) = (Roster::default(), Roster::default());
    for peer in 0..300 {
        one.merge(at(peer, 1));
        two.merge(at(peer, 1));
    }
    assert_eq!(one.digest(), two.digest());
    one.merge(at(7, 2));
    two.merge(at(300, 1));
    let ranges = one.digest().differing(&two.digest());
    let moved: Vec<_> = one.in_ranges(ranges).chain(two.in_ranges(ranges)).cloned().collect();
    assert!(moved.len() <= 80, "{} of 600 records", moved.len());
    for record in moved {
        one.merge(record.clone());
        two.merge(record);
    }
    assert_eq!(one.digest(), two.digest());
    assert_eq!(one.digest().checksum(), two.digest().checksum());
    assert!(one.digest().differing(&two.digest()).is_empty());
}

#[test]
fn digest_does_not_depend_on_the_way_to_the_records() {
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
