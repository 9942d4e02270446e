//! Once-only requests at the target beside this node: the table, its sealing and its successor.
//!
//! See [at most once](../../docs/design/at-most-once.md).

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Binding, Contract, ErrorKind, Handover, HandoverError, Incarnation, InstanceId, Moment,
    Outcome, RequestId, Revision, RunLimits, RunStatus, RunTable, RunVerdict, SealedTable,
    Successor,
};
use poplar_kernel::{Clock, Service};
use poplar_wire::Answer;
use serde_json::{Value, json};
use tokio::sync::Notify;

/// Most once-only requests on record.
const MAX_KEYS: usize = 32_768;
/// Most bytes of kept answers, with the room set aside for running requests.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Time after which a new window is opened.
const WINDOW_DURATION: Duration = Duration::from_secs(10);
/// Time for which keys are kept until a contract says how long.
const DEFAULT_RETENTION: Duration = Duration::from_secs(3_600);
/// Most requests in the tables taken over from other incarnations.
const MAX_SUCCESSOR_KEYS: usize = 65_536;

/// Service that decides which once-only requests run.
#[derive(Debug)]
pub(crate) struct OnceTable {
    clock: Clock,
    state: Mutex<State>,
    ended: Notify,
}

#[derive(Debug)]
struct State {
    table: Table,
    successor: Successor<Answer>,
    revision: Revision,
}

/// Table of this incarnation, by stage; a later stage never goes back to an earlier one.
#[derive(Debug)]
enum Table {
    Open(Box<RunTable<Answer>>),
    Sealed(Box<SealedTable<Answer>>),
    HandedOver,
}

/// What the node may do with one copy of a once-only request.
#[derive(Debug)]
pub(crate) enum OnceVerdict {
    /// Run it, then report the outcome to [`OnceTable::finish`].
    Run,
    /// Tell the sender this; the binding is for its next send.
    Known(RunStatus<Answer>, Option<Binding>),
}

impl OnceTable {
    /// Service of one incarnation.
    pub(crate) fn new(clock: Clock, instance: InstanceId, incarnation: Incarnation) -> Self {
        let limits = RunLimits {
            keys: MAX_KEYS,
            bytes: MAX_ANSWER_BYTES,
            window: WINDOW_DURATION,
            retention: DEFAULT_RETENTION,
        };
        let table = RunTable::new(clock.now(), instance, incarnation, limits);
        let state = State {
            table: Table::Open(Box::new(table)),
            successor: Successor::new(DEFAULT_RETENTION, MAX_SUCCESSOR_KEYS),
            revision: Revision::default(),
        };
        Self { clock, state: Mutex::new(state), ended: Notify::new() }
    }

    /// Takes the repeat windows of a contract revision over, if it is a new one.
    pub(crate) fn revise(&self, revision: Revision, contract: &Contract) {
        let mut state = self.lock();
        if state.revision == revision {
            return;
        }
        state.revision = revision;
        let once = contract.classes.values().filter(|terms| !terms.repeatable);
        let retention = once.map(|terms| terms.repeat_window).max().unwrap_or(DEFAULT_RETENTION);
        if let Table::Open(table) = &mut state.table {
            table.set_retention(retention);
        }
    }

    /// Fresh binding to this incarnation; none once it is sealed.
    pub(crate) fn offer_binding(&self, last: Option<&Binding>) -> Option<Binding> {
        let now = self.clock.now();
        self.lock().offer_binding(now, last)
    }

    /// Decides on one copy; `max_answer_bytes` is the size in bytes of its largest answer.
    pub(crate) fn admit(
        &self,
        request: RequestId,
        binding: &Binding,
        max_answer_bytes: usize,
    ) -> OnceVerdict {
        let now = self.clock.now();
        let mut state = self.lock();
        let status = match &mut state.table {
            Table::Open(table) => match table.admit(now, request, binding, max_answer_bytes) {
                RunVerdict::Run => return OnceVerdict::Run,
                RunVerdict::Known(status) => status,
            },
            Table::Sealed(table) => table.answer(request, binding),
            Table::HandedOver => RunStatus::Unknown(ErrorKind::Connection),
        };
        let status = state.check_successor(now, request, binding, status);
        state.verdict(now, binding, status)
    }

    /// Refuses one copy that is not to run; a tombstone is on record when this returns.
    ///
    /// A node that is without a target offers no binding to itself.
    pub(crate) fn refuse(
        &self,
        request: RequestId,
        binding: &Binding,
        kind: ErrorKind,
    ) -> OnceVerdict {
        let now = self.clock.now();
        let mut state = self.lock();
        let status = match &mut state.table {
            Table::Open(table) => table.refuse(now, request, binding, kind),
            Table::Sealed(table) => table.answer(request, binding),
            Table::HandedOver => RunStatus::Unknown(ErrorKind::Connection),
        };
        let status = state.check_successor(now, request, binding, status);
        match kind {
            ErrorKind::NoTarget => OnceVerdict::Known(status, None),
            _ => state.verdict(now, binding, status),
        }
    }

    /// Records how an admitted request ended.
    pub(crate) fn finish(&self, request: RequestId, outcome: &Outcome<Answer>) {
        let now = self.clock.now();
        let size = match outcome {
            Outcome::Done(answer) => answer.body.len(),
            _ => 0,
        };
        match &mut self.lock().table {
            Table::Open(table) => table.finish(now, request, outcome.clone(), size),
            Table::Sealed(table) => table.finish(request, outcome.clone(), size),
            Table::HandedOver => false,
        };
        self.ended.notify_waiters();
    }

    /// Waits until the running copy has ended, and tells what became of it.
    pub(crate) async fn await_end(&self, request: RequestId, binding: &Binding) -> OnceVerdict {
        loop {
            let ended = self.ended.notified();
            match self.refuse(request, binding, ErrorKind::Connection) {
                OnceVerdict::Known(RunStatus::Running, _) => ended.await,
                known => return known,
            }
        }
    }

    /// Admits nothing more from now on.
    pub(crate) fn seal(&self) {
        let mut state = self.lock();
        let table = std::mem::replace(&mut state.table, Table::HandedOver);
        state.table = match table {
            Table::Open(table) => Table::Sealed(Box::new(table.seal())),
            other => other,
        };
    }

    /// Takes the sealed table out for a successor; none before the seal or if it is empty.
    pub(crate) fn take_handover(&self) -> Option<Handover<Answer>> {
        let mut state = self.lock();
        let table = std::mem::replace(&mut state.table, Table::HandedOver);
        match table {
            Table::Sealed(table) => Some(table.handover()),
            other => {
                state.table = other;
                None
            }
        }
    }

    /// Takes over the table of an incarnation that leaves.
    pub(crate) fn accept_handover(&self, handover: Handover<Answer>) -> Result<(), HandoverError> {
        let now = self.clock.now();
        self.lock().successor.accept(now, handover)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn offer_binding(&mut self, now: Moment, last: Option<&Binding>) -> Option<Binding> {
        match &mut self.table {
            Table::Open(table) => Some(table.mint(now, last)),
            Table::Sealed(_) | Table::HandedOver => None,
        }
    }

    /// A binding that is lost to this incarnation may be known from a table taken over.
    fn check_successor(
        &mut self,
        now: Moment,
        request: RequestId,
        binding: &Binding,
        status: RunStatus<Answer>,
    ) -> RunStatus<Answer> {
        match status {
            RunStatus::Unknown(ErrorKind::BindingLost) => {
                let recorded = self.run_status(request);
                recorded.unwrap_or_else(|| self.successor.answer(now, request, binding))
            }
            status => status,
        }
    }

    /// What became of the request here under a later binding, if it came under one.
    fn run_status(&self, request: RequestId) -> Option<RunStatus<Answer>> {
        match &self.table {
            Table::Open(table) => table.run_status(request),
            Table::Sealed(table) => table.run_status(request),
            Table::HandedOver => None,
        }
    }

    fn verdict(
        &mut self,
        now: Moment,
        binding: &Binding,
        status: RunStatus<Answer>,
    ) -> OnceVerdict {
        let refused = matches!(status, RunStatus::NotRun(_));
        let offer = if refused { self.offer_binding(now, Some(binding)) } else { None };
        OnceVerdict::Known(status, offer)
    }
}

impl Service for OnceTable {
    fn name(&self) -> &'static str {
        "once"
    }

    fn dump(&self, _now: Moment) -> Value {
        match &self.lock().table {
            Table::Open(table) => {
                json!({ "stage": "open", "keys": table.len(), "bytes": table.bytes() })
            }
            Table::Sealed(table) => json!({ "stage": "sealed", "running": table.running() }),
            Table::HandedOver => json!({ "stage": "handed-over" }),
        }
    }
}
