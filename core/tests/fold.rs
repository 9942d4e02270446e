//! Properties of the fold of the stream of contracts.

use std::collections::BTreeMap;
use std::sync::Arc;

use poplar_core::{
    Contract, ContractRecord, Fold, Goal, Name, Offset, PublishId, RecordFault, Revision, Verdict,
};

fn contract(customer: &str, body: u64) -> Arc<Contract> {
    Arc::new(Contract {
        customer: Name::new(customer),
        goal: Goal::Goodput,
        services: vec![Name::new(&format!("service-{body}"))],
        classes: BTreeMap::new(),
    })
}

fn publish(id: u128, base: u64, body: u64) -> ContractRecord {
    ContractRecord::Publish {
        id: PublishId(id),
        base: Revision(base),
        contract: contract("armor", body),
    }
}

fn fold_of(records: &[ContractRecord]) -> Fold {
    let mut fold = Fold::new();
    for (offset, record) in records.iter().enumerate() {
        fold.apply(Offset(offset as u64), record);
    }
    fold
}

#[test]
fn of_two_operators_the_first_in_log_order_wins() {
    let mut fold = Fold::new();
    assert_eq!(fold.apply(Offset(0), &publish(1, 0, 10)), Verdict::Accepted(Revision(1)));
    assert_eq!(fold.apply(Offset(1), &publish(2, 0, 20)), Verdict::Superseded(Revision(1)));
    let armor = Name::new("armor");
    assert_eq!(*fold.in_force(&armor).unwrap().contract, contract("armor", 10));
    assert_eq!(fold.word(&armor, PublishId(2)).accepted, None);
}

#[test]
fn a_repeated_act_of_publishing_changes_nothing() {
    let mut fold = fold_of(&[publish(1, 0, 10), publish(2, 1, 20)]);
    assert_eq!(fold.apply(Offset(2), &publish(1, 0, 10)), Verdict::Duplicate(Revision(1)));
    assert_eq!(fold.revision(&Name::new("armor")), Revision(2));
    assert_eq!(fold.apply(Offset(1), &publish(9, 2, 90)), Verdict::Stale);
}

#[test]
fn a_refused_act_is_not_accepted_when_its_base_is_reached() {
    let mut fold = fold_of(&[publish(1, 0, 10), publish(7, 2, 70), publish(2, 1, 20)]);
    assert_eq!(fold.apply(Offset(3), &publish(7, 2, 70)), Verdict::Superseded(Revision(2)));
}

#[test]
fn nothing_is_judged_across_a_gap_until_a_snapshot_covers_it() {
    let state = Box::new(fold_of(&[publish(1, 0, 10), publish(2, 1, 20)]));
    let mut fold = Fold::new();
    let gap = Verdict::Gap { from: Offset(0), until: Offset(2) };
    assert_eq!(fold.apply(Offset(2), &publish(3, 0, 30)), gap);
    assert!(fold.in_force(&Name::new("armor")).is_none());
    let snapshot = ContractRecord::Snapshot { state };
    assert_eq!(fold.apply(Offset(3), &snapshot), Verdict::SnapshotTaken);
    assert_eq!(fold.apply(Offset(2), &publish(3, 0, 30)), Verdict::Superseded(Revision(2)));
    assert_eq!(fold.apply(Offset(3), &snapshot), Verdict::SnapshotIgnored);
    assert_eq!(fold.next(), Offset(4));
}

#[test]
fn a_snapshot_that_covers_itself_is_malformed() {
    let state = Box::new(fold_of(&[publish(1, 0, 10), publish(2, 1, 20)]));
    let mut fold = Fold::new();
    let verdict = fold.apply(Offset(0), &ContractRecord::Snapshot { state });
    assert!(matches!(verdict, Verdict::Malformed(RecordFault::State(_))));
    assert_eq!(fold.next(), Offset(1));
}

#[test]
fn a_resume_record_counts_only_right_behind_what_its_author_read() {
    let state = Box::new(fold_of(&[publish(1, 0, 10)]));
    let mut fold = Fold::new();
    let resume =
        |expected| ContractRecord::Resume { expected: Offset(expected), state: state.clone() };
    assert!(matches!(fold.apply(Offset(9), &resume(8)), Verdict::Gap { .. }));
    assert_eq!(fold.apply(Offset(10), &resume(10)), Verdict::Resumed);
    assert_eq!(fold.revision(&Name::new("armor")), Revision(1));
    assert_eq!(fold.next(), Offset(11));
}

#[test]
fn a_state_survives_its_encoding_and_is_adopted_only_upwards() {
    let older = fold_of(&[publish(1, 0, 10)]);
    let newer = fold_of(&[publish(1, 0, 10), publish(2, 1, 20)]);
    let text = serde_json::to_string(&ContractRecord::Snapshot { state: Box::new(newer.clone()) });
    let decoded: ContractRecord = serde_json::from_str(&text.unwrap()).unwrap();
    assert_eq!(decoded, ContractRecord::Snapshot { state: Box::new(newer.clone()) });
    let mut fold = older.clone();
    assert!(fold.adopt(&newer));
    assert!(!fold.adopt(&older));
    assert_eq!(fold, newer);
}
