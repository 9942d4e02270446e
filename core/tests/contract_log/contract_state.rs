//! Results of applying records of the stream of contracts to the contract state.

use crate::log::{contract, customer, publish, state_of};
use poplar_core::{
    ContractRecord, ContractState, Offset, PublishId, RecordFault, Revision, Verdict,
};

#[test]
fn first_of_two_publications_on_one_base_is_accepted() {
    let mut contracts = ContractState::new();
    assert_eq!(contracts.apply(Offset(0), &publish(1, 0)), Verdict::Accepted(Revision(1)));
    assert_eq!(contracts.apply(Offset(1), &publish(2, 0)), Verdict::Superseded(Revision(1)));
    assert_eq!(*contracts.in_force(&customer()).unwrap().contract, contract(1));
    assert_eq!(contracts.publish_status(&customer(), PublishId(2)).accepted, None);
}

#[test]
fn repeated_publication_changes_nothing() {
    let mut contracts = state_of(&[publish(1, 0), publish(2, 1)]);
    assert_eq!(contracts.apply(Offset(2), &publish(1, 0)), Verdict::Duplicate(Revision(1)));
    assert_eq!(contracts.revision(&customer()), Revision(2));
    assert_eq!(contracts.apply(Offset(1), &publish(9, 2)), Verdict::Stale);
}

#[test]
fn record_is_accepted_by_its_base_alone_even_if_an_earlier_copy_was_not() {
    let mut contracts = state_of(&[publish(1, 0)]);
    assert_eq!(contracts.apply(Offset(1), &publish(7, 2)), Verdict::Superseded(Revision(1)));
    assert_eq!(contracts.apply(Offset(2), &publish(2, 1)), Verdict::Accepted(Revision(2)));
    assert_eq!(contracts.apply(Offset(3), &publish(7, 2)), Verdict::Accepted(Revision(3)));
    assert_eq!(contracts.apply(Offset(4), &publish(8, 2)), Verdict::Superseded(Revision(3)));
}

#[test]
fn no_record_is_applied_across_a_gap_until_a_snapshot_covers_it() {
    let state = Box::new(state_of(&[publish(1, 0), publish(2, 1)]));
    let mut contracts = ContractState::new();
    let gap = Verdict::Gap { from: Offset(0), until: Offset(2) };
    assert_eq!(contracts.apply(Offset(2), &publish(3, 0)), gap);
    assert!(contracts.in_force(&customer()).is_none());
    let snapshot = ContractRecord::Snapshot { state };
    assert_eq!(contracts.apply(Offset(3), &snapshot), Verdict::SnapshotTaken);
    assert_eq!(contracts.apply(Offset(2), &publish(3, 0)), Verdict::Superseded(Revision(2)));
    assert_eq!(contracts.apply(Offset(3), &snapshot), Verdict::SnapshotIgnored);
    assert_eq!(contracts.next(), Offset(4));
}

#[test]
fn snapshot_that_covers_itself_is_malformed() {
    let state = Box::new(state_of(&[publish(1, 0), publish(2, 1)]));
    let mut contracts = ContractState::new();
    let verdict = contracts.apply(Offset(0), &ContractRecord::Snapshot { state });
    assert!(matches!(verdict, Verdict::Malformed(RecordFault::State(_))));
    assert_eq!(contracts.next(), Offset(1));
}

#[test]
fn resume_record_takes_effect_only_at_its_expected_offset() {
    let state = Box::new(state_of(&[publish(1, 0)]));
    let mut contracts = ContractState::new();
    let resume =
        |expected| ContractRecord::Resume { expected: Offset(expected), state: state.clone() };
    assert!(matches!(contracts.apply(Offset(9), &resume(8)), Verdict::Gap { .. }));
    assert_eq!(contracts.apply(Offset(10), &resume(10)), Verdict::Resumed);
    assert_eq!(contracts.revision(&customer()), Revision(1));
    assert_eq!(contracts.next(), Offset(11));
}

#[test]
fn state_survives_encoding_and_adopts_only_a_state_that_covers_more() {
    let older = state_of(&[publish(1, 0)]);
    let newer = state_of(&[publish(1, 0), publish(2, 1)]);
    let text = serde_json::to_string(&ContractRecord::Snapshot { state: Box::new(newer.clone()) });
    let decoded: ContractRecord = serde_json::from_str(&text.unwrap()).unwrap();
    assert_eq!(decoded, ContractRecord::Snapshot { state: Box::new(newer.clone()) });
    let mut contracts = older.clone();
    assert!(contracts.adopt(&newer));
    assert!(!contracts.adopt(&older));
    assert_eq!(contracts, newer);
}
