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
