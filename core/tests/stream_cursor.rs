//! Positions of a reader in a store that comes back from an older copy.

use poplar_core::{Era, Offset, Position, ReadCall, StreamCursor};

fn position(era: u64, offset: u64) -> Position {
    Position { era: Era(era), offset: Offset(offset) }
}

/// Cursor that has read the newest records up to `at`.
fn cursor(at: Position) -> StreamCursor {
    let mut cursor = StreamCursor::default();
    assert!(cursor.on_page(at.era, ReadCall::Newest, at));
    cursor
}

#[test]
fn reader_follows_the_stream_from_the_newest_records() {
    assert_eq!(StreamCursor::default().next_call(), ReadCall::Newest);
    let mut cursor = cursor(position(1, 3));
    let call = cursor.next_call();
    assert_eq!(call, ReadCall::Follow(position(1, 3)));
    assert!(cursor.on_page(Era(1), call, position(1, 5)));
    assert_eq!(cursor.next_call(), ReadCall::Follow(position(1, 5)));
}

/// Guards against a reader that skips records because their offsets were assigned before.
#[test]
fn page_of_another_era_is_discarded_and_the_newest_records_are_read() {
    for era in [0, 2] {
        let mut cursor = cursor(position(1, 3));
        let call = cursor.next_call();
        assert!(!cursor.on_page(Era(1), call, position(era, 4)), "era {era}");
        assert_eq!(cursor.next_call(), ReadCall::Newest, "era {era}");
    }
}

/// Guards against an answer that is delayed until after the store has come back.
#[test]
fn newest_records_of_an_earlier_era_are_discarded() {
    let mut cursor = StreamCursor::default();
    assert!(!cursor.on_page(Era(2), ReadCall::Newest, position(1, 9)));
    assert_eq!(cursor.next_call(), ReadCall::Newest);
}

/// Guards against a reader that waits at an old offset, so that it learns of the new era only with
/// the next record.
#[test]
fn position_is_verified_without_waiting_after_a_failure() {
    let mut cursor = cursor(position(1, 3));
    cursor.on_failure();
    cursor.on_failure();
    let call = cursor.next_call();
    assert_eq!(call, ReadCall::Verify(position(1, 3)));
    assert!(cursor.on_page(Era(1), call, position(1, 3)));
    assert_eq!(cursor.next_call(), ReadCall::Follow(position(1, 3)));
    cursor.on_failure();
    let call = cursor.next_call();
    assert!(!cursor.on_page(Era(2), call, position(2, 3)));
    assert_eq!(cursor.next_call(), ReadCall::Newest);
}

#[test]
fn position_is_outdated_once_a_later_era_is_known() {
    assert!(!StreamCursor::default().is_outdated(Era(2)));
    let mut cursor = cursor(position(1, 3));
    assert!(!cursor.is_outdated(Era(1)));
    assert!(cursor.is_outdated(Era(2)));
    cursor.on_invalid();
    assert_eq!(cursor.next_call(), ReadCall::Newest);
}
