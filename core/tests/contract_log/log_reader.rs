//! Actions of the log reader, and when they are due.

use std::time::Duration;

use poplar_core::{
    ContractRecord, ContractState, InstanceId, LogReader, Moment, Offset, RESUME_DELAY, ReadAction,
    Revision, Verdict, backoff,
};

use crate::log::{Log, customer, publish, read_once, state_of};

const HOUR: Duration = Duration::from_secs(3_600);

fn at(secs: u64) -> Moment {
    Moment::from_millis(secs * 1_000)
}

fn reader(name: &str) -> LogReader {
    LogReader::new(at(0), InstanceId::from(name), HOUR)
}

/// Log whose records 0 to 2 expired, and the state of a node that read the first `read` of them.
fn log_with_loss(read: usize) -> (Log, ContractState) {
    let mut log = Log::default();
    (0..3).for_each(|base| log.append(publish(u128::from(base) + 1, base)));
    let state = state_of(&log.records()[..read]);
    log.truncate(3);
    log.append(publish(9, 0));
    (log, state)
}

/// Polls a reader once a second from `span[0]` up to `span[1]`; returns the seconds in which it
/// appended a record.
fn run(reader: &mut LogReader, log: &mut Log, live: &[InstanceId], span: [u64; 2]) -> Vec<u64> {
    let mut appended = Vec::new();
    for secs in span[0]..span[1] {
        let now = at(secs);
        match reader.poll(now, live) {
            ReadAction::Read { from, .. } => {
                reader.on_read(now, 0, &log.read(from, 100));
            }
            ReadAction::Append(record) => {
                log.append(record);
                reader.on_append(now);
                appended.push(secs);
            }
            ReadAction::Pull | ReadAction::Wait(_) => {}
        }
        assert_eq!(reader.verify(), Ok(()));
    }
    appended
}

#[test]
fn reader_pulls_from_peers_during_an_outage_and_never_moves_back() {
    let mut reader = reader("a");
    reader.on_error(at(1), 7);
    assert_eq!(reader.poll(at(1), &[]), ReadAction::Pull);
    let peer = state_of(&[publish(1, 0), publish(2, 1)]);
    assert!(reader.on_peer(at(1), &peer));
    assert!(matches!(reader.poll(at(1), &[]), ReadAction::Wait(_)));
    assert_eq!(reader.state().revision(&customer()), Revision(2));
    assert!(!reader.on_peer(at(2), &state_of(&[publish(1, 0)])));
    assert_eq!(reader.staleness(at(9)), Duration::from_secs(9));
}

#[test]
fn slow_pulls_do_not_keep_a_reader_from_reading_the_log() {
    let mut reader = reader("a");
    reader.on_error(at(1), 0);
    assert_eq!(reader.poll(at(10), &[]), ReadAction::Pull);
    assert!(matches!(reader.poll(at(20), &[]), ReadAction::Read { .. }));
}

#[test]
fn read_overtaken_by_a_pull_does_not_count_as_an_error_of_the_log() {
    let records = [publish(1, 0), publish(2, 1), publish(3, 2)];
    let mut log = Log::default();
    log.append(records[0].clone());
    let mut reader = reader("a");
    read_once(&mut reader, at(0), &log, 10);
    let ReadAction::Read { from, .. } = reader.poll(at(0), &[]) else {
        panic!("a reader that is current continues with a read");
    };
    let batch = log.read(from, 10);
    reader.on_peer(at(1), &state_of(&records));
    assert!(reader.on_read(at(2), 0, &batch).is_empty());
    assert!(matches!(reader.poll(at(2), &[]), ReadAction::Read { from: Offset(3), .. }));
}

#[test]
fn backoff_grows_to_its_bound_and_is_jittered() {
    assert!(backoff(1, 0) < backoff(5, 0));
    assert_eq!(backoff(u32::MAX, 0), backoff(20, 0));
    assert_ne!(backoff(5, 1), backoff(5, 2));
}

#[test]
fn batch_with_a_missing_offset_or_from_a_shorter_log_changes_nothing() {
    let mut log = Log::default();
    (0..3).for_each(|base| log.append(publish(u128::from(base) + 1, base)));
    let mut reader = reader("a");
    let mut incomplete = log.read(Offset(0), 3);
    incomplete.records.remove(1);
    assert!(reader.on_read(at(0), 0, &incomplete).is_empty());
    assert_eq!(reader.state(), &ContractState::new());
    reader.on_read(at(9), 0, &log.read(Offset(0), 3));
    assert!(reader.is_current());
    assert!(matches!(reader.poll(at(9), &[]), ReadAction::Read { from: Offset(3), .. }));
    assert!(reader.on_read(at(9), 0, &Log::default().read(Offset(3), 3)).is_empty());
    assert_eq!(reader.poll(at(9), &[]), ReadAction::Pull);
    assert_eq!(reader.state().revision(&customer()), Revision(3));
    assert!(!reader.is_current());
}

#[test]
fn one_snapshot_is_appended_and_renewed_before_half_the_retention() {
    let live = ["a", "b", "c"].map(InstanceId::from);
    let mut log = Log::default();
    log.append(publish(1, 0));
    let mut readers = ["a", "b", "c"].map(reader);
    for secs in 0..1_700 {
        for reader in &mut readers {
            run(reader, &mut log, &live, [secs, secs + 1]);
        }
    }
    assert_eq!(log.end(), 1 + 2);
    assert!(readers.iter().all(|reader| reader.state() == readers[0].state()));
}

#[test]
fn reader_that_is_not_among_the_live_nodes_appends_nothing() {
    let mut log = Log::default();
    log.append(publish(1, 0));
    assert!(run(&mut reader("a"), &mut log, &["b".into()], [0, 3_600]).is_empty());
}

#[test]
fn stream_resumes_only_after_the_resume_delay_and_with_the_state_that_covers_most() {
    let live = ["a", "b"].map(InstanceId::from);
    let (mut log, state) = log_with_loss(2);
    let mut better = reader("a");
    better.on_peer(at(0), &state);
    let mut lesser = reader("b");
    lesser.on_peer(at(0), &state_of(&[publish(1, 0)]));
    for secs in 0..150 {
        run(&mut better, &mut log, &live, [secs, secs + 1]);
        run(&mut lesser, &mut log, &live, [secs, secs + 1]);
        let waiting = Duration::from_secs(secs) < RESUME_DELAY;
        assert!(better.has_gap() || !waiting, "resumed at {secs} s");
    }
    assert!(better.is_current() && lesser.is_current());
    assert_eq!(better.state(), lesser.state());
    assert_eq!(better.state().revision(&customer()), Revision(2));
}

#[test]
fn snapshot_that_expired_while_records_are_missing_is_appended_again() {
    let live = [InstanceId::from("a")];
    let (mut log, state) = log_with_loss(2);
    let mut reader = reader("a");
    reader.on_peer(at(0), &state);
    assert_eq!(run(&mut reader, &mut log, &live, [0, 20]).len(), 1);
    log.truncate(log.end());
    log.append(publish(8, 2));
    assert_eq!(run(&mut reader, &mut log, &live, [20, 40]).len(), 1);
    assert!(reader.has_gap());
}

#[test]
fn node_without_a_state_appends_no_resume_record() {
    let (mut log, _) = log_with_loss(0);
    let mut fresh = reader("a");
    assert!(run(&mut fresh, &mut log, &["a".into()], [0, 600]).is_empty());
    assert!(fresh.has_gap() && fresh.state().in_force(&customer()).is_none());
    let restart = fresh.restart_record(at(600)).unwrap();
    let offset = Offset(log.end() as u64);
    assert_eq!(fresh.state().clone().apply(offset, &restart), Verdict::Resumed);
}

#[test]
fn overtaken_resume_record_has_no_effect() {
    let (mut log, state) = log_with_loss(2);
    let mut reader = reader("a");
    reader.on_peer(at(0), &state);
    log.append(publish(8, 2));
    let expected = Offset(log.end() as u64 - 1);
    log.append(ContractRecord::Resume { expected, state: Box::new(state) });
    read_once(&mut reader, at(1), &log, 100);
    assert!(reader.has_gap());
    assert_eq!(reader.state().revision(&customer()), Revision(2));
}
