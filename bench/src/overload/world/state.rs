//! Requests, calls, nodes and events of one run.

use poplar_core::{Balancer, InstanceId, Level, LevelMap, Moment, Rank, RunTimes, Ticket};

use crate::overload::deployment::ClassIdx;
use crate::overload::gate::Gate;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NodeIdx(pub(super) usize);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RootIdx(pub(super) usize);

/// Place of a call; the count tells a reused place from the call that had it before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallIdx {
    pub(super) place: u32,
    pub(super) count: u32,
}

impl CallIdx {
    pub(super) fn ticket(self) -> Ticket {
        Ticket(u64::from(self.count) << 32 | u64::from(self.place))
    }

    pub(super) fn from_ticket(ticket: Ticket) -> Self {
        Self { place: ticket.0 as u32, count: (ticket.0 >> 32) as u32 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sender {
    Entry,
    Run(CallIdx),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    OnWay,
    Waiting,
    Running(Moment),
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    Done,
    NotRun,
    Failed,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) count: u32,
    pub(super) root: RootIdx,
    pub(super) class: ClassIdx,
    pub(super) sender: Sender,
    pub(super) from: NodeIdx,
    pub(super) node: NodeIdx,
    pub(super) state: State,
    pub(super) sent: Moment,
    /// Sends of the same call before this one.
    pub(super) tries: u32,
    /// Whether somebody still waits for the answer.
    pub(super) awaited: bool,
    /// Further call that is under way.
    pub(super) child: Option<CallIdx>,
    /// Further calls answered.
    pub(super) step: usize,
    /// Slot time of this call and of what it used, in microseconds.
    pub(super) spent: u64,
}

#[derive(Debug)]
pub(super) struct Root {
    pub(super) rank: Rank,
    pub(super) class: ClassIdx,
    pub(super) entry: NodeIdx,
    pub(super) born: Moment,
    pub(super) sends: u32,
    pub(super) resends: u32,
    /// Calls sent beyond the first of each.
    pub(super) extra: u32,
    pub(super) call: Option<CallIdx>,
    pub(super) over: bool,
}

#[derive(Debug)]
pub(super) struct Node {
    pub(super) zone: usize,
    pub(super) instance: InstanceId,
    pub(super) gate: Gate,
    pub(super) levels: LevelMap,
    pub(super) times: RunTimes,
    /// Targets of each service as this node sees them.
    pub(super) choosers: Vec<Balancer>,
}

#[derive(Debug)]
pub(super) enum Event {
    Offer,
    Enter(RootIdx),
    Send { root: RootIdx, class: ClassIdx, sender: Sender, tries: u32 },
    Reach(CallIdx),
    Worked(CallIdx),
    Reply { call: CallIdx, answer: Answer, level: Level },
    Timeout(CallIdx),
    Told { root: RootIdx, whole: bool },
    Expire(RootIdx),
    Tick,
}

impl Call {
    pub(super) fn vacant() -> Self {
        Self {
            count: 0,
            root: RootIdx(0),
            class: ClassIdx(0),
            sender: Sender::Entry,
            from: NodeIdx(0),
            node: NodeIdx(0),
            state: State::Ended,
            sent: Moment::default(),
            tries: 0,
            awaited: false,
            child: None,
            step: 0,
            spent: 0,
        }
    }
}
