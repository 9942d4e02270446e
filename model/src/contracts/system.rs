//! State of the log, the nodes and the operators, and the effect of each event on it.

use super::Event;
use super::spec::{Record, RuleMutations, State, Verdict};

/// Number of nodes.
pub const NODES: usize = 2;

/// Number of publications, and of operators: each operator makes one.
pub const PUBLICATIONS: usize = 2;

/// Publication that every node has accepted when a run starts.
pub const INITIAL_PUBLICATION: u8 = PUBLICATIONS as u8;

/// Maximum number of records in the log at a time.
const MAX_RETAINED: usize = 4;

/// Initial state and bounds of the runs.
#[derive(Debug, Clone, Copy)]
pub struct Scope {
    /// Number of offsets of the log; no record is stored after them.
    pub offsets: u8,
    /// Maximum number of appends of each publication.
    pub appends: [u8; PUBLICATIONS],
    /// Maximum number of crashes in a run.
    pub crashes: u8,
    /// Whether each run starts with a record that expired before any node read it.
    pub loss: bool,
}

/// Log of records, of which the oldest may have expired.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Log {
    /// Offset of the oldest record that has not expired.
    pub start: u8,
    retained: [Option<Record>; MAX_RETAINED],
}

impl Log {
    /// Offset that the next record gets.
    pub fn end(&self) -> u8 {
        self.start + self.records().count() as u8
    }

    /// Records that have not expired, the oldest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.retained.iter().flatten()
    }

    /// Record at an offset, unless it expired or does not exist yet.
    pub fn get(&self, offset: u8) -> Option<Record> {
        let index = offset.checked_sub(self.start)?;
        self.retained.get(usize::from(index)).copied().flatten()
    }

    fn push(&mut self, scope: Scope, record: Record) -> bool {
        let in_bounds = self.end() < scope.offsets;
        let slot = self.retained.iter_mut().find(|slot| slot.is_none()).filter(|_| in_bounds);
        slot.map(|slot| *slot = Some(record)).is_some()
    }

    fn expire(&mut self) -> bool {
        let expired = self.retained[0].take().is_some();
        self.retained.rotate_left(1);
        self.start += u8::from(expired);
        expired
    }
}

/// Node that reads the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Node {
    /// Contracts in force on this node.
    pub state: State,
    /// Offset that it reads next.
    pub read_offset: u8,
    /// Highest revision that was in force here since it started.
    highest_revision: u8,
}

/// Progress of an operator with its publication.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Stage {
    /// It has not chosen a base.
    #[default]
    Idle,
    /// It has chosen a base and may append its record.
    Chosen,
    /// It read in the log that its publication was accepted.
    ReadAccepted,
    /// It read in the log that its publication was superseded.
    ReadSuperseded,
    /// Its publication is reported accepted.
    Accepted,
    /// Its publication is reported superseded.
    Superseded,
}

/// Operator that makes one publication.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Operator {
    /// Progress of its publication.
    pub stage: Stage,
    /// Revision on which its contract is based.
    pub base: u8,
    /// Number of appends sent.
    appends: u8,
    /// Whether an append was sent that the log has not stored yet.
    in_flight: bool,
}

/// State of the whole model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct System {
    /// Log of the stream of contracts.
    pub log: Log,
    /// Nodes by index.
    pub nodes: [Node; NODES],
    /// Operators by index, which is also the index of their publication.
    pub operators: [Operator; PUBLICATIONS],
    /// Resume record of each node that was sent and that the log has not stored yet.
    pending_resumes: [Option<Record>; NODES],
    /// Number of crashes so far.
    pub crashes: u8,
    /// Newest state from which a node confirmed a result to an operator.
    pub confirmed: State,
}

impl System {
    pub(crate) fn new(scope: Scope) -> Self {
        let initial = Record::Publish { publication: INITIAL_PUBLICATION, base: 0 };
        let mut log = Log::default();
        log.push(scope, initial);
        let mut node = Node::default();
        node.read(RuleMutations::default(), &log);
        if scope.loss {
            log = Log { start: node.state.next + 1, ..Log::default() };
        }
        Self {
            log,
            nodes: [node; NODES],
            operators: [Operator::default(); PUBLICATIONS],
            pending_resumes: [None; NODES],
            crashes: 0,
            confirmed: node.state,
        }
    }

    /// State after an event; `None` if the event cannot happen or changes nothing.
    pub fn apply_event(
        &self,
        mutations: RuleMutations,
        scope: Scope,
        event: Event,
    ) -> Option<Self> {
        let mut next = *self;
        let happens = match event {
            Event::Choose(op) => next.choose(mutations, op),
            Event::SendPublish(op) => next.send_publish(scope, op),
            Event::StorePublish(op) => next.store_publish(scope, op),
            Event::ReadBack(op) => next.read_back(mutations, op),
            Event::Confirm { operator, node } => next.confirm(mutations, operator, node),
            Event::Read(node) => next.nodes[node].read(mutations, &self.log),
            Event::Snapshot(node) => next.append_snapshot(scope, node),
            Event::Pull { node, peer } => next.pull(mutations, node, peer),
            Event::Resume(node) => next.resume(mutations, node),
            Event::StoreResume(node) => next.store_resume(scope, node),
            Event::Expire => next.log.expire() && next.confirmed_survives(mutations),
            Event::Crash(node) => next.crash(mutations, scope, node),
        };
        (happens && next != *self).then_some(next)
    }

    fn choose(&mut self, mutations: RuleMutations, op: usize) -> bool {
        if self.operators[op].stage != Stage::Idle {
            return false;
        }
        let Some(state) = self.read_to_end(mutations) else {
            return false;
        };
        self.operators[op].stage = Stage::Chosen;
        self.operators[op].base = state.history.revision();
        true
    }

    /// Sends an append. The acknowledgement makes no difference, so the model has none.
    fn send_publish(&mut self, scope: Scope, op: usize) -> bool {
        let operator = &mut self.operators[op];
        let allowed = operator.stage == Stage::Chosen && operator.appends < scope.appends[op];
        if !allowed || operator.in_flight {
            return false;
        }
        operator.appends += 1;
        operator.in_flight = true;
        true
    }

    fn store_publish(&mut self, scope: Scope, op: usize) -> bool {
        let in_flight = std::mem::take(&mut self.operators[op].in_flight);
        let record = Record::Publish { publication: op as u8, base: self.operators[op].base };
        in_flight && self.log.push(scope, record)
    }

    fn read_back(&mut self, mutations: RuleMutations, op: usize) -> bool {
        let operator = self.operators[op];
        if !matches!(operator.stage, Stage::Chosen | Stage::ReadAccepted | Stage::ReadSuperseded) {
            return false;
        }
        let Some(state) = self.read_to_end(mutations) else {
            return false;
        };
        let accepted = state.accepted_revision(mutations, op as u8).is_some();
        self.operators[op].stage = match (accepted, state.history.revision() > operator.base) {
            (true, _) if mutations.accept_on_read_back => Stage::Accepted,
            (true, _) => Stage::ReadAccepted,
            (false, true) if mutations.lose_on_read_back => Stage::Superseded,
            (false, true) => Stage::ReadSuperseded,
            (false, false) => Stage::Chosen,
        };
        true
    }

    fn confirm(&mut self, mutations: RuleMutations, op: usize, node: usize) -> bool {
        let operator = self.operators[op];
        let state = self.nodes[node].state;
        let accepted = state.accepted_revision(mutations, op as u8).is_some();
        self.operators[op].stage = match operator.stage {
            Stage::ReadAccepted if accepted => Stage::Accepted,
            Stage::ReadSuperseded if !accepted && state.history.revision() > operator.base => {
                Stage::Superseded
            }
            _ => return false,
        };
        if state.next > self.confirmed.next {
            self.confirmed = state;
        }
        true
    }

    fn append_snapshot(&mut self, scope: Scope, node: usize) -> bool {
        let state = self.nodes[node].state;
        let covered = self.snapshots().any(|snapshot| snapshot.next == state.next);
        state.next > 0 && !covered && self.log.push(scope, Record::Snapshot(state))
    }

    fn pull(&mut self, mutations: RuleMutations, node: usize, peer: usize) -> bool {
        let peer = self.nodes[peer].state;
        let node = &mut self.nodes[node];
        let adopted = node.state.adopt(mutations, &peer);
        if adopted {
            node.reposition(self.log.start);
        }
        adopted
    }

    fn resume(&mut self, mutations: RuleMutations, node: usize) -> bool {
        let Node { state, read_offset, .. } = self.nodes[node];
        let expected = self.log.end();
        let lost_records = state.next < read_offset && read_offset == expected && state.next > 0;
        let settled =
            mutations.resume_unsettled || self.nodes.iter().all(|n| self.is_settled(mutations, n));
        if !lost_records || !settled || self.pending_resumes[node].is_some() {
            return false;
        }
        self.pending_resumes[node] = Some(Record::Resume { expected, state });
        true
    }

    /// Whether a node has read the whole log, and a snapshot in the log covers its state.
    fn is_settled(&self, mutations: RuleMutations, node: &Node) -> bool {
        let covered = self.snapshots().any(|snapshot| snapshot.next >= node.state.next);
        let snapshot_done = mutations.resume_without_offers || covered || node.state.next == 0;
        node.read_offset == self.log.end() && snapshot_done
    }

    fn store_resume(&mut self, scope: Scope, node: usize) -> bool {
        self.pending_resumes[node].take().is_some_and(|record| self.log.push(scope, record))
    }

    fn crash(&mut self, mutations: RuleMutations, scope: Scope, node: usize) -> bool {
        self.nodes[node] = Node::default();
        self.crashes += 1;
        self.crashes <= scope.crashes && self.confirmed_survives(mutations)
    }

    /// Whether a node, or a reader that starts with an empty state, covers the confirmed state.
    fn confirmed_survives(&self, mutations: RuleMutations) -> bool {
        let covers = |state: &State| state.next >= self.confirmed.next;
        let from_log = || self.read_from(mutations, State::default());
        self.nodes.iter().any(|node| covers(&node.state))
            || from_log().is_some_and(|state| covers(&state))
    }

    /// States of the snapshot records that have not expired.
    fn snapshots(&self) -> impl Iterator<Item = &State> {
        self.log.records().filter_map(|record| match record {
            Record::Snapshot(state) => Some(state),
            _ => None,
        })
    }

    /// Whether a node's state covers a valid resume record that has not expired.
    pub(crate) fn has_resumed(&self) -> bool {
        (self.log.start..self.log.end()).any(|offset| {
            let valid = matches!(
                self.log.get(offset),
                Some(Record::Resume { expected, .. }) if expected == offset
            );
            valid && self.nodes.iter().any(|node| node.state.next > offset)
        })
    }

    /// State at the end of the log as an operator computes it: from an empty state or, if records
    /// that it needs have expired, from the state of a node.
    fn read_to_end(&self, mutations: RuleMutations) -> Option<State> {
        let peers = self.nodes.iter().map(|node| node.state);
        let initial_states = std::iter::once(State::default()).chain(peers);
        initial_states.filter_map(|initial| self.read_from(mutations, initial)).next()
    }

    fn read_from(&self, mutations: RuleMutations, state: State) -> Option<State> {
        let mut reader = Node { state, read_offset: state.next, highest_revision: 0 };
        while reader.read_offset < self.log.end() {
            reader.read(mutations, &self.log);
        }
        (reader.state.next >= reader.read_offset).then_some(reader.state)
    }

    pub(crate) fn confirmed_is_in_force(&self) -> bool {
        let reached = self.nodes.iter().filter(|node| node.state.next >= self.confirmed.next);
        reached
            .map(|node| &node.state.history)
            .all(|history| history.extends(&self.confirmed.history))
    }

    pub(crate) fn revisions_never_decrease(&self) -> bool {
        self.nodes.iter().all(|node| node.state.history.revision() >= node.highest_revision)
    }

    pub(crate) fn readers_agree(&self) -> bool {
        let mut states = self.nodes.iter().map(|node| node.state).chain(self.snapshots().copied());
        states.all(|state| {
            let consistent = |other: &Node| other.state.next != state.next || other.state == state;
            self.nodes.iter().all(consistent)
        })
    }

    pub(crate) fn one_contract_per_revision(&self) -> bool {
        let histories = || self.nodes.iter().map(|node| node.state.history);
        histories().all(|one| histories().all(|two| one.extends(&two) || two.extends(&one)))
    }

    pub(crate) fn superseded_is_not_accepted(&self) -> bool {
        let in_force = |publication: usize| {
            self.nodes
                .iter()
                .any(|node| node.state.history.publications().contains(&(publication as u8)))
        };
        let superseded =
            |publication: &usize| self.operators[*publication].stage == Stage::Superseded;
        !(0..PUBLICATIONS).filter(superseded).any(in_force)
    }

    /// Evaluated on the state at the end of the log; holds if nobody can compute that state.
    pub(crate) fn accepted_is_retained(&self) -> bool {
        let is_accepted =
            |publication: &usize| self.operators[*publication].stage == Stage::Accepted;
        let mut accepted = (0..PUBLICATIONS).filter(is_accepted).peekable();
        if accepted.peek().is_none() {
            return true;
        }
        let end = self.read_to_end(RuleMutations::default());
        end.is_none_or(|state| {
            accepted.all(|publication| state.history.publications().contains(&(publication as u8)))
        })
    }

    pub(crate) fn publications_are_unique(&self) -> bool {
        self.nodes.iter().all(|node| {
            let publications = node.state.history.publications();
            publications
                .iter()
                .enumerate()
                .all(|(index, publication)| !publications[..index].contains(publication))
        })
    }
}

impl Node {
    /// Skips expired records, and applies the next record if there is one.
    fn read(&mut self, mutations: RuleMutations, log: &Log) -> bool {
        self.read_offset = self.read_offset.max(log.start);
        let Some(record) = log.get(self.read_offset) else {
            return true;
        };
        let verdict = self.state.apply(mutations, self.read_offset, &record);
        self.read_offset += 1;
        if verdict == Verdict::SnapshotTaken {
            self.reposition(log.start);
        }
        self.highest_revision = self.highest_revision.max(self.state.history.revision());
        true
    }

    /// Moves the read offset to the end of the state, unless records at that offset have expired.
    fn reposition(&mut self, start: u8) {
        if self.state.next >= start {
            self.read_offset = self.state.next;
        }
        self.highest_revision = self.highest_revision.max(self.state.history.revision());
    }
}
