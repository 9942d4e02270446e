//! Runs at the target beside this node that have not ended, by the token that names each.
//!
//! A further call that the target makes carries the token, and from it this node knows the root
//! request, the deadline and the retry units that the call may use.

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
    /// Terms under which the request came.
    pub(crate) meta: CallMeta,
    /// Moment after which its answer is of no use.
    pub(crate) deadline: Moment,
    /// Moment at which it came.
    pub(crate) started_at: Moment,
    token: RequestId,
    next_ordinal: AtomicU32,
    budget: Mutex<Budget>,
}

/// Service that knows the runs.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    active: Mutex<HashMap<RequestId, Arc<Run>>>,
}

/// Keeps a run open; closing happens on drop, so that a cancelled run is closed as well.
pub(crate) struct RunGuard {
    runs: Arc<Runs>,
    pub(crate) run: Arc<Run>,
}

impl Run {
    /// Identifier of the next call that this run makes.
    ///
    /// It derives from the token rather than from the request: a second run of the same request
    /// may make its calls in another order, and must not be given the first run's answers.
    pub(crate) fn next_call_id(&self) -> RequestId {
        self.token.child(self.next_ordinal.fetch_add(1, Ordering::Relaxed))
    }

    /// Name of the run.
    pub(crate) fn token(&self) -> RequestId {
        self.token
    }

    /// Calls that the run has made so far.
    pub(crate) fn call_count(&self) -> u32 {
        self.next_ordinal.load(Ordering::Relaxed)
    }

    /// Time until its answer is of no use.
    pub(crate) fn remaining(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }

    /// Retry budget that this run holds.
    pub(crate) fn budget(&self) -> &Mutex<Budget> {
        &self.budget
    }

    /// Takes the budget out at the end of the run and gives the units that go back.
    pub(crate) fn close_budget(&self) -> u32 {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *budget, Budget::new(0)).close()
    }
}

impl Runs {
    /// Opens a run named `token`.
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

    /// Run named `token`, if it has not ended.
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
