//! Replays random runs of the model of contracts through `ContractState` and `LogReader`, and
//! compares verdicts and states after every step.

use std::collections::BTreeMap;
use std::sync::Arc;

use poplar_core::{
    AppliedRecord, Contract, ContractRecord, ContractState, Goal, LogBatch, LogEntry, LogReader,
    Moment, Name, Offset, PublishId, ReadAction, Revision, Verdict,
};
use poplar_model::Model;
use poplar_model::contracts::{
    Contracts, Event, INITIAL_PUBLICATION, NODES, PUBLICATIONS, Record, RuleMutations, Scope,
    State, System, Verdict as ModelVerdict,
};

/// Number of runs that each test replays.
const RUNS: u64 = 4_000;
/// Maximum number of events in a run.
const EVENTS: usize = 48;
const SEED: u64 = 5_051_203;

fn customer() -> Name {
    Name::new("armor")
}

fn contract(publication: u8) -> Arc<Contract> {
    let services = vec![Name::new(&publication.to_string())];
    Arc::new(Contract {
        customer: customer(),
        goal: Goal::Recovery,
        services,
        classes: BTreeMap::new(),
    })
}

/// Contract states of the readers, by the equivalent state of the model.
///
/// The model's snapshot record has only the model's state; its contract state is the one that its
/// author had, looked up by that state.
#[derive(Default)]
struct RealStates {
    known: Vec<(State, ContractState)>,
}

impl RealStates {
    fn insert(&mut self, state: State, contract_state: &ContractState) {
        if self.known.iter().all(|(known, _)| *known != state) {
            self.known.push((state, contract_state.clone()));
        }
    }

    fn get(&self, state: State) -> ContractState {
        let found = self.known.iter().find(|(known, _)| *known == state);
        found.expect("no reader had the state of this record before").1.clone()
    }

    fn record(&self, record: Record) -> ContractRecord {
        match record {
            Record::Publish { publication, base } => ContractRecord::Publish {
                id: PublishId(u128::from(publication)),
                base: Revision(u64::from(base)),
                contract: contract(publication),
            },
            Record::Snapshot(state) => {
                ContractRecord::Snapshot { state: Box::new(self.get(state)) }
            }
            Record::Resume { expected, state } => ContractRecord::Resume {
                expected: Offset(u64::from(expected)),
                state: Box::new(self.get(state)),
            },
        }
    }
}

/// Readers that follow the model's nodes, by the index of the node.
struct Replay {
    readers: Vec<LogReader>,
    states: RealStates,
}

impl Replay {
    fn new(system: &System) -> Self {
        let mut replay = Self { readers: Vec::new(), states: RealStates::default() };
        replay.states.insert(State::default(), &ContractState::new());
        for node in system.nodes {
            let initial = Record::Publish { publication: INITIAL_PUBLICATION, base: 0 };
            let mut contract_state = ContractState::new();
            contract_state.apply(Offset(0), &replay.states.record(initial));
            let mut reader = new_reader();
            reader.on_peer(Moment::default(), &contract_state);
            replay.states.insert(node.state, &contract_state);
            replay.readers.push(reader);
        }
        replay
    }

    fn step(&mut self, before: &System, event: Event) {
        match event {
            Event::Read(node) => self.read(before, node),
            Event::Pull { node, peer } => {
                // The model's nodes always have the bounds of the log; readers get them by reads.
                self.deliver_batch(before, node, None);
                let contract_state = self.readers[peer].state().clone();
                assert!(
                    self.readers[node].on_peer(Moment::default(), &contract_state),
                    "the peer's state was not adopted"
                );
            }
            Event::Crash(node) => self.readers[node] = new_reader(),
            _ => {}
        }
    }

    fn read(&mut self, before: &System, node: usize) {
        let log = before.log;
        let scan = before.nodes[node].read_offset.max(log.start);
        let entry = log.get(scan).map(|record| LogEntry {
            offset: Offset(u64::from(scan)),
            record: Some(self.states.record(record)),
        });
        let applied = self.deliver_batch(before, node, entry);
        let mut state = before.nodes[node].state;
        let expected =
            log.get(scan).map(|record| state.apply(RuleMutations::default(), scan, &record));
        assert_eq!(applied.first().map(|item| to_model_verdict(&item.verdict)), expected);
    }

    fn deliver_batch(
        &mut self,
        system: &System,
        node: usize,
        entry: Option<LogEntry>,
    ) -> Vec<AppliedRecord> {
        let batch = LogBatch {
            start: Offset(u64::from(system.log.start)),
            end: Offset(u64::from(system.log.end())),
            records: entry.into_iter().collect(),
        };
        next_read_offset(&mut self.readers[node]);
        self.readers[node].on_read(Moment::default(), 0, &batch)
    }

    fn compare(&mut self, system: &System) {
        for (reader, node) in self.readers.iter_mut().zip(&system.nodes) {
            let contract_state = reader.state().clone();
            self.states.insert(node.state, &contract_state);
            assert_eq!(contract_state.next(), Offset(u64::from(node.state.next)));
            assert_eq!(
                contract_state.revision(&customer()).0,
                u64::from(node.state.history.revision())
            );
            let in_force = contract_state.in_force(&customer()).map(|found| found.contract.clone());
            assert_eq!(
                in_force,
                node.state.history.publications().last().map(|publication| contract(*publication))
            );
            for publication in 0..PUBLICATIONS as u8 {
                let status =
                    contract_state.publish_status(&customer(), PublishId(u128::from(publication)));
                let accepted = node.state.accepted_revision(RuleMutations::default(), publication);
                assert_eq!(status.accepted.map(|revision| revision.0), accepted.map(u64::from));
            }
            assert_eq!(reader.verify(), Ok(()));
            assert_eq!(
                self.states.get(node.state),
                contract_state,
                "two states at the same offset differ"
            );
        }
    }

    /// Compares the next read offsets of readers and nodes; all expired offsets count as equal.
    fn compare_read_offsets(&mut self, system: &System) {
        for (reader, node) in self.readers.iter_mut().zip(&system.nodes) {
            let mut probe = reader.clone();
            let from = next_read_offset(&mut probe);
            let expected = Offset(u64::from(node.read_offset));
            let start = Offset(u64::from(system.log.start));
            assert_eq!(from.max(start), expected.max(start));
        }
    }
}

fn new_reader() -> LogReader {
    let retention = std::time::Duration::from_secs(7 * 86_400);
    LogReader::new(Moment::default(), "reader".into(), retention)
}

/// Offset of the next read of a reader, when that read is due.
fn next_read_offset(reader: &mut LogReader) -> Offset {
    let later = Moment::from_millis(60_000);
    let action = match reader.poll(later, &[]) {
        ReadAction::Pull => reader.poll(later, &[]),
        action => action,
    };
    let ReadAction::Read { from, .. } = action else {
        panic!("expected a read, got {action:?}");
    };
    from
}

fn to_model_verdict(verdict: &Verdict) -> ModelVerdict {
    match verdict {
        Verdict::Accepted(revision) => ModelVerdict::Accepted(revision.0 as u8),
        Verdict::Duplicate(revision) => ModelVerdict::Duplicate(revision.0 as u8),
        Verdict::Superseded(current) => ModelVerdict::Superseded(current.0 as u8),
        Verdict::Stale => ModelVerdict::Stale,
        Verdict::SnapshotTaken => ModelVerdict::SnapshotTaken,
        Verdict::SnapshotIgnored => ModelVerdict::SnapshotIgnored,
        Verdict::Resumed => ModelVerdict::Resumed,
        Verdict::ResumeIgnored => ModelVerdict::ResumeIgnored,
        Verdict::Gap { .. } => ModelVerdict::Gap,
        Verdict::Malformed(fault) => panic!("the model has no malformed records: {fault}"),
    }
}

/// Next number of the splitmix64 sequence, without its lowest bit.
fn next_random(seed: &mut u64) -> usize {
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (*seed ^ (*seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 1) as usize
}

fn replay_runs(scope: Scope) -> BTreeMap<&'static str, usize> {
    let model = Contracts { mutations: RuleMutations::default(), scope };
    let mut seed = SEED;
    let mut events = BTreeMap::new();
    for _ in 0..RUNS {
        let mut system = model.initial();
        let mut replay = Replay::new(&system);
        for _ in 0..EVENTS {
            let steps = model.steps(&system);
            if steps.is_empty() {
                break;
            }
            let step = &steps[next_random(&mut seed) % steps.len()];
            replay.step(&system, step.event);
            system = step.next;
            replay.compare(&system);
            replay.compare_read_offsets(&system);
            *events.entry(kind(step.event)).or_insert(0) += 1;
        }
    }
    events
}

fn kind(event: Event) -> &'static str {
    match event {
        Event::Read(_) => "read",
        Event::Pull { .. } => "pull",
        Event::Crash(_) => "crash",
        Event::StoreResume(_) => "resume",
        Event::Snapshot(_) => "snapshot",
        Event::Expire => "expire",
        _ => "other",
    }
}

#[test]
fn contract_state_matches_the_model() {
    assert_eq!(NODES, 2);
    let wide = Scope { offsets: 12, appends: [2, 2], crashes: 2, loss: false };
    let events = replay_runs(wide);
    assert!(events.len() == 7, "some kind of event never happened: {events:?}");
}

#[test]
fn contract_state_matches_the_model_after_a_loss() {
    let loss = Scope { offsets: 12, appends: [2, 2], crashes: 0, loss: true };
    let events = replay_runs(loss);
    assert!(events.contains_key("resume"), "no resume record was stored: {events:?}");
}
