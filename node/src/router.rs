//! Sends calls to targets: the caller's side of a hop.

mod delivery;
mod targets;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use delivery::CallDelivery;
use poplar_core::{
    AttemptId, Binding, BindingMode, Budget, Call, ErrorKind, Importance, InstanceId, Moment, Name,
    Observation, Outcome, Rank, Repeatability, RequestId, RunStatus,
};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use poplar_wire::{
    Answer, CallMeta, CallReply, CallRequest, MemberRecord, MemberState, RunStatusReply,
    RunStatusRequest, Sender, TargetBindingRequest,
};
use serde_json::{Value, json};
use targets::{ChosenMember, Targets};
use xxhash_rust::xxh3::xxh3_64;

use crate::contracts::Contracts;
use crate::directory::Directory;
use crate::executor::{Executor, outcome_of};
use crate::levels::DownstreamLevels;
use crate::links::{LinkError, Links};
use crate::members::FIND_MEMBER_PATH;
use crate::metrics::Metrics;

/// Path of calls between nodes.
pub(crate) const CALL_PATH: &str = "/call";
/// Path of status queries about a send.
pub(crate) const RUN_STATUS_PATH: &str = "/ask";
/// Path of requests for a binding.
pub(crate) const BIND_PATH: &str = "/bind";
/// Retry-after time of calls that did not run and for which no better value is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Pause before a failed status query is repeated.
const STATUS_PAUSE: Duration = Duration::from_millis(50);
/// Time for which the other node may hold a status query while the call is running.
const STATUS_WAIT: Duration = Duration::from_millis(300);
/// Time beyond the hold time within which it must answer.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// Consecutive status queries without an answer after which the outcome counts as unknown.
const STATUS_TRIES: u32 = 3;
/// Most queries for a member that this node does not know.
const FIND_TRIES: u32 = 4;
/// Pause before the second query; it grows by the same amount with each further one.
const FIND_PAUSE: Duration = Duration::from_millis(100);
/// Time within which a member must answer a query for another member.
const FIND_TIMEOUT: Duration = Duration::from_millis(500);
/// Most instances whose offered bindings are remembered.
const MAX_OFFERS: usize = 1_024;
/// Time for which an offered binding is used; shorter than the window in which it was minted.
const MAX_OFFER_AGE: Duration = Duration::from_secs(5);

/// Call to deliver to a target of a service.
#[derive(Debug)]
pub(crate) struct OutgoingCall {
    /// Terms of the call; attempt, grant, binding and times are set for each send.
    pub(crate) meta: CallMeta,
    /// Whether the call carries a binding.
    pub(crate) mode: BindingMode,
    /// Whether the call may be repeated, given its class and the calls above it.
    pub(crate) repeatability: Repeatability,
    /// Service whose targets can run the call.
    pub(crate) service: Name,
    /// Calls, including this one, that the same run may make concurrently.
    pub(crate) siblings: u32,
    /// Request body for the target.
    pub(crate) body: Bytes,
}

/// Result of a delivery.
#[derive(Debug)]
pub(crate) struct DeliveryResult {
    /// Outcome of the call over all its sends.
    pub(crate) outcome: Outcome<Answer>,
    /// Time after which the caller may retry; `None` if a retry cannot succeed.
    pub(crate) retry_after: Option<Duration>,
    /// Binding for the next send of an outside caller, if this one definitely did not run.
    pub(crate) offer: Option<Binding>,
    /// Sends made for the call so far.
    pub(crate) sends: Call,
}

/// Result of one send.
enum SendResult {
    /// Complete reply of the other node to this send.
    Complete(CallReply),
    /// No connection was established, so the other node received nothing.
    NotDelivered,
    /// No complete reply came. This is the status that the other node gave when queried, or
    /// unknown if the reply was invalid or the deadline passed.
    Queried(RunStatus<Answer>),
    /// No complete reply came, and the other node could not be queried.
    NoAnswer,
}

/// Binding that an instance offered most recently.
struct OfferedBinding {
    binding: Binding,
    at: Moment,
}

/// Service that chooses targets and sends calls to them.
pub(crate) struct Router {
    clock: Clock,
    local: Sender,
    contracts: Arc<Contracts>,
    directory: Arc<Directory>,
    levels: Arc<DownstreamLevels>,
    links: Arc<Links>,
    metrics: Arc<Metrics>,
    executor: Arc<Executor>,
    attempt_counter: AtomicU64,
    targets: Targets,
    offers: Mutex<HashMap<InstanceId, OfferedBinding>>,
}

impl Router {
    /// Creates the service with its dependencies from `registry`.
    pub(crate) fn new(
        clock: Clock,
        local: Sender,
        zone: Name,
        registry: &Registry,
    ) -> Result<Self, RegistryError> {
        Ok(Self {
            clock,
            local,
            contracts: registry.find("contracts")?,
            directory: registry.find("directory")?,
            levels: registry.find("levels")?,
            links: registry.find("links")?,
            metrics: registry.find("metrics")?,
            executor: registry.find("work")?,
            attempt_counter: AtomicU64::new(1),
            targets: Targets::new(clock, zone),
            offers: Mutex::default(),
        })
    }

    /// Delivers one call, resending it as far as outcome, deadline and budget allow.
    ///
    /// `sends` counts the sends that any entry has made for the call before.
    pub(crate) async fn deliver(
        &self,
        call: OutgoingCall,
        budget: &Mutex<Budget>,
        sends: Call,
    ) -> DeliveryResult {
        CallDelivery::new(self, call, budget, sends).run().await
    }

    /// Obtains a new binding to a target of `service`, for an outside caller to send with.
    pub(crate) async fn offer_binding(&self, service: &Name) -> Option<Binding> {
        let mut tried = Vec::new();
        let rank = Rank::at(Importance(u8::MAX), u16::MAX);
        loop {
            let member = self.targets.choose(&self.directory, service, rank, &tried)?.member;
            if let Some(binding) = self.request_binding(&member).await {
                return Some(binding);
            }
            tried.push(member.instance);
        }
    }

    /// Member that answers for `binding`: the bound one, or its successor once it has left.
    ///
    /// If this node does not know the member yet, it queries another member of the service.
    async fn bound_member(&self, service: &Name, binding: &Binding) -> Option<MemberRecord> {
        let known = |directory: &Directory| {
            let member = directory.member(service, &binding.instance)?;
            (member.incarnation >= binding.incarnation).then_some(member)
        };
        let mut found = known(&self.directory);
        let mut tries = 0;
        while found.is_none() && tries < FIND_TRIES {
            // A member that has just joined is known to some members before it is known to all.
            tokio::time::sleep(FIND_PAUSE * tries).await;
            self.fetch_member(service, &binding.instance).await;
            found = known(&self.directory);
            tries += 1;
        }
        let member = found?;
        if member.incarnation == binding.incarnation && member.state != MemberState::Left {
            return Some(member);
        }
        let successor = member.successor.as_ref()?;
        self.directory.member(service, successor)
    }

    /// Queries a member of `service` for the record of `instance`.
    async fn fetch_member(&self, service: &Name, instance: &InstanceId) {
        let rank = Rank::at(Importance(u8::MAX), u16::MAX);
        let chosen = self.targets.choose(&self.directory, service, rank, &[]);
        let Some(peer) = chosen.and_then(|chosen| chosen.member.address.parse().ok()) else {
            return;
        };
        let request = (service, instance);
        let exchange = self.links.exchange(peer, FIND_MEMBER_PATH, &request);
        let found: Result<Result<Option<MemberRecord>, _>, _> =
            tokio::time::timeout(FIND_TIMEOUT, exchange).await;
        if let Ok(Ok(Some(record))) = found {
            self.directory.apply_record(record);
        }
    }

    /// Requests a binding from a member.
    async fn request_binding(&self, member: &MemberRecord) -> Option<Binding> {
        let offered = match member.instance == self.local.instance {
            true => self.executor.offer_binding(),
            false => {
                let request = TargetBindingRequest { sender: self.local.clone() };
                self.links.exchange(member.address.parse().ok()?, BIND_PATH, &request).await.ok()?
            }
        };
        self.record_offer(offered.as_ref());
        offered
    }

    /// Binding that this incarnation of a member offered less than [`MAX_OFFER_AGE`] ago, with
    /// serial 0.
    fn recent_offer(&self, member: &MemberRecord) -> Option<Binding> {
        let now = self.clock.now();
        let offers = self.offers.lock().unwrap_or_else(PoisonError::into_inner);
        let last = offers.get(&member.instance)?;
        let usable =
            last.binding.incarnation == member.incarnation && now.since(last.at) < MAX_OFFER_AGE;
        usable.then(|| Binding { serial: 0, ..last.binding.clone() })
    }

    /// Remembers an offered binding, unless [`MAX_OFFERS`] recent ones are remembered.
    fn record_offer(&self, offered: Option<&Binding>) {
        let Some(binding) = offered.cloned() else { return };
        let at = self.clock.now();
        let mut offers = self.offers.lock().unwrap_or_else(PoisonError::into_inner);
        if offers.len() >= MAX_OFFERS && !offers.contains_key(&binding.instance) {
            offers.retain(|_, last| at.since(last.at) < MAX_OFFER_AGE);
        }
        if offers.len() < MAX_OFFERS {
            offers.insert(binding.instance.clone(), OfferedBinding { binding, at });
        }
    }

    /// Sends the call to one member and records what the reply says of it.
    async fn send(&self, chosen: &mut ChosenMember<'_>, meta: CallMeta, body: Bytes) -> SendResult {
        let started_at = self.clock.now();
        let deadline = started_at + meta.left;
        let (class, customer) = (meta.class.clone(), meta.customer.clone());
        let member = chosen.member.clone();
        let query = RunStatusRequest {
            sender: self.local.clone(),
            incarnation: member.incarnation,
            request: meta.request,
            attempt: meta.attempt,
            binding: meta.binding.clone(),
            left: meta.left,
        };
        let call = CallRequest { sender: self.local.clone(), meta, body };
        let exchange = tokio::time::timeout(query.left, self.exchange(&member, call)).await;
        match exchange {
            Ok(Ok(reply)) if is_complete(&reply, query.request, query.attempt) => {
                let latency = self.clock.now().since(started_at);
                chosen.observe(observation_of(&reply, latency));
                self.levels.record(&class, &member.instance, reply.level);
                self.contracts.on_revision_hint(&customer, reply.revision, &member.address);
                self.record_offer(reply.offer.as_ref());
                SendResult::Complete(reply)
            }
            Ok(Ok(_)) => SendResult::Queried(RunStatus::Unknown(ErrorKind::BadAnswer)),
            Ok(Err(error)) if error.is_undelivered() => {
                chosen.observe(Observation::Unreachable);
                SendResult::NotDelivered
            }
            Ok(Err(_)) => match self.query_status(&member, query, deadline).await {
                Some(status) => SendResult::Queried(status),
                None => {
                    chosen.observe(Observation::Unreachable);
                    SendResult::NoAnswer
                }
            },
            Err(_) => SendResult::Queried(RunStatus::Unknown(ErrorKind::Deadline)),
        }
    }

    /// Queries on a new connection the status of a send whose connection failed.
    ///
    /// `None` if the node cannot be queried.
    async fn query_status(
        &self,
        member: &MemberRecord,
        query: RunStatusRequest,
        deadline: Moment,
    ) -> Option<RunStatus<Answer>> {
        let peer = member.address.parse().ok()?;
        let mut tries = 0;
        while tries < STATUS_TRIES {
            let left = deadline.since(self.clock.now()).min(STATUS_WAIT);
            if left.is_zero() {
                return Some(RunStatus::Unknown(ErrorKind::Deadline));
            }
            let query = RunStatusRequest { left, ..query.clone() };
            let exchange = self.links.exchange(peer, RUN_STATUS_PATH, &query);
            match tokio::time::timeout(left + STATUS_TIMEOUT, exchange).await {
                Ok(Ok(RunStatusReply { fate: RunStatus::Running })) => tries = 0,
                Ok(Ok(RunStatusReply { fate })) => return Some(fate),
                Ok(Err(_)) => {
                    tries += 1;
                    tokio::time::sleep(STATUS_PAUSE).await;
                }
                Err(_) => return None,
            }
        }
        None
    }

    async fn exchange(
        &self,
        member: &MemberRecord,
        call: CallRequest,
    ) -> Result<CallReply, LinkError> {
        if member.instance == self.local.instance {
            return Ok(self.executor.serve(call).await);
        }
        let unusable = SocketAddr::from(([0, 0, 0, 0], 0));
        let peer = member.address.parse().map_err(|_| LinkError::NotConnected(unusable))?;
        self.links.exchange(peer, CALL_PATH, &call).await
    }

    fn next_attempt(&self) -> AttemptId {
        AttemptId(self.attempt_counter.fetch_add(1, Ordering::Relaxed))
    }
}

/// Observation of the target that a complete reply gives.
fn observation_of(reply: &CallReply, latency: Duration) -> Observation {
    match reply.outcome {
        Outcome::Done(_) => Observation::Done { latency, level: reply.level },
        Outcome::NotRun { .. } => Observation::Refused { level: reply.level },
        Outcome::Unknown { .. } => Observation::GivenUp,
    }
}

/// Whether `reply` belongs to this send and its body matches its checksum.
fn is_complete(reply: &CallReply, request: RequestId, attempt: AttemptId) -> bool {
    let matches = reply.request == request && reply.attempt == attempt;
    match &reply.outcome {
        Outcome::Done(answer) => matches && xxh3_64(&answer.body) == answer.checksum,
        _ => matches,
    }
}

fn not_run(kind: ErrorKind) -> Outcome<Answer> {
    Outcome::NotRun { kind, retry_after: DEFAULT_RETRY_AFTER }
}

impl Service for Router {
    fn name(&self) -> &'static str {
        "route"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "next_attempt": self.attempt_counter.load(Ordering::Relaxed) })
    }
}
