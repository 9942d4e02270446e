//! Requests, calls, nodes and events of one run.

use poplar_core::{Balancer, InstanceId, Level, LevelMap, Moment, Rank, RunTimes, Ticket};

use crate::overload::deployment::ClassIdx;
use crate::overload::queue::TargetQueue;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NodeIdx(pub(super) usize);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestIdx(pub(super) usize);

/// Place of a call; the count tells a reused index from the call that had it before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallIdx {
    pub(super) index: u32,
    pub(super) generation: u32,
}

impl CallIdx {
    pub(super) fn ticket(self) -> Ticket {
        Ticket(u64::from(self.generation) << 32 | u64::from(self.index))
    }

    pub(super) fn from_ticket(ticket: Ticket) -> Self {
        Self { index: ticket.0 as u32, generation: (ticket.0 >> 32) as u32 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sender {
    Entry,
    Run(CallIdx),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallState {
    InTransit,
    Queued,
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
    pub(super) generation: u32,
    pub(super) request: RequestIdx,
    pub(super) class: ClassIdx,
    pub(super) sender: Sender,
    pub(super) from: NodeIdx,
    pub(super) node: NodeIdx,
    pub(super) state: CallState,
    pub(super) sent: Moment,
    /// Sends of the same call before this one.
    pub(super) attempt: u32,
    /// Whether somebody still waits for the answer.
    pub(super) awaited: bool,
    /// Further call that is under way.
    pub(super) child: Option<CallIdx>,
    /// Further calls answered.
    pub(super) step: usize,
    /// Slot time of this call and of what it used, in microseconds.
    pub(super) slot_micros: u64,
}

#[derive(Debug)]
pub(super) struct Request {
    pub(super) rank: Rank,
    pub(super) class: ClassIdx,
    pub(super) entry: NodeIdx,
    pub(super) created: Moment,
    pub(super) sends: u32,
    pub(super) resends: u32,
    /// Calls sent beyond the first of each.
    pub(super) extra_sends: u32,
    pub(super) call: Option<CallIdx>,
    pub(super) finished: bool,
}

#[derive(Debug)]
pub(super) struct Node {
    pub(super) zone: usize,
    pub(super) instance: InstanceId,
    pub(super) queue: TargetQueue,
    pub(super) levels: LevelMap,
    pub(super) times: RunTimes,
    /// Targets of each service as this node sees them.
    pub(super) balancers: Vec<Balancer>,
}

#[derive(Debug)]
pub(super) enum Event {
    NewRequest,
    EnterNode(RequestIdx),
    Send { request: RequestIdx, class: ClassIdx, sender: Sender, attempt: u32 },
    Arrive(CallIdx),
    WorkDone(CallIdx),
    Reply { call: CallIdx, answer: Answer, level: Level },
    Timeout(CallIdx),
    Result { request: RequestIdx, succeeded: bool },
    Expire(RequestIdx),
    Tick,
}

impl Call {
    pub(super) fn vacant() -> Self {
        Self {
            generation: 0,
            request: RequestIdx(0),
            class: ClassIdx(0),
            sender: Sender::Entry,
            from: NodeIdx(0),
            node: NodeIdx(0),
            state: CallState::Ended,
            sent: Moment::default(),
            attempt: 0,
            awaited: false,
            child: None,
            step: 0,
            slot_micros: 0,
        }
    }
}
