//! Calls that this node sends to targets: the caller's half of a hop.

mod targets;
mod trip;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
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
use xxhash_rust::xxh3::xxh3_64;

use crate::contracts::Contracts;
use crate::directory::Directory;
use crate::levels::Levels;
use crate::links::{LinkError, Links};
use crate::members::FIND_PATH;
use crate::metrics::Metrics;
use crate::work::{Work, outcome_of};

use targets::{Chosen, Targets};
use trip::Trip;

/// Path of calls between nodes.
pub(crate) const CALL_PATH: &str = "/call";
/// Path of questions about a send.
pub(crate) const ASK_PATH: &str = "/ask";
/// Path of requests for a binding.
pub(crate) const BIND_PATH: &str = "/bind";
/// Time to come back that a refusal names while nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Pause before a question that found no connection is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// Time for which the other node holds a question while the call runs.
const ASK_WAIT: Duration = Duration::from_millis(300);
/// Time beyond that within which it must answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Questions about one send without an answer before its outcome counts as unknown.
const ASK_TRIES: u32 = 3;
/// Questions for a member that nobody seems to know.
const FIND_TRIES: u32 = 4;
/// Pause before the second question; it grows with each.
const FIND_PAUSE: Duration = Duration::from_millis(100);
/// Time within which a member answers for another one.
const FIND_TIMEOUT: Duration = Duration::from_millis(500);
/// Instances whose offered bindings are remembered.
const OFFERS: usize = 1_024;
/// Time for which an offered binding is used; shorter than the window it was minted in.
const OFFER_AGE: Duration = Duration::from_secs(5);

/// Call to be delivered to some target of a service.
#[derive(Debug)]
pub(crate) struct Delivery {
    /// Terms; attempt, grant, binding and times are set anew for each send.
    pub(crate) meta: CallMeta,
    /// How the call is made.
    pub(crate) rule: BindingMode,
    /// What the call itself may do, its own class included.
    pub(crate) within: Repeatability,
    /// Service whose targets can run it.
    pub(crate) service: Name,
    /// Calls, this one included, that the same run may make side by side.
    pub(crate) siblings: u32,
    /// Body for the target.
    pub(crate) body: Bytes,
}

/// How a delivery ended.
#[derive(Debug)]
pub(crate) struct Delivered {
    /// What became of the call.
    pub(crate) outcome: Outcome<Answer>,
    /// Time after which the caller may come back, where that can help.
    pub(crate) retry_after: Option<Duration>,
    /// Binding for the next send of an outside caller, where this one definitely did not run.
    pub(crate) offer: Option<Binding>,
    /// Sends made for the call so far.
    pub(crate) sends: Call,
}

/// How one send ended.
enum Reply {
    /// The other node's whole reply to this very send.
    Whole(CallReply),
    /// The other node saw nothing of it.
    Unseen,
    /// No whole reply came; this is what the other node said when asked.
    Asked(RunStatus<Answer>),
    /// No whole reply came, and the other node could not be asked.
    Lost,
}

/// Binding that an instance offered last.
struct Heard {
    binding: Binding,
    at: Moment,
}

/// Service that chooses targets and sends calls to them.
pub(crate) struct Route {
    clock: Clock,
    own: Sender,
    contracts: Arc<Contracts>,
    directory: Arc<Directory>,
    levels: Arc<Levels>,
    links: Arc<Links>,
    metrics: Arc<Metrics>,
    work: Arc<Work>,
    attempts: AtomicU64,
    targets: Targets,
    heard: Mutex<HashMap<InstanceId, Heard>>,
}

impl Route {
    /// Service that finds what it needs in `registry`.
    pub(crate) fn new(
        clock: Clock,
        own: Sender,
        zone: Name,
        registry: &Registry,
    ) -> Result<Self, RegistryError> {
        Ok(Self {
            clock,
            own,
            contracts: registry.find("contracts")?,
            directory: registry.find("directory")?,
            levels: registry.find("levels")?,
            links: registry.find("links")?,
            metrics: registry.find("metrics")?,
            work: registry.find("work")?,
            attempts: AtomicU64::new(1),
            targets: Targets::new(clock, zone),
            heard: Mutex::default(),
        })
    }

    /// Delivers one call, sending it again as far as outcome, deadline and budget allow.
    ///
    /// `sends` are those that were made for the call before, by whichever entry.
    pub(crate) async fn deliver(
        &self,
        call: Delivery,
        budget: &Mutex<Budget>,
        sends: Call,
    ) -> Delivered {
        Trip::new(self, call, budget, sends).run().await
    }

    /// Fresh binding to some target of `service`, for an outside caller to send with.
    pub(crate) async fn offer(&self, service: &Name) -> Option<Binding> {
        let mut tried = Vec::new();
        let rank = Rank::at(Importance(u8::MAX), u16::MAX);
        loop {
            let member = self.targets.choose(&self.directory, service, rank, &tried)?.member;
            if let Some(binding) = self.ask_binding(&member).await {
                return Some(binding);
            }
            tried.push(member.instance);
        }
    }

    /// Member that answers for `binding`: the bound one, or its successor once it left.
    ///
    /// A member that this node has not heard of yet is asked for at another one of the service.
    async fn bound_member(&self, service: &Name, binding: &Binding) -> Option<MemberRecord> {
        let known = |directory: &Directory| {
            let member = directory.member(service, &binding.instance)?;
            (member.incarnation >= binding.incarnation).then_some(member)
        };
        let mut found = known(&self.directory);
        let mut tries = 0;
        while found.is_none() && tries < FIND_TRIES {
            // A member that has just joined is known to some others before it is known to all.
            tokio::time::sleep(FIND_PAUSE * tries).await;
            self.find(service, &binding.instance).await;
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

    /// Asks a member of `service` for another one.
    async fn find(&self, service: &Name, instance: &InstanceId) {
        let rank = Rank::at(Importance(u8::MAX), u16::MAX);
        let asked = self.targets.choose(&self.directory, service, rank, &[]);
        let Some(peer) = asked.and_then(|chosen| chosen.member.address.parse().ok()) else {
            return;
        };
        let question = (service, instance);
        let exchange = self.links.exchange(peer, FIND_PATH, &question);
        let found: Result<Result<Option<MemberRecord>, _>, _> =
            tokio::time::timeout(FIND_TIMEOUT, exchange).await;
        if let Ok(Ok(Some(record))) = found {
            self.directory.learn(record);
        }
    }

    /// Binding that a member offers when asked.
    async fn ask_binding(&self, member: &MemberRecord) -> Option<Binding> {
        let offered = match member.instance == self.own.instance {
            true => self.work.offer(),
            false => {
                let ask = TargetBindingRequest { sender: self.own.clone() };
                self.links.exchange(member.address.parse().ok()?, BIND_PATH, &ask).await.ok()?
            }
        };
        self.hear(offered.as_ref());
        offered
    }

    /// Binding that a member offered a short time ago.
    fn heard(&self, member: &MemberRecord) -> Option<Binding> {
        let now = self.clock.now();
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let last = heard.get(&member.instance)?;
        let usable =
            last.binding.incarnation == member.incarnation && now.since(last.at) < OFFER_AGE;
        usable.then(|| Binding { serial: 0, ..last.binding.clone() })
    }

    /// Remembers an offered binding.
    fn hear(&self, offered: Option<&Binding>) {
        let Some(binding) = offered.cloned() else { return };
        let at = self.clock.now();
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        if heard.len() >= OFFERS && !heard.contains_key(&binding.instance) {
            heard.retain(|_, last| at.since(last.at) < OFFER_AGE);
        }
        if heard.len() < OFFERS {
            heard.insert(binding.instance.clone(), Heard { binding, at });
        }
    }

    /// Sends the call to one member and learns from the reply.
    async fn send(&self, chosen: &mut Chosen<'_>, meta: CallMeta, body: Bytes) -> Reply {
        let begun = self.clock.now();
        let deadline = begun + meta.left;
        let (class, customer) = (meta.class.clone(), meta.customer.clone());
        let member = chosen.member.clone();
        let ask = RunStatusRequest {
            sender: self.own.clone(),
            incarnation: member.incarnation,
            request: meta.request,
            attempt: meta.attempt,
            binding: meta.binding.clone(),
            left: meta.left,
        };
        let call = CallRequest { sender: self.own.clone(), meta, body };
        let exchange = tokio::time::timeout(ask.left, self.exchange(&member, call)).await;
        match exchange {
            Ok(Ok(reply)) if whole(&reply, ask.request, ask.attempt) => {
                let latency = self.clock.now().since(begun);
                chosen.observe(observed(&reply, latency));
                self.levels.learn(&class, &member.instance, reply.level);
                self.contracts.hint(&customer, reply.revision, &member.address);
                self.hear(reply.offer.as_ref());
                Reply::Whole(reply)
            }
            Ok(Ok(_)) => Reply::Asked(RunStatus::Unknown(ErrorKind::BadAnswer)),
            Ok(Err(error)) if error.unseen() => {
                chosen.observe(Observation::Unreachable);
                Reply::Unseen
            }
            Ok(Err(_)) => match self.ask(&member, ask, deadline).await {
                Some(fate) => Reply::Asked(fate),
                None => {
                    chosen.observe(Observation::Unreachable);
                    Reply::Lost
                }
            },
            Err(_) => Reply::Asked(RunStatus::Unknown(ErrorKind::Deadline)),
        }
    }

    /// Asks on a new connection what became of a send whose connection failed.
    ///
    /// `None` if the node can't be asked.
    async fn ask(
        &self,
        member: &MemberRecord,
        ask: RunStatusRequest,
        deadline: Moment,
    ) -> Option<RunStatus<Answer>> {
        let peer = member.address.parse().ok()?;
        let mut tries = 0;
        while tries < ASK_TRIES {
            let left = deadline.since(self.clock.now()).min(ASK_WAIT);
            if left.is_zero() {
                return Some(RunStatus::Unknown(ErrorKind::Deadline));
            }
            let ask = RunStatusRequest { left, ..ask.clone() };
            let exchange = self.links.exchange(peer, ASK_PATH, &ask);
            match tokio::time::timeout(left + ASK_TIMEOUT, exchange).await {
                Ok(Ok(RunStatusReply { fate: RunStatus::Running })) => tries = 0,
                Ok(Ok(RunStatusReply { fate })) => return Some(fate),
                Ok(Err(_)) => {
                    tries += 1;
                    tokio::time::sleep(ASK_PAUSE).await;
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
        if member.instance == self.own.instance {
            return Ok(self.work.serve(call).await);
        }
        let unusable = SocketAddr::from(([0, 0, 0, 0], 0));
        let peer = member.address.parse().map_err(|_| LinkError::Unreached(unusable))?;
        self.links.exchange(peer, CALL_PATH, &call).await
    }

    fn next_attempt(&self) -> AttemptId {
        AttemptId(self.attempts.fetch_add(1, Ordering::Relaxed))
    }
}

/// What a whole reply says of the target.
fn observed(reply: &CallReply, latency: Duration) -> Observation {
    match reply.outcome {
        Outcome::Done(_) => Observation::Done { latency, level: reply.level },
        Outcome::NotRun { .. } => Observation::Refused { level: reply.level },
        Outcome::Unknown { .. } => Observation::GivenUp,
    }
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

impl Service for Route {
    fn name(&self) -> &'static str {
        "route"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "next_attempt": self.attempts.load(Ordering::Relaxed) })
    }
}
