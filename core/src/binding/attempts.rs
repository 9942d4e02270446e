//! Log of recent sends of repeatable requests, from which a sender can query the outcome of a send
//! over a new connection after the old one became unresponsive.
//!
//! Answers don't depend on a clock: forgetting a send raises its sender's floor, and a send at or
//! below the floor is neither run nor reported as not run. See
//! [at most once](../../../docs/design/at-most-once.md#recent-sends).

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::{RunStatus, RunVerdict};
use crate::ids::{AttemptId, Incarnation, InstanceId, RequestId};
use crate::outcome::{ErrorKind, Outcome};
use crate::time::Moment;

/// Node that numbers its sends; numbering restarts with each incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SenderId {
    /// Instance of the node.
    pub instance: InstanceId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
}

/// Bounds of an [`AttemptLog`].
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// Maximum number of senders with recorded sends.
    pub senders: usize,
    /// Maximum number of recorded sends over all senders.
    pub sends: usize,
    /// Time for which a send stays recorded after it ended.
    pub retention: Duration,
}

/// Recent sends to this node's target.
///
/// Holds at most [`AttemptLimits::sends`] answers and [`AttemptLimits::senders`] senders.
#[derive(Debug)]
pub struct AttemptLog<A> {
    incarnation: Incarnation,
    limits: AttemptLimits,
    senders: HashMap<SenderId, SenderLog<A>>,
    ended: VecDeque<EndedSend>,
    send_count: usize,
    /// Whether a sender was ever rejected because the log was full; a sender that is new to the
    /// log may then have sent before.
    overflowed: bool,
}

#[derive(Debug)]
struct SenderLog<A> {
    /// Highest send that was forgotten; `None` if sends of this sender may have run without a
    /// record, so that a missing record proves nothing.
    floor: Option<AttemptId>,
    sends: BTreeMap<AttemptId, SendRecord<A>>,
}

#[derive(Debug)]
struct SendRecord<A> {
    request: RequestId,
    status: RunStatus<A>,
}

#[derive(Debug)]
struct EndedSend {
    at: Moment,
    sender: SenderId,
    attempt: AttemptId,
}

impl<A: Clone> AttemptLog<A> {
    /// Creates the empty log of a node's incarnation, which must exist from the node's start.
    pub fn new(incarnation: Incarnation, limits: AttemptLimits) -> Self {
        let (senders, ended) = (HashMap::new(), VecDeque::new());
        Self { incarnation, limits, senders, ended, send_count: 0, overflowed: false }
    }

    /// Decides whether to run a send that arrived.
    ///
    /// * `Run`: hand it to the target and call [`finish`](Self::finish).
    /// * `Known`: a duplicate of a recorded send, or a send so late that its record may have been
    ///   forgotten; don't run it.
    pub fn begin(
        &mut self,
        now: Moment,
        sender: &SenderId,
        request: RequestId,
        attempt: AttemptId,
    ) -> RunVerdict<A> {
        self.drop_expired(now);
        if let Some(status) = self.recorded_status(sender, request, attempt) {
            return RunVerdict::Known(status);
        }
        self.record(now, sender, request, attempt, RunStatus::Running);
        RunVerdict::Run
    }

    /// Records how a send ended. Pass `NotRun` only if the send was never handed to the target, or
    /// if the target's shed signal is valid.
    pub fn finish(
        &mut self,
        now: Moment,
        sender: &SenderId,
        attempt: AttemptId,
        outcome: Outcome<A>,
    ) {
        let log = self.senders.get_mut(sender);
        let Some(send) = log.and_then(|log| log.sends.get_mut(&attempt)) else { return };
        if !matches!(send.status, RunStatus::Running) {
            return;
        }
        send.status = match outcome {
            Outcome::Done(answer) => RunStatus::Done(answer),
            Outcome::NotRun { kind, .. } => RunStatus::NotRun(kind),
            Outcome::Unknown { kind } => RunStatus::Unknown(kind),
        };
        self.ended.push_back(EndedSend { at: now, sender: sender.clone(), attempt });
    }

    /// Returns the status of a send to its sender, which asks over another connection.
    ///
    /// `sent_to` is the newest incarnation of this node that the sender knew when it sent. For a
    /// recorded send the result is its status. It is `NotRun` if the send has not arrived; a
    /// tombstone is then on record, and a late copy is refused. It is `Unknown` if the send may
    /// have been forgotten, may have reached an earlier incarnation, or could not be recorded.
    pub fn query(
        &mut self,
        now: Moment,
        sender: &SenderId,
        request: RequestId,
        attempt: AttemptId,
        sent_to: Incarnation,
    ) -> RunStatus<A> {
        self.drop_expired(now);
        if sent_to != self.incarnation {
            return RunStatus::Unknown(ErrorKind::Connection);
        }
        if let Some(status) = self.recorded_status(sender, request, attempt) {
            return status;
        }
        let refused = RunStatus::NotRun(ErrorKind::Connection);
        if !self.record(now, sender, request, attempt, refused.clone()) {
            return RunStatus::Unknown(ErrorKind::Connection);
        }
        refused
    }

    /// Removes a sender that left permanently. Its connections must be closed before, so that no
    /// late copy of its sends can arrive.
    pub fn forget(&mut self, sender: &SenderId) {
        if let Some(log) = self.senders.remove(sender) {
            self.send_count -= log.sends.len();
        }
    }

    /// Number of recorded sends.
    pub fn len(&self) -> usize {
        self.send_count
    }

    /// Whether no send is recorded.
    pub fn is_empty(&self) -> bool {
        self.send_count == 0
    }

    fn recorded_status(
        &self,
        sender: &SenderId,
        request: RequestId,
        attempt: AttemptId,
    ) -> Option<RunStatus<A>> {
        let log = self.senders.get(sender)?;
        match log.sends.get(&attempt) {
            Some(send) if send.request == request => Some(send.status.clone()),
            Some(_) => Some(RunStatus::Unknown(ErrorKind::BadRequest)),
            None if log.floor.is_some_and(|floor| attempt <= floor) => {
                Some(RunStatus::Unknown(ErrorKind::Connection))
            }
            None => None,
        }
    }

    /// Records a send if there is room. Returns whether the sender's log is complete, so that a
    /// send above the floor without a record has not run.
    fn record(
        &mut self,
        now: Moment,
        sender: &SenderId,
        request: RequestId,
        attempt: AttemptId,
        status: RunStatus<A>,
    ) -> bool {
        while self.send_count >= self.limits.sends && self.forget_oldest() {}
        let full = self.send_count >= self.limits.sends;
        let Some(log) = self.sender_mut(sender) else { return false };
        if full {
            log.floor = log.floor.map(|floor| floor.max(attempt));
            return false;
        }
        let complete = log.floor.is_some();
        let running = matches!(status, RunStatus::Running);
        if !running && !complete {
            return false;
        }
        log.sends.insert(attempt, SendRecord { request, status });
        self.send_count += 1;
        if !running {
            self.ended.push_back(EndedSend { at: now, sender: sender.clone(), attempt });
        }
        complete
    }

    fn sender_mut(&mut self, sender: &SenderId) -> Option<&mut SenderLog<A>> {
        let known = self.senders.contains_key(sender);
        self.overflowed |= !known && self.senders.len() >= self.limits.senders;
        if !known && self.senders.len() >= self.limits.senders {
            return None;
        }
        let floor = (!self.overflowed).then_some(AttemptId(0));
        let entry = self.senders.entry(sender.clone());
        Some(entry.or_insert_with(|| SenderLog { floor, sends: BTreeMap::new() }))
    }

    fn drop_expired(&mut self, now: Moment) {
        let retention = self.limits.retention;
        while self.ended.front().is_some_and(|first| now.since(first.at) >= retention) {
            self.forget_oldest();
        }
    }

    /// Forgets the send that ended first; returns whether there was one.
    fn forget_oldest(&mut self) -> bool {
        let Some(EndedSend { sender, attempt, .. }) = self.ended.pop_front() else { return false };
        let Some(log) = self.senders.get_mut(&sender) else { return true };
        if log.sends.remove(&attempt).is_some() {
            self.send_count -= 1;
            log.floor = log.floor.map(|floor| floor.max(attempt));
        }
        true
    }
}
