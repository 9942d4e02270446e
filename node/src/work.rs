//! Calls that this node has its own target run: the callee's half of a hop.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{ErrorKind, ImportanceScale, Moment, Outcome, Refusal, RequestId};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use poplar_wire::{Answer, CallMeta, CallReply, CallRequest};
use serde_json::{Value, json};

use crate::contracts::Contracts;
use crate::gate::Gate;
use crate::runs::{Run, Runs};
use crate::target::{Ran, Target};

/// Time to come back that a refusal names while nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Service that admits calls and has the target run them.
#[derive(Debug)]
pub(crate) struct Work {
    clock: Clock,
    contracts: Arc<Contracts>,
    gate: Arc<Gate>,
    runs: Arc<Runs>,
    target: Arc<Target>,
    sealed: std::sync::atomic::AtomicBool,
    in_flight: AtomicU32,
}

/// Call in flight, counted until it is dropped.
struct Counted<'a>(&'a AtomicU32);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Work {
    /// Service that finds what it needs in `registry`.
    pub(crate) fn new(clock: Clock, registry: &Registry) -> Result<Self, RegistryError> {
        Ok(Self {
            clock,
            contracts: registry.find("contracts")?,
            gate: registry.find("admission")?,
            runs: registry.find("runs")?,
            target: registry.find("target")?,
            sealed: false.into(),
            in_flight: AtomicU32::new(0),
        })
    }

    /// Takes nothing new from now on.
    pub(crate) fn seal(&self) {
        self.sealed.store(true, Ordering::Release);
    }

    /// Calls that have not ended.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    fn count(&self) -> Counted<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Counted(&self.in_flight)
    }

    /// Serves one call; a once-only call goes on even if the sender's connection is lost.
    pub(crate) async fn serve(self: &Arc<Self>, call: CallRequest) -> CallReply {
        let CallRequest { meta, body } = call;
        let (request, attempt) = (meta.request, meta.attempt);
        let _counted = self.count();
        let (outcome, units) = if meta.once {
            let (this, spent) = (self.clone(), (unknown(ErrorKind::Connection), 0));
            let work = tokio::spawn(async move { this.admit(meta, body).await });
            work.await.unwrap_or(spent)
        } else {
            self.admit(meta, body).await
        };
        CallReply { request, attempt, outcome, units, level: self.gate.level() }
    }

    async fn admit(&self, meta: CallMeta, body: Bytes) -> (Outcome<Answer>, u32) {
        let units = meta.grant.units;
        if self.sealed.load(Ordering::Acquire) {
            return (not_run(ErrorKind::Draining), units);
        }
        let Some(contract) = self.contracts.current(&meta.customer) else {
            return (not_run(ErrorKind::NoContract), units);
        };
        let Some(terms) = contract.terms(&meta.class) else {
            return (not_run(ErrorKind::UnknownClass), units);
        };
        let Some(announced) = self.target.serving(self.clock.now()) else {
            return (not_run(ErrorKind::NoTarget), units);
        };
        self.gate.revise(contract.revision, || ImportanceScale::derive(&contract.contract));
        let permit = match self.gate.enter(&meta).await {
            Ok(permit) => permit,
            Err(Refusal { kind, retry_after, .. }) => {
                return (Outcome::NotRun { kind, retry_after }, units);
            }
        };
        let open = self.runs.open(RequestId(fastrand::u128(..)), meta, self.clock.now());
        let largest = terms.class.largest_answer;
        let outcome = self.run(&open.run, &announced.address, largest, body).await;
        if matches!(outcome, Outcome::Done(_)) {
            permit.finish();
        }
        (outcome, open.run.close())
    }

    async fn run(&self, run: &Run, address: &str, largest: u64, body: Bytes) -> Outcome<Answer> {
        let work = self.target.run(address, &run.meta, run.token(), largest, body);
        match tokio::time::timeout(run.meta.left, work).await {
            Ok(Ran::Answer(answer)) => Outcome::Done(answer),
            Ok(Ran::NotRun(kind)) => not_run(kind),
            Ok(Ran::Unknown(kind)) => unknown(kind),
            Err(_) => unknown(ErrorKind::Deadline),
        }
    }
}

fn not_run(kind: ErrorKind) -> Outcome<Answer> {
    Outcome::NotRun { kind, retry_after: RETRY_AFTER }
}

fn unknown(kind: ErrorKind) -> Outcome<Answer> {
    Outcome::Unknown { kind }
}

impl Service for Work {
    fn name(&self) -> &'static str {
        "work"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "in_flight": self.in_flight(), "sealed": self.sealed.load(Ordering::Acquire) })
    }
}
