//! Recent sends of repeatable requests, so that "what became of it" can be answered on a new
//! connection when the old one went silent.
//!
//! No clock decides what may be said: forgetting a send raises its sender's floor, and a send at
//! or below the floor is neither run nor vouched for. See
//! [at most once](../../../docs/design/at-most-once.md#recent-sends).

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::{RunStatus, RunVerdict};
use crate::ids::{AttemptId, Incarnation, InstanceId, RequestId};
use crate::outcome::{ErrorKind, Outcome};
use crate::time::Moment;

/// Node that numbers its sends; a restarted one numbers anew.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SenderId {
    /// Instance of the node.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Bounds of an [`AttemptLog`].
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// Most senders followed.
    pub senders: usize,
    /// Most sends remembered, over all senders.
    pub sends: usize,
    /// Time for which a send is remembered after it ended.
    pub retention: Duration,
}

/// Recent sends to the target beside this node.
///
/// Memory: at most [`AttemptLimits::sends`] answers and [`AttemptLimits::senders`] senders.
#[derive(Debug)]
pub struct AttemptLog<A> {
    incarnation: Incarnation,
    limits: AttemptLimits,
    senders: HashMap<SenderId, SenderLog<A>>,
    ended: VecDeque<EndedSend>,
    send_count: usize,
    /// Whether a sender was ever turned away, so that a new one may have sent before.
    overflowed: bool,
}

#[derive(Debug)]
struct SenderLog<A> {
    /// Highest send that was forgotten; none if sends may have run without a record.
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
    /// Log of a node's incarnation, from its start on.
    pub fn new(incarnation: Incarnation, limits: AttemptLimits) -> Self {
        let (senders, ended) = (HashMap::new(), VecDeque::new());
        Self { incarnation, limits, senders, ended, send_count: 0, overflowed: false }
    }

    /// Decides on a send that arrived.
    ///
    /// * `Run`: hand it to the target and call [`finish`](Self::finish).
    /// * `Known`: a copy of a send that is on record, or one so late that it was forgotten; do
    ///   not run it.
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

    /// Records how a send ended. `NotRun` only if it was never handed to the target, or if the
    /// target's shed signal counts.
    pub fn finish(
        &mut self,
        now: Moment,
        sender: &SenderId,
        attempt: AttemptId,
        outcome: Outcome<A>,
    ) {
        let sends = self.senders.get_mut(sender);
        let Some(send) = sends.and_then(|sends| sends.sends.get_mut(&attempt)) else { return };
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

    /// Answers "what became of this send", asked by its sender on another connection.
    ///
    /// `sent_to` is the newest incarnation of this node that the sender knew when it sent.
    /// `NotRun` if the send has not arrived; a tombstone is then on record, and a late copy is
    /// refused. `Unknown` if it may have been forgotten, may have reached an earlier incarnation,
    /// or could not be recorded.
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

    /// Forgets a sender that is gone for good. Its connections must be closed before, so that no
    /// late copy of its sends can arrive.
    pub fn forget(&mut self, sender: &SenderId) {
        if let Some(sends) = self.senders.remove(sender) {
            self.send_count -= sends.sends.len();
        }
    }

    /// Number of sends remembered.
    pub fn len(&self) -> usize {
        self.send_count
    }

    /// Whether no send is remembered.
    pub fn is_empty(&self) -> bool {
        self.send_count == 0
    }

    fn recorded_status(
        &self,
        sender: &SenderId,
        request: RequestId,
        attempt: AttemptId,
    ) -> Option<RunStatus<A>> {
        let sends = self.senders.get(sender)?;
        match sends.sends.get(&attempt) {
            Some(send) if send.request == request => Some(send.status.clone()),
            Some(_) => Some(RunStatus::Unknown(ErrorKind::BadRequest)),
            None if sends.floor.is_some_and(|floor| attempt <= floor) => {
                Some(RunStatus::Unknown(ErrorKind::Connection))
            }
            None => None,
        }
    }

    /// Records a send and says whether absence of a record now means that it did not run.
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
        let Some(sends) = self.sender_mut(sender) else { return false };
        if full {
            sends.floor = sends.floor.map(|floor| floor.max(attempt));
            return false;
        }
        let vouched = sends.floor.is_some();
        let running = matches!(status, RunStatus::Running);
        if !running && !vouched {
            return false;
        }
        sends.sends.insert(attempt, SendRecord { request, status });
        self.send_count += 1;
        if !running {
            self.ended.push_back(EndedSend { at: now, sender: sender.clone(), attempt });
        }
        vouched
    }

    fn sender_mut(&mut self, sender: &SenderId) -> Option<&mut SenderLog<A>> {
        let known = self.senders.contains_key(sender);
        self.overflowed |= !known && self.senders.len() >= self.limits.senders;
        if !known && self.senders.len() >= self.limits.senders {
            return None;
        }
        let floor = (!self.overflowed).then_some(AttemptId(0));
        let sends = self.senders.entry(sender.clone());
        Some(sends.or_insert_with(|| SenderLog { floor, sends: BTreeMap::new() }))
    }

    fn drop_expired(&mut self, now: Moment) {
        let retention = self.limits.retention;
        while self.ended.front().is_some_and(|first| now.since(first.at) >= retention) {
            self.forget_oldest();
        }
    }

    /// Forgets the send that ended first; says whether there was one.
    fn forget_oldest(&mut self) -> bool {
        let Some(EndedSend { sender, attempt, .. }) = self.ended.pop_front() else { return false };
        let Some(sends) = self.senders.get_mut(&sender) else { return true };
        if sends.sends.remove(&attempt).is_some() {
            self.send_count -= 1;
            sends.floor = sends.floor.map(|floor| floor.max(attempt));
        }
        true
    }
}
