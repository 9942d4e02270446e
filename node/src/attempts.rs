//! Recent sends of repeatable calls that reached this node, so that a sender whose connection
//! failed can query their status on a new one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    AttemptId, AttemptLimits, AttemptLog, ErrorKind, Incarnation, Moment, Outcome, RequestId,
    RunStatus, RunVerdict, SenderId,
};
use poplar_kernel::{Clock, Service};
use poplar_wire::{Answer, RunStatusRequest, Sender};
use serde_json::{Value, json};
use tokio::sync::Notify;

/// Most senders whose sends are remembered.
const MAX_SENDERS: usize = 1_024;
/// Most sends remembered.
const MAX_SENDS: usize = 8_192;
/// Largest answer body that is recorded, in bytes; a send with a larger one is recorded as unknown.
const MAX_RECORDED_BYTES: usize = 2 << 10;
/// Time for which a send is remembered after it ended; longer than a silent connection stays open.
const RETENTION: Duration = Duration::from_secs(4);

/// Service that remembers recent sends.
#[derive(Debug)]
pub(crate) struct Attempts {
    clock: Clock,
    log: Mutex<AttemptLog<Answer>>,
    ended: Notify,
}

/// Send that was admitted; recorded as cancelled if it is dropped before it is finished.
pub(crate) struct AttemptGuard {
    attempts: Arc<Attempts>,
    sender: SenderId,
    attempt: AttemptId,
    finished: bool,
}

impl Attempts {
    /// Creates the service for one incarnation of this node.
    pub(crate) fn new(clock: Clock, incarnation: Incarnation) -> Self {
        let limits = AttemptLimits { senders: MAX_SENDERS, sends: MAX_SENDS, retention: RETENTION };
        Self { clock, log: Mutex::new(AttemptLog::new(incarnation, limits)), ended: Notify::new() }
    }

    /// Records a send as running.
    ///
    /// # Errors
    ///
    /// The recorded status, if the send was recorded before or is so late that its record may have
    /// been dropped; it must not run then.
    pub(crate) fn begin(
        self: &Arc<Self>,
        sender: &Sender,
        request: RequestId,
        attempt: AttemptId,
    ) -> Result<AttemptGuard, RunStatus<Answer>> {
        let now = self.clock.now();
        let sender = sender_id(sender);
        match self.lock().begin(now, &sender, request, attempt) {
            RunVerdict::Known(status) => Err(status),
            RunVerdict::Run => {
                Ok(AttemptGuard { attempts: self.clone(), sender, attempt, finished: false })
            }
        }
    }

    /// Waits until the send has ended and returns its status.
    pub(crate) async fn query_status(&self, query: &RunStatusRequest) -> RunStatus<Answer> {
        let sender = sender_id(&query.sender);
        loop {
            let ended = self.ended.notified();
            let now = self.clock.now();
            let status =
                self.lock().query(now, &sender, query.request, query.attempt, query.incarnation);
            match status {
                RunStatus::Running => ended.await,
                known => return known,
            }
        }
    }

    fn finish(&self, sender: &SenderId, attempt: AttemptId, outcome: Outcome<Answer>) {
        let now = self.clock.now();
        self.lock().finish(now, sender, attempt, outcome);
        self.ended.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, AttemptLog<Answer>> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AttemptGuard {
    /// Records the outcome of the send.
    pub(crate) fn finish(mut self, outcome: &Outcome<Answer>) {
        self.finished = true;
        let recorded = match outcome {
            Outcome::Done(answer) if answer.body.len() > MAX_RECORDED_BYTES => {
                Outcome::Unknown { kind: ErrorKind::Connection }
            }
            other => other.clone(),
        };
        self.attempts.finish(&self.sender, self.attempt, recorded);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.finished {
            let outcome = Outcome::Unknown { kind: ErrorKind::Cancelled };
            self.attempts.finish(&self.sender, self.attempt, outcome);
        }
    }
}

fn sender_id(sender: &Sender) -> SenderId {
    SenderId { instance: sender.instance.clone(), incarnation: sender.incarnation }
}

impl Service for Attempts {
    fn name(&self) -> &'static str {
        "sends"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "remembered": self.lock().len() })
    }
}
