//! Properties of the fold of the stream of contracts.

use crate::log::{contract, customer, fold_of, publish};
use poplar_core::{
    ContractRecord, ContractState, Offset, PublishId, RecordFault, Revision, Verdict,
};

#[test]
fn of_two_operators_the_first_in_log_order_wins() {
    let mut fold = ContractState::new();
    assert_eq!(fold.apply(Offset(0), &publish(1, 0)), Verdict::Accepted(Revision(1)));
    assert_eq!(fold.apply(Offset(1), &publish(2, 0)), Verdict::Superseded(Revision(1)));
    assert_eq!(*fold.in_force(&customer()).unwrap().contract, contract(1));
    assert_eq!(fold.publish_status(&customer(), PublishId(2)).accepted, None);
}

#[test]
fn a_repeated_act_of_publishing_changes_nothing() {
    let mut fold = fold_of(&[publish(1, 0), publish(2, 1)]);
    assert_eq!(fold.apply(Offset(2), &publish(1, 0)), Verdict::Duplicate(Revision(1)));
    assert_eq!(fold.revision(&customer()), Revision(2));
    assert_eq!(fold.apply(Offset(1), &publish(9, 2)), Verdict::Stale);
}

#[test]
fn a_record_is_judged_on_its_base_alone_whatever_became_of_an_earlier_copy() {
    let mut fold = fold_of(&[publish(1, 0)]);
    assert_eq!(fold.apply(Offset(1), &publish(7, 2)), Verdict::Superseded(Revision(1)));
    assert_eq!(fold.apply(Offset(2), &publish(2, 1)), Verdict::Accepted(Revision(2)));
    assert_eq!(fold.apply(Offset(3), &publish(7, 2)), Verdict::Accepted(Revision(3)));
    assert_eq!(fold.apply(Offset(4), &publish(8, 2)), Verdict::Superseded(Revision(3)));
}

#[test]
fn nothing_is_judged_across_a_gap_until_a_snapshot_covers_it() {
    let state = Box::new(fold_of(&[publish(1, 0), publish(2, 1)]));
    let mut fold = ContractState::new();
    let gap = Verdict::Gap { from: Offset(0), until: Offset(2) };
    assert_eq!(fold.apply(Offset(2), &publish(3, 0)), gap);
    assert!(fold.in_force(&customer()).is_none());
    let snapshot = ContractRecord::Snapshot { state };
    assert_eq!(fold.apply(Offset(3), &snapshot), Verdict::SnapshotTaken);
    assert_eq!(fold.apply(Offset(2), &publish(3, 0)), Verdict::Superseded(Revision(2)));
    assert_eq!(fold.apply(Offset(3), &snapshot), Verdict::SnapshotIgnored);
    assert_eq!(fold.next(), Offset(4));
}

#[test]
fn a_snapshot_that_covers_itself_is_malformed() {
    let state = Box::new(fold_of(&[publish(1, 0), publish(2, 1)]));
    let mut fold = ContractState::new();
    let verdict = fold.apply(Offset(0), &ContractRecord::Snapshot { state });
    assert!(matches!(verdict, Verdict::Malformed(RecordFault::State(_))));
    assert_eq!(fold.next(), Offset(1));
}

#[test]
fn a_resume_record_counts_only_right_behind_what_its_author_read() {
    let state = Box::new(fold_of(&[publish(1, 0)]));
    let mut fold = ContractState::new();
    let resume =
        |expected| ContractRecord::Resume { expected: Offset(expected), state: state.clone() };
    assert!(matches!(fold.apply(Offset(9), &resume(8)), Verdict::Gap { .. }));
    assert_eq!(fold.apply(Offset(10), &resume(10)), Verdict::Resumed);
    assert_eq!(fold.revision(&customer()), Revision(1));
    assert_eq!(fold.next(), Offset(11));
}

#[test]
fn a_state_survives_its_encoding_and_is_adopted_only_upwards() {
    let older = fold_of(&[publish(1, 0)]);
    let newer = fold_of(&[publish(1, 0), publish(2, 1)]);
    let text = serde_json::to_string(&ContractRecord::Snapshot { state: Box::new(newer.clone()) });
    let decoded: ContractRecord = serde_json::from_str(&text.unwrap()).unwrap();
    assert_eq!(decoded, ContractRecord::Snapshot { state: Box::new(newer.clone()) });
    let mut fold = older.clone();
    assert!(fold.adopt(&newer));
    assert!(!fold.adopt(&older));
    assert_eq!(fold, newer);
}
