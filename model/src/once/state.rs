//! State of the at-most-once model, with what was told and what ran.

use std::fmt;

use super::{Bounds, NODES, PARTIES, SERIALS};

/// Request as the tables know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Key {
    /// Request of the outside caller.
    Parent,
    /// Call that a run of the parent makes; the same at whatever node the parent runs.
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

/// Who mints bindings for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Party {
    /// The outside caller, for the parent.
    Caller,
    /// The node beside the target that runs the parent, for the child.
    Host(usize),
}

impl Party {
    /// Every party.
    pub const ALL: [Self; PARTIES] = [Self::Caller, Self::Host(0), Self::Host(1)];

    /// Index of its call in [`State::calls`].
    pub const fn index(self) -> usize {
        match self {
            Self::Caller => 0,
            Self::Host(node) => 1 + node,
        }
    }

    /// Request that it calls.
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

/// Incarnation and window that alone may run a call; its serial is its index in the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Binding {
    /// Node.
    pub node: usize,
    /// Incarnation of the node.
    pub incarnation: u8,
    /// Window of the incarnation.
    pub window: u8,
}

/// What a node says of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reply {
    /// It ran, and this is the answer.
    Done,
    /// It did not run and will not under this binding.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Replies given so far; each may arrive at any later step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Replies(u8);

impl Replies {
    /// Adds a reply.
    pub fn add(&mut self, reply: Reply) {
        self.0 |= 1 << reply as u8;
    }

    /// Whether the reply was given.
    pub const fn has(self, reply: Reply) -> bool {
        self.0 & (1 << reply as u8) != 0
    }
}

/// How far a party is with its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallState {
    /// It may bind and send, or is waiting for word.
    Open,
    /// It was told done.
    Done,
    /// It was told not run.
    NotRun,
    /// It is gone: the run that made the call was killed.
    Abandoned,
}

/// One party's call: what was sent and what was replied, by serial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Call {
    /// How far it is.
    pub state: CallState,
    /// Bindings minted so far; copies of each may arrive at any later step.
    pub bindings: [Option<Binding>; SERIALS],
    /// Replies to copies under each binding.
    pub replies: [Replies; SERIALS],
    /// Number of runs of the call under each binding; 2 stands for more as well.
    pub runs: [u8; SERIALS],
}

impl Call {
    /// Number of bindings minted.
    pub fn minted(&self) -> usize {
        self.bindings.iter().flatten().count()
    }
}

/// Recorded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Party whose copy was recorded.
    pub party: Party,
    /// Serial of its binding.
    pub serial: usize,
    /// Window of its binding.
    pub window: u8,
    /// What is known of it.
    pub status: EntryStatus,
}

/// What a table knows of a recorded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EntryStatus {
    /// Admitted, not yet handed to the target.
    Queued,
    /// Handed to the target.
    Running,
    /// Ended with an answer.
    Done,
    /// Refused: a tombstone.
    Refused,
    /// Ended without an answer.
    Lost,
}

/// Requests recorded, by key.
pub type Table = [Option<Entry>; 2];

/// Table that a node took over from the other one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SealedTable {
    /// Incarnation that it speaks for.
    pub incarnation: u8,
    /// Oldest window whose keys are in the table.
    pub floor: u8,
    /// What ran or may have run.
    pub table: Table,
}

/// Node beside a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Node {
    /// Present incarnation.
    pub incarnation: u8,
    /// Whether it admits nothing more.
    pub sealed: bool,
    /// Window in which bindings are minted.
    pub window: u8,
    /// Windows that admit keys are this one and the later ones.
    pub oldest_open: u8,
    /// Windows whose keys are held are this one and the later ones.
    pub floor: u8,
    /// Requests recorded.
    pub table: Table,
    /// Table taken over from the other node.
    pub inherited: Option<SealedTable>,
    /// Whether it runs the repeatable parent.
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
    /// Nodes.
    pub nodes: [Node; NODES],
    /// Calls, by [`Party::index`].
    pub calls: [Call; PARTIES],
    /// Steps of each fault that are left.
    pub kills: u8,
    /// Windows that may still be opened.
    pub ticks: u8,
    /// Graceful stops that may still come.
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

    /// Flow of a party.
    pub fn call(&self, party: Party) -> &Call {
        &self.calls[party.index()]
    }

    /// Number of runs of a request, under all its bindings.
    pub(crate) fn runs(&self, key: Key) -> u8 {
        let parties = Party::ALL.into_iter().filter(|party| party.key() == key);
        parties.flat_map(|party| self.call(party).runs).sum()
    }

    /// Whether a node of the state runs the parent.
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
