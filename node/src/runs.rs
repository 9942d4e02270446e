//! Runs at the local target that have not ended, by the token that identifies each.
//!
//! A call that the target makes for a run carries the run's token. With it this node looks up the
//! root request, the deadline and the retry units that the call may use.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poplar_core::{Budget, Moment, RequestId};
use poplar_kernel::Service;
use poplar_wire::CallMeta;
use serde_json::{Value, json};

/// One run that has not ended.
#[derive(Debug)]
pub(crate) struct Run {
    /// Terms of the call that started the run.
    pub(crate) meta: CallMeta,
    /// Deadline; a later answer is useless.
    pub(crate) deadline: Moment,
    /// Time at which the run started.
    pub(crate) started_at: Moment,
    token: RequestId,
    next_ordinal: AtomicU32,
    budget: Mutex<Budget>,
}

/// Service that records the active runs.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    active: Mutex<HashMap<RequestId, Arc<Run>>>,
}

/// Keeps a run registered until it is dropped, so that a cancelled run is removed as well.
pub(crate) struct RunGuard {
    runs: Arc<Runs>,
    pub(crate) run: Arc<Run>,
}

impl Run {
    /// Returns the request id for the next call that this run makes.
    ///
    /// It is derived from the token rather than from the request id: a second run of the same
    /// request may make its calls in another order and must not receive the first run's answers.
    pub(crate) fn next_call_id(&self) -> RequestId {
        self.token.child(self.next_ordinal.fetch_add(1, Ordering::Relaxed))
    }

    /// Token that identifies the run in calls of the target.
    pub(crate) fn token(&self) -> RequestId {
        self.token
    }

    /// Number of calls that the run has made so far.
    pub(crate) fn call_count(&self) -> u32 {
        self.next_ordinal.load(Ordering::Relaxed)
    }

    /// Time left until the deadline.
    pub(crate) fn remaining(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }

    /// Retry budget of the run, which its calls share.
    pub(crate) fn budget(&self) -> &Mutex<Budget> {
        &self.budget
    }

    /// Closes the budget at the end of the run and returns the unspent units.
    pub(crate) fn close_budget(&self) -> u32 {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *budget, Budget::new(0)).close()
    }
}

impl Runs {
    /// Registers a run under `token`.
    pub(crate) fn open(
        self: &Arc<Self>,
        token: RequestId,
        meta: CallMeta,
        now: Moment,
    ) -> RunGuard {
        let run = Arc::new(Run {
            deadline: now + meta.left,
            started_at: now,
            token,
            next_ordinal: AtomicU32::new(0),
            budget: Mutex::new(Budget::from_grant(meta.grant)),
            meta,
        });
        self.active.lock().unwrap_or_else(PoisonError::into_inner).insert(token, run.clone());
        RunGuard { runs: self.clone(), run }
    }

    /// Looks up the run with `token`; `None` if it has ended.
    pub(crate) fn find(&self, token: RequestId) -> Option<Arc<Run>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner).get(&token).cloned()
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut active = self.runs.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.remove(&self.run.token);
    }
}

impl Service for Runs {
    fn name(&self) -> &'static str {
        "runs"
    }

    fn dump(&self, now: Moment) -> Value {
        let active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = active.values().map(|run| {
            json!({
                "request": run.meta.request,
                "class": run.meta.class,
                "age_ms": now.since(run.started_at).as_millis() as u64,
            })
        });
        Value::Array(rows.collect())
    }
}
