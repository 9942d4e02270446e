//! Calls that this node sends to targets: the caller's half of a hop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{
    AttemptId, Binding, Budget, Call, CallTerms, ErrorKind, InstanceId, Loan, Moment, Name, Next,
    Outcome, RequestId, RetriesSpent, next_step,
};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use poplar_wire::{Answer, CallMeta, CallReply, CallRequest, MemberRecord};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Directory;
use crate::links::{LinkError, Links};
use crate::work::Work;

/// Path of calls between nodes.
pub(crate) const CALL_PATH: &str = "/call";
/// Time to come back that a refusal names while nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Call to be delivered to some target of a service.
#[derive(Debug, Clone)]
pub(crate) struct Delivery {
    /// Terms; attempt, grant and times are set anew for each send.
    pub(crate) meta: CallMeta,
    /// Service whose targets can run it.
    pub(crate) service: Name,
    /// Calls, this one included, that the same run may make side by side.
    pub(crate) siblings: u32,
    /// Body for the target.
    pub(crate) body: Bytes,
}

/// How one send ended.
enum Reply {
    /// The other node's whole reply to this very send.
    Whole(CallReply),
    /// The other node saw nothing of it.
    Unseen,
    /// No whole reply came, so the call may have run.
    Lost(ErrorKind),
}

/// Call that waits at an instance, counted until it is dropped.
struct Waiting<'a> {
    counts: &'a Mutex<HashMap<InstanceId, u32>>,
    instance: InstanceId,
}

/// Service that chooses targets and sends calls to them.
pub(crate) struct Route {
    clock: Clock,
    own: InstanceId,
    directory: Arc<Directory>,
    links: Arc<Links>,
    work: Arc<Work>,
    attempts: AtomicU64,
    waiting: Mutex<HashMap<InstanceId, u32>>,
}

impl Route {
    /// Service that finds what it needs in `registry`.
    pub(crate) fn new(
        clock: Clock,
        own: InstanceId,
        registry: &Registry,
    ) -> Result<Self, RegistryError> {
        Ok(Self {
            clock,
            own,
            directory: registry.find("directory")?,
            links: registry.find("links")?,
            work: registry.find("work")?,
            attempts: AtomicU64::new(1),
            waiting: Mutex::default(),
        })
    }

    /// Delivers one call, sending it again as far as outcome, deadline and budget allow.
    pub(crate) async fn deliver(&self, call: Delivery, budget: &Mutex<Budget>) -> Outcome<Answer> {
        let deadline = self.clock.now() + call.meta.left;
        let mut sends = Call::new();
        let mut tried = Vec::new();
        let mut last = not_run(ErrorKind::RetriesSpent);
        loop {
            let meta = self.meta(&call.meta, deadline);
            let Some(member) = self.choose(&call.service, &meta, &tried) else {
                return if tried.is_empty() { no_target(&meta) } else { last };
            };
            let Ok(loan) = lend(&mut sends, budget, call.siblings) else { return last };
            let meta = CallMeta { grant: loan.grant(), ..meta };
            let once = meta.once;
            tried.push(member.instance.clone());
            let reply = self.send(&member, meta, call.body.clone()).await;
            let outcome = settle(&mut sends, budget, loan, reply);
            let terms = CallTerms {
                once,
                ran: sends.may_have_run(),
                suspect: false,
                elsewhere: self.elsewhere(&call, &tried),
                units: hold(budget).left(),
                left: deadline.since(self.clock.now()),
            };
            match next_step(outcome, &terms, fastrand::u64(..)) {
                Next::Resend => last = not_run(ErrorKind::RetriesSpent),
                Next::Final { outcome, .. } => return outcome,
            }
            if sends.may_have_run() {
                last = Outcome::Unknown { kind: ErrorKind::RetriesSpent };
            }
        }
    }

    /// Terms of the next send.
    fn meta(&self, first: &CallMeta, deadline: Moment) -> CallMeta {
        let left = deadline.since(self.clock.now());
        let age = first.age + first.left.saturating_sub(left);
        let attempt = AttemptId(self.attempts.fetch_add(1, Ordering::Relaxed));
        CallMeta { left, age, attempt, ..first.clone() }
    }

    /// Whether a target that was not tried may take the call.
    fn elsewhere(&self, call: &Delivery, tried: &[InstanceId]) -> bool {
        let members = self.directory.serving(&call.service);
        call.meta.binding.is_none() && members.iter().any(|m| !tried.contains(&m.instance))
    }

    /// Member that a once-only call can be bound to.
    pub(crate) fn bind(&self, service: &Name) -> Option<Binding> {
        let member = self.pick(self.directory.serving(service))?;
        let (instance, incarnation) = (member.instance, member.incarnation);
        Some(Binding { instance, incarnation, window: 0, serial: 0 })
    }

    fn choose(
        &self,
        service: &Name,
        meta: &CallMeta,
        tried: &[InstanceId],
    ) -> Option<MemberRecord> {
        if let Some(binding) = &meta.binding {
            let member = self.directory.member(service, &binding.instance)?;
            return (member.incarnation == binding.incarnation).then_some(member);
        }
        let mut members = self.directory.serving(service);
        members.retain(|member| !tried.contains(&member.instance));
        self.pick(members)
    }

    /// Less loaded of two members drawn at random, by the calls that wait there from here.
    fn pick(&self, members: Vec<MemberRecord>) -> Option<MemberRecord> {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let load = |member: &MemberRecord| waiting.get(&member.instance).copied().unwrap_or(0);
        let first = fastrand::choice(&members)?;
        let second = fastrand::choice(&members)?;
        let chosen = if load(second) < load(first) { second } else { first };
        Some(chosen.clone())
    }

    /// Sends the call to one member; `None` in place of a reply that never came whole.
    async fn send(&self, member: &MemberRecord, meta: CallMeta, body: Bytes) -> Reply {
        let (request, attempt, left) = (meta.request, meta.attempt, meta.left);
        let _waiting = self.count(&member.instance);
        let exchange = self.exchange(member, CallRequest { meta, body });
        match tokio::time::timeout(left, exchange).await {
            Ok(Ok(reply)) if whole(&reply, request, attempt) => Reply::Whole(reply),
            Ok(Ok(_)) => Reply::Lost(ErrorKind::BadAnswer),
            Ok(Err(error)) if error.unseen() => Reply::Unseen,
            Ok(Err(_)) => Reply::Lost(ErrorKind::Connection),
            Err(_) => Reply::Lost(ErrorKind::Deadline),
        }
    }

    async fn exchange(
        &self,
        member: &MemberRecord,
        call: CallRequest,
    ) -> Result<CallReply, LinkError> {
        if member.instance == self.own {
            return Ok(self.work.serve(call).await);
        }
        let unusable = SocketAddr::from(([0, 0, 0, 0], 0));
        let peer = member.address.parse().map_err(|_| LinkError::Unreached(unusable))?;
        self.links.exchange(peer, CALL_PATH, &call).await
    }

    fn count(&self, instance: &InstanceId) -> Waiting<'_> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        *waiting.entry(instance.clone()).or_default() += 1;
        Waiting { counts: &self.waiting, instance: instance.clone() }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.instance) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.instance);
            }
        }
    }
}

/// Pays for the next send.
fn lend(sends: &mut Call, budget: &Mutex<Budget>, siblings: u32) -> Result<Loan, RetriesSpent> {
    let mut budget = hold(budget);
    let share = budget.share(siblings);
    sends.send(&mut budget, share)
}

/// Takes in how a send ended and gives the outcome as far as it is known.
fn settle(sends: &mut Call, budget: &Mutex<Budget>, loan: Loan, reply: Reply) -> Outcome<Answer> {
    match reply {
        Reply::Whole(reply) => {
            sends.answered(&mut hold(budget), loan, reply.units, &reply.outcome);
            reply.outcome
        }
        Reply::Unseen => {
            let outcome = not_run(ErrorKind::Connection);
            let units = loan.grant().units;
            sends.answered(&mut hold(budget), loan, units, &outcome);
            outcome
        }
        Reply::Lost(kind) => {
            sends.lost(loan);
            Outcome::Unknown { kind }
        }
    }
}

fn hold(budget: &Mutex<Budget>) -> MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether `reply` is the whole answer to this very send.
fn whole(reply: &CallReply, request: RequestId, attempt: AttemptId) -> bool {
    let own = reply.request == request && reply.attempt == attempt;
    match &reply.outcome {
        Outcome::Done(answer) => own && xxh3_64(&answer.body) == answer.checksum,
        _ => own,
    }
}

fn not_run(kind: ErrorKind) -> Outcome<Answer> {
    Outcome::NotRun { kind, retry_after: RETRY_AFTER }
}

fn no_target(meta: &CallMeta) -> Outcome<Answer> {
    match meta.binding {
        Some(_) => Outcome::Unknown { kind: ErrorKind::BindingLost },
        None => Outcome::NotRun { kind: ErrorKind::NoTarget, retry_after: RETRY_AFTER },
    }
}

impl Service for Route {
    fn name(&self) -> &'static str {
        "route"
    }

    fn dump(&self, _now: Moment) -> Value {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let rows: std::collections::BTreeMap<_, _> =
            waiting.iter().map(|(instance, count)| (instance.to_string(), *count)).collect();
        json!({ "waiting": rows })
    }
}
