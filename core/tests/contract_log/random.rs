//! Random runs: after any order of appends, duplicates, expiries, pulls and restarts, the readers
//! of a log agree, and no reader moves back on the way.

use std::collections::BTreeMap;

use crate::log::{Log, customer, publish, read_once};
use poplar_core::{ContractRecord, InstanceId, LogReader, Moment, Offset, PublishId, Revision};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const READERS: usize = 4;
const SEED: u64 = 20_261_203;

/// Event of a run.
#[derive(Debug, Clone)]
enum Event {
    /// Appends `copies` publish records whose base is the reader's revision plus `shift`.
    Publish { reader: usize, shift: u64, copies: usize },
    /// Appends an earlier record again, as after a lost acknowledgement.
    Repeat { record: usize },
    /// Appends a snapshot of a reader's state.
    Snapshot { reader: usize },
    /// Expires records that a snapshot covers, except for the last `keep` of them.
    Truncate { keep: usize },
    /// Lets a reader read up to `limit` records.
    Read { reader: usize, limit: usize },
    /// Gives one reader's state to another.
    Pull { from: usize, to: usize },
    /// Replaces a reader by a new one.
    Restart { reader: usize },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut pick = |bound: usize| usize::arbitrary(g) % bound;
        let reader = pick(READERS);
        match pick(12) {
            0..3 => {
                let shift = [0, 0, 0, 1][pick(4)];
                Self::Publish { reader, shift, copies: 1 + pick(2) }
            }
            3 => Self::Repeat { record: pick(64) },
            4 => Self::Snapshot { reader },
            5 => Self::Truncate { keep: pick(4) },
            6 => Self::Pull { from: reader, to: pick(READERS) },
            7 => Self::Restart { reader },
            _ => Self::Read { reader, limit: 1 + pick(4) },
        }
    }
}

/// Readers of one log, with the publish id of every revision that any of them had in force.
struct Run {
    log: Log,
    readers: Vec<LogReader>,
    publish_ids: BTreeMap<Revision, PublishId>,
    published: u128,
}

impl Run {
    fn new() -> Self {
        let readers = (0..READERS).map(|_| new_reader()).collect();
        Self { log: Log::default(), readers, publish_ids: BTreeMap::new(), published: 0 }
    }

    fn step(&mut self, event: &Event) {
        match *event {
            Event::Publish { reader, shift, copies } => {
                let base = self.readers[reader].state().revision(&customer()).0 + shift;
                self.published += 1;
                (0..copies).for_each(|_| self.log.append(publish(self.published, base)));
            }
            Event::Repeat { record } => {
                let found = self.log.records().get(record).cloned();
                found.into_iter().for_each(|record| self.log.append(record));
            }
            Event::Snapshot { reader } => {
                let state = Box::new(self.readers[reader].state().clone());
                self.log.append(ContractRecord::Snapshot { state });
            }
            Event::Truncate { keep } => self.truncate(keep),
            Event::Read { reader, limit } => {
                read_once(&mut self.readers[reader], Moment::default(), &self.log, limit);
            }
            Event::Pull { from, to } => {
                let state = self.readers[from].state().clone();
                self.readers[to].on_peer(Moment::default(), &state);
            }
            Event::Restart { reader } => self.readers[reader] = new_reader(),
        }
    }

    /// Moves the start of the log, but only so far that a remaining snapshot covers the expired
    /// records.
    fn truncate(&mut self, keep: usize) {
        let records = self.log.records().iter().enumerate();
        let valid = records.filter_map(|(index, record)| match record {
            ContractRecord::Snapshot { state } => {
                Some((self.log.start() + index).min(state.next().0 as usize))
            }
            _ => None,
        });
        let start = valid.max().unwrap_or(0).saturating_sub(keep);
        self.log.truncate(start);
    }

    /// Whether no reader but a restarted one moved back, and each revision has a single publish id.
    fn holds(&mut self, before: &[(Offset, Revision)], restarted: Option<usize>) -> bool {
        let mut valid = true;
        for (index, reader) in self.readers.iter().enumerate() {
            let (next, revision) = position(reader);
            let monotonic = next >= before[index].0 && revision >= before[index].1;
            valid &= reader.verify().is_ok() && (monotonic || restarted == Some(index));
            if let Some(found) = reader.state().in_force(&customer()) {
                valid &= *self.publish_ids.entry(revision).or_insert(found.id) == found.id;
            }
        }
        valid
    }

    /// Whether all readers, and a new one, have the same state at the end of the log.
    fn agrees(&mut self) -> bool {
        self.readers.push(new_reader());
        for reader in &mut self.readers {
            (0..4 * (self.log.end() + 2)).for_each(|round| {
                let now = Moment::from_millis(10_000 * (round as u64 + 1));
                read_once(reader, now, &self.log, 3);
            });
        }
        let first = self.readers[0].state();
        let end = Offset(self.log.end() as u64);
        first.next() == end && self.readers.iter().all(|reader| reader.state() == first)
    }
}

fn new_reader() -> LogReader {
    let week = std::time::Duration::from_secs(7 * 86_400);
    LogReader::new(Moment::default(), InstanceId::from("reader"), week)
}

fn position(reader: &LogReader) -> (Offset, Revision) {
    (reader.state().next(), reader.state().revision(&customer()))
}

fn readers_agree_and_never_move_back(events: Vec<Event>) -> bool {
    let mut run = Run::new();
    let valid = events.iter().all(|event| {
        let before: Vec<_> = run.readers.iter().map(position).collect();
        run.step(event);
        let restarted = match event {
            Event::Restart { reader } => Some(*reader),
            _ => None,
        };
        run.holds(&before, restarted)
    });
    valid && run.agrees()
}

#[test]
fn readers_agree_after_random_interleaving_duplication_and_truncation() {
    let source = Gen::from_size_and_seed(160, SEED);
    let check = readers_agree_and_never_move_back as fn(Vec<Event>) -> bool;
    QuickCheck::new().rng(source).tests(2_000).quickcheck(check);
}
