//! State of the at-most-once model, with the replies and runs that the invariants compare.

use std::fmt;

use super::{Bounds, NODES, PARTIES, SERIALS};

/// Key of a request in the tables of the nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Key {
    /// Request of the external caller.
    Parent,
    /// Call that a run of the parent makes; the same key on every node that runs the parent.
    Child,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Parent => "parent",
            Self::Child => "child",
        })
    }
}

/// Participant that mints bindings for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Party {
    /// External caller, which calls the parent.
    Caller,
    /// Node beside the target that runs the parent, which calls the child.
    Host(usize),
}

impl Party {
    /// Every party, by index.
    pub const ALL: [Self; PARTIES] = [Self::Caller, Self::Host(0), Self::Host(1)];

    /// Index of its call in [`State::calls`].
    pub const fn index(self) -> usize {
        match self {
            Self::Caller => 0,
            Self::Host(node) => 1 + node,
        }
    }

    /// Key of the request that the party calls.
    pub const fn key(self) -> Key {
        match self {
            Self::Caller => Key::Parent,
            Self::Host(_) => Key::Child,
        }
    }
}

impl fmt::Display for Party {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Caller => f.write_str("the caller"),
            Self::Host(node) => write!(f, "the run at node {node}"),
        }
    }
}

/// Only incarnation and window that may run a call; its serial is its index in
/// [`Call::bindings`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Binding {
    /// Index of the node.
    pub node: usize,
    /// Incarnation of the node.
    pub incarnation: u8,
    /// Window of the incarnation.
    pub window: u8,
}

/// Reply of a node to a copy of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The call ran, and this is its answer.
    Done,
    /// The call did not run and will not run under this binding.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Set of the replies sent so far; each may arrive at any later step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Replies(u8);

impl Replies {
    /// Adds a reply to the set.
    pub fn add(&mut self, reply: Reply) {
        self.0 |= 1 << reply as u8;
    }

    /// Whether the reply was sent.
    pub const fn has(self, reply: Reply) -> bool {
        self.0 & (1 << reply as u8) != 0
    }
}

/// Progress of a party with its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallState {
    /// The party may bind and send the call, or waits for a reply.
    Open,
    /// The party read that the call is done.
    Done,
    /// The call's outcome is not run: a node replied so, or refused the call before it was bound.
    NotRun,
    /// The run that made the call was killed.
    Abandoned,
}

/// Call of one party, with its copies, replies and runs by serial of the binding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Call {
    /// Progress of the call.
    pub state: CallState,
    /// Bindings minted so far; copies under each may arrive at any later step.
    pub bindings: [Option<Binding>; SERIALS],
    /// Replies sent to copies under each binding.
    pub replies: [Replies; SERIALS],
    /// Number of runs of the call under each binding; 2 stands for two or more.
    pub runs: [u8; SERIALS],
}

impl Call {
    /// Number of bindings minted.
    pub fn minted(&self) -> usize {
        self.bindings.iter().flatten().count()
    }
}

/// Request that is recorded in a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Party whose copy was recorded.
    pub party: Party,
    /// Serial of the binding of the copy.
    pub serial: usize,
    /// Window of the binding of the copy.
    pub window: u8,
    /// Status of the request.
    pub status: EntryStatus,
}

/// Status of a request in a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EntryStatus {
    /// Admitted, not yet sent to the target.
    Queued,
    /// Sent to the target.
    Running,
    /// Ended with an answer.
    Done,
    /// Refused; the entry is a tombstone.
    Refused,
    /// Ended without an answer.
    Lost,
}

/// Recorded requests, by key.
pub type Table = [Option<Entry>; 2];

/// Table that a node received from the other node by a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SealedTable {
    /// Incarnation that sealed the table.
    pub incarnation: u8,
    /// Oldest window whose keys are in the table.
    pub floor: u8,
    /// Requests that ran or may have run; tombstones are not handed over.
    pub table: Table,
}

/// Node beside a target, with its table of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Node {
    /// Current incarnation.
    pub incarnation: u8,
    /// Whether the table is sealed, so that the node admits nothing more.
    pub sealed: bool,
    /// Current window, which new bindings to this node get.
    pub window: u8,
    /// Oldest window that is open, so that its new keys are admitted.
    pub oldest_open: u8,
    /// Oldest window whose keys are retained.
    pub floor: u8,
    /// Recorded requests.
    pub table: Table,
    /// Table that the other node handed over.
    pub inherited: Option<SealedTable>,
    /// Whether the node runs the repeatable parent.
    pub runs_parent: bool,
}

impl Node {
    pub(crate) const fn new(incarnation: u8) -> Self {
        let table = [None; 2];
        let (sealed, runs_parent, inherited) = (false, false, None);
        Self {
            incarnation,
            sealed,
            window: 0,
            oldest_open: 0,
            floor: 0,
            table,
            inherited,
            runs_parent,
        }
    }
}

/// State of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// Nodes, by index.
    pub nodes: [Node; NODES],
    /// Calls, by [`Party::index`].
    pub calls: [Call; PARTIES],
    /// Number of kills that may still happen.
    pub kills: u8,
    /// Number of windows that may still be opened.
    pub ticks: u8,
    /// Number of graceful stops that may still happen.
    pub seals: u8,
}

impl State {
    pub(crate) fn new(bounds: Bounds) -> Self {
        let node = Node::new(0);
        let call = Call {
            state: CallState::Open,
            bindings: [None; SERIALS],
            replies: [Replies::default(); SERIALS],
            runs: [0; SERIALS],
        };
        let Bounds { kills, ticks, seals } = bounds;
        Self { nodes: [node; NODES], calls: [call; PARTIES], kills, ticks, seals }
    }

    /// Call of a party.
    pub fn call(&self, party: Party) -> &Call {
        &self.calls[party.index()]
    }

    /// Number of runs of a request, under all its bindings.
    pub(crate) fn runs(&self, key: Key) -> u8 {
        let parties = Party::ALL.into_iter().filter(|party| party.key() == key);
        parties.flat_map(|party| self.call(party).runs).sum()
    }

    /// Whether a node runs the parent, be it repeatable or once-only.
    pub(crate) fn runs_parent(&self, node: usize) -> bool {
        let entry = self.nodes[node].table[Key::Parent as usize];
        self.nodes[node].runs_parent
            || entry.is_some_and(|entry| entry.status == EntryStatus::Running)
    }

    pub(crate) fn not_run_never_ran(&self) -> bool {
        let matching = |party: &Party| self.call(*party).state == CallState::NotRun;
        Party::ALL.into_iter().filter(matching).all(|party| self.runs(party.key()) == 0)
    }

    pub(crate) fn refused_bindings_never_ran(&self) -> bool {
        let consistent = |call: &Call| {
            let mut pairs = call.replies.iter().zip(call.runs);
            pairs.all(|(replies, runs)| runs == 0 || !replies.has(Reply::NotRun))
        };
        self.calls.iter().all(consistent)
    }

    pub(crate) fn done_requests_ran(&self) -> bool {
        let matching = |party: &Party| self.call(*party).state == CallState::Done;
        Party::ALL.into_iter().filter(matching).all(|party| self.runs(party.key()) > 0)
    }

    pub(crate) fn callers_ran(&self) -> bool {
        let called = self.calls[1..].iter().any(|call| call.minted() > 0);
        !(called && self.calls[0].state == CallState::NotRun)
    }

    pub(crate) fn has_reply(&self, reply: Reply) -> bool {
        self.calls.iter().any(|call| call.replies.iter().any(|replies| replies.has(reply)))
    }

    pub(crate) fn second_binding_ran(&self) -> bool {
        self.calls[0].runs[1] > 0
    }

    pub(crate) fn successor_answered(&self) -> bool {
        let has_inherited =
            |node: &Node| node.inherited.is_some_and(|inherited| inherited.table[0].is_some());
        self.nodes.iter().any(has_inherited) && self.calls[0].state == CallState::Done
    }

    pub(crate) fn child_outlives_caller(&self) -> bool {
        let outlives = |call: &Call| call.state == CallState::Abandoned && call.runs[0] > 0;
        self.calls[1..].iter().any(outlives)
    }

    pub(crate) fn both_calls_not_run(&self) -> bool {
        self.calls[1..].iter().all(|call| call.state == CallState::NotRun)
    }
}
