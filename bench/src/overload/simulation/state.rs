//! Requests, calls, nodes and events of one run.

use poplar_core::{Balancer, InstanceId, Level, LevelMap, Moment, Rank, RunTimes, Ticket};

use crate::overload::deployment::ClassIdx;
use crate::overload::queue::TargetQueue;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NodeIdx(pub(super) usize);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestIdx(pub(super) usize);

/// Index of a call in the list of calls. Indices are reused; the generation distinguishes a call
/// from earlier ones with the same index.
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
/// One send of a call to a target.
pub(super) struct Call {
    pub(super) generation: u32,
    pub(super) request: RequestIdx,
    pub(super) class: ClassIdx,
    pub(super) sender: Sender,
    pub(super) from: NodeIdx,
    pub(super) node: NodeIdx,
    pub(super) state: CallState,
    pub(super) sent: Moment,
    /// Number of earlier sends of the same call.
    pub(super) attempt: u32,
    /// Whether the sender still waits for the answer.
    pub(super) awaited: bool,
    /// Nested call in progress.
    pub(super) child: Option<CallIdx>,
    /// Number of nested calls that were answered.
    pub(super) step: usize,
    /// Slot time of this call and of its answered nested calls, in microseconds.
    pub(super) slot_micros: u64,
}

#[derive(Debug)]
pub(super) struct Request {
    pub(super) rank: Rank,
    pub(super) class: ClassIdx,
    pub(super) entry: NodeIdx,
    pub(super) created: Moment,
    /// Number of times that the caller's sends reached the entry node.
    pub(super) sends: u32,
    /// Number of re-sends by the caller.
    pub(super) resends: u32,
    /// Number of sends, over the whole chain of calls, beyond the first of each call.
    pub(super) extra_sends: u32,
    pub(super) call: Option<CallIdx>,
    /// Whether the request succeeded or its deadline passed.
    pub(super) finished: bool,
}

#[derive(Debug)]
pub(super) struct Node {
    pub(super) zone: usize,
    pub(super) instance: InstanceId,
    pub(super) queue: TargetQueue,
    pub(super) levels: LevelMap,
    pub(super) times: RunTimes,
    /// Balancers over the targets of each service, with what this node has observed of them.
    pub(super) balancers: Vec<Balancer>,
}

#[derive(Debug)]
pub(super) enum Event {
    /// A caller sends a new request.
    NewRequest,
    /// A request, or a re-send of it, arrives at its entry node.
    EnterNode(RequestIdx),
    /// A call is sent after a pause.
    Send { request: RequestIdx, class: ClassIdx, sender: Sender, attempt: u32 },
    /// A call arrives at the node of its target.
    Arrive(CallIdx),
    /// The target has done its own work on a call, before the nested calls.
    WorkDone(CallIdx),
    /// An answer arrives at the node that sent the call.
    Reply { call: CallIdx, answer: Answer, level: Level },
    /// A hop without poplarbridge stops waiting for a call.
    Timeout(CallIdx),
    /// The result of a request arrives at its caller.
    Result { request: RequestIdx, succeeded: bool },
    /// The deadline of a request passes.
    Expire(RequestIdx),
    /// Queued calls are checked for a passed deadline.
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
