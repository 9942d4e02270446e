//! Calls that this node sends to targets: the caller's half of a hop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{AttemptId, Binding, ErrorKind, InstanceId, Moment, Name, Outcome};
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
    /// Terms; `attempt` is set anew for each send.
    pub(crate) meta: CallMeta,
    /// Service whose targets can run it.
    pub(crate) service: Name,
    /// Body for the target.
    pub(crate) body: Bytes,
}

/// How a delivery ended.
#[derive(Debug)]
pub(crate) struct Delivered {
    /// What became of the call.
    pub(crate) outcome: Outcome<Answer>,
    /// Retry units that were not spent.
    pub(crate) units: u32,
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

    /// Delivers one call, sending it again as far as outcome, deadline and units allow.
    pub(crate) async fn deliver(&self, call: Delivery) -> Delivered {
        let deadline = self.clock.now() + call.meta.left;
        let mut units = call.meta.units;
        let mut tried = Vec::new();
        loop {
            let now = self.clock.now();
            let mut meta = call.meta.clone();
            meta.left = deadline.since(now);
            meta.age += call.meta.left.saturating_sub(meta.left);
            meta.units = units;
            meta.attempt = AttemptId(self.attempts.fetch_add(1, Ordering::Relaxed));
            let Some(member) = self.choose(&call.service, &meta, &tried) else {
                let outcome = no_target(&meta);
                return Delivered { outcome, units };
            };
            tried.push(member.instance.clone());
            let once = meta.once;
            let reply = self.send(&member, meta, call.body.clone()).await;
            units = reply.units;
            let again = units > 0 && may_send_again(&reply.outcome, once);
            if !again || self.clock.now() >= deadline {
                return Delivered { outcome: reply.outcome, units };
            }
            units -= 1;
        }
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

    async fn send(&self, member: &MemberRecord, meta: CallMeta, body: Bytes) -> CallReply {
        let (request, attempt, left) = (meta.request, meta.attempt, meta.left);
        let units = meta.units;
        let failed = |outcome, units| CallReply { request, attempt, outcome, units, level: 0 };
        self.count(&member.instance, 1);
        let call = CallRequest { meta, body };
        let exchange = self.exchange(member, call);
        let result = tokio::time::timeout(left, exchange).await;
        self.count(&member.instance, -1);
        match result {
            Ok(Ok(reply)) if whole(&reply, request, attempt) => reply,
            Ok(Ok(_)) => failed(Outcome::Unknown { kind: ErrorKind::BadAnswer }, 0),
            Ok(Err(error)) if error.unseen() => {
                let kind = ErrorKind::Connection;
                failed(Outcome::NotRun { kind, retry_after: RETRY_AFTER }, units)
            }
            Ok(Err(_)) => failed(Outcome::Unknown { kind: ErrorKind::Connection }, 0),
            Err(_) => failed(Outcome::Unknown { kind: ErrorKind::Deadline }, 0),
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

    fn count(&self, instance: &InstanceId, change: i32) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let count = waiting.entry(instance.clone()).or_default();
        *count = count.saturating_add_signed(change);
        if *count == 0 {
            waiting.remove(instance);
        }
    }
}

/// Whether `reply` is the whole answer to this very send.
fn whole(reply: &CallReply, request: poplar_core::RequestId, attempt: AttemptId) -> bool {
    let own = reply.request == request && reply.attempt == attempt;
    match &reply.outcome {
        Outcome::Done(answer) => own && xxh3_64(&answer.body) == answer.checksum,
        _ => own,
    }
}

fn may_send_again(outcome: &Outcome<Answer>, once: bool) -> bool {
    match outcome {
        Outcome::Done(_) => false,
        Outcome::NotRun { kind, .. } => kind.reply().retryable && !once,
        Outcome::Unknown { kind } => *kind == ErrorKind::Connection && !once,
    }
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
