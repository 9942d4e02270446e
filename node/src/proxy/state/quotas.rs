//! Rate limits of workspaces at this node: tokens that it leased as an entry, and buckets that it
//! holds as an owner.
//!
//! See [workspace limits](../../../../docs/design/workspace-limits.md).

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Answerer, EntryQuotas, LeaseAnswer, LeaseRequest, LeaseToken, LimitedWorkspace, Moment, Name,
    PeerFailure, QuotaMembers, QuotaOwner, Reachability, Revision, TokenResult, WorkspaceHash,
    WorkspaceRate,
};
use poplar_kernel::{Clock, Service};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use serde_json::{Value, json};
use slog::{Logger, info};
use tokio::sync::oneshot;

use crate::proxy::frame::LeaseNumber;
use crate::proxy::state::roster::Roster;
use crate::proxy::state::rules::Rules;

/// Interval at which idle state is dropped and a suspension of the process is detected.
pub(crate) const TICK: Duration = Duration::from_millis(250);
/// Time between two ticks from which on the process counts as suspended: another node may have
/// granted tokens meanwhile.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Shortest interval between two updates of the members; limits the cost of the order in large
/// installations.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest interval between two log lines about the limit of one workspace.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Label of the metrics of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WorkspaceLabels {
    workspace: String,
}

/// Kernel service that holds the rate limits of workspaces.
pub(crate) struct Quotas {
    clock: Clock,
    own: Name,
    rules: Arc<Rules>,
    roster: Arc<Roster>,
    logger: Logger,
    state: Mutex<State>,
    refused: Family<WorkspaceLabels, Counter>,
    owned: Family<WorkspaceLabels, Gauge>,
}

/// Result of a request for a token.
pub(crate) enum Requested {
    Granted(LeaseToken),
    Refused(Duration),
    /// The result arrives with the answer of the owner.
    Waiting(u64, oneshot::Receiver<Result<LeaseToken, Duration>>),
}

/// Request for tokens that is to be sent.
pub(crate) struct Ask {
    pub(crate) workspace: LimitedWorkspace,
    pub(crate) request: LeaseRequest,
    /// Nodes to ask, in order.
    pub(crate) candidates: Vec<Name>,
    pub(crate) asked: Moment,
}

/// What a node that is asked for tokens does.
pub(crate) enum LeaseAction {
    Answer(LeaseAnswer),
    Relay(Name),
}

/// Request that waits for a token.
struct Waiter {
    id: u64,
    result: oneshot::Sender<Result<LeaseToken, Duration>>,
}

struct State {
    members: QuotaMembers,
    /// Version of the roster that the members were taken from, and when.
    members_version: Option<(u64, Moment)>,
    owner: QuotaOwner,
    entry: EntryQuotas,
    reach: Reachability,
    waiting: HashMap<WorkspaceHash, VecDeque<Waiter>>,
    next_waiter: u64,
    /// Requests for tokens that other nodes have not answered.
    pending: HashMap<LeaseNumber, oneshot::Sender<LeaseAnswer>>,
    next_number: LeaseNumber,
    limits: Limits,
    /// Node that last answered for each workspace, and when a refusal was last logged.
    seen: HashMap<WorkspaceHash, Seen>,
    last_tick: Moment,
}

#[derive(Default)]
struct Seen {
    answered_by: Option<Name>,
    logged: Option<Moment>,
}

/// Workspaces of the rules in force, by hash.
#[derive(Default)]
struct Limits {
    revision: Option<Revision>,
    workspaces: HashMap<WorkspaceHash, (Name, Option<WorkspaceRate>)>,
}

impl Quotas {
    pub(crate) fn new(
        clock: Clock,
        own: Name,
        rules: Arc<Rules>,
        roster: Arc<Roster>,
        logger: Logger,
    ) -> Self {
        let state = State {
            members: QuotaMembers::default(),
            members_version: None,
            owner: QuotaOwner::new(own.clone()),
            entry: EntryQuotas::default(),
            reach: Reachability::default(),
            waiting: HashMap::new(),
            next_waiter: 0,
            pending: HashMap::new(),
            next_number: 0,
            limits: Limits::default(),
            seen: HashMap::new(),
            last_tick: clock.now(),
        };
        let (state, refused, owned) = (Mutex::new(state), Family::default(), Family::default());
        Self { clock, own, rules, roster, logger, state, refused, owned }
    }

    /// Address of this node.
    pub(crate) fn own(&self) -> &Name {
        &self.own
    }

    /// Counter of refused requests by workspace.
    pub(crate) fn refused_counters(&self) -> Family<WorkspaceLabels, Counter> {
        self.refused.clone()
    }

    /// Gauge of the tokens in the buckets of this node, by workspace.
    pub(crate) fn owned_gauges(&self) -> Family<WorkspaceLabels, Gauge> {
        self.owned.clone()
    }

    /// Requests a token, and returns the request for tokens to send if one is due.
    pub(crate) fn request(&self, workspace: LimitedWorkspace) -> (Requested, Option<Ask>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let requested = match state.entry.request(now, workspace, fastrand::u64(..)) {
            TokenResult::Granted(token) => Requested::Granted(token),
            TokenResult::Refused(wait) => Requested::Refused(wait),
            TokenResult::Wait => {
                let (result, receiver) = oneshot::channel();
                state.next_waiter += 1;
                let id = state.next_waiter;
                state.waiting.entry(workspace.hash).or_default().push_back(Waiter { id, result });
                Requested::Waiting(id, receiver)
            }
        };
        let ask = self.next_ask(&mut state, now, workspace);
        (requested, ask)
    }

    /// Records that a request was refused because of the limit.
    pub(crate) fn record_refusal(&self, name: &Name, workspace: WorkspaceHash, wait: Duration) {
        self.refused.get_or_create(&labels(name)).inc();
        let now = self.clock.now();
        let mut state = self.lock();
        let seen = state.seen.entry(workspace).or_default();
        if seen.logged.is_none_or(|at| now.since(at) >= LOG_INTERVAL) {
            seen.logged = Some(now);
            info!(self.logger, "quota: limit reached"; "workspace" => %name,
                "retry_ms" => wait.as_millis() as u64,
                "owner" => seen.answered_by.as_ref().map(ToString::to_string));
        }
    }

    /// Removes a request that no longer waits.
    pub(crate) fn give_up(&self, workspace: WorkspaceHash, waiter: u64) {
        let mut state = self.lock();
        let Some(waiting) = state.waiting.get_mut(&workspace) else { return };
        let before = waiting.len();
        waiting.retain(|known| known.id != waiter);
        if waiting.len() < before {
            state.entry.give_up(workspace);
        }
    }

    /// Puts back the token of a request that did not run.
    pub(crate) fn put_back(&self, workspace: WorkspaceHash, token: LeaseToken) {
        let now = self.clock.now();
        self.lock().entry.put_back(now, workspace, token);
    }

    /// Applies the answer to a request for tokens and the node that gave it; returns the next
    /// request if one is due.
    pub(crate) fn settle(&self, ask: &Ask, answer: Option<(Name, LeaseAnswer)>) -> Option<Ask> {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        let workspace = ask.workspace;
        let peer = answer.as_ref().map(|(peer, _)| peer.clone());
        self.log_owner(state, workspace.hash, peer);
        let answer = answer.map(|(_, answer)| answer);
        let (nodes, draw) = (state.members.len(), fastrand::u64(..));
        let settled = state.entry.settle(now, workspace, ask.asked, answer, nodes, draw);
        let results =
            settled.served.into_iter().map(Ok).chain(settled.refused.into_iter().map(Err));
        let waiting = state.waiting.entry(workspace.hash).or_default();
        for result in results {
            let Some(waiter) = waiting.pop_front() else { break };
            // A caller that has left does not use its token.
            if let Err(Ok(token)) = waiter.result.send(result) {
                state.entry.put_back(now, workspace.hash, token);
            }
        }
        if waiting.is_empty() {
            state.waiting.remove(&workspace.hash);
        }
        self.next_ask(state, now, workspace)
    }

    /// Decides on a request for tokens that this node received.
    pub(crate) fn answer(&self, request: &LeaseRequest) -> LeaseAction {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        self.refresh(state, now);
        if state.limits.revision.is_none() {
            return LeaseAction::Answer(LeaseAnswer::NoRules);
        }
        let limit = state.limits.workspaces.get(&request.workspace).and_then(|(_, rate)| *rate);
        let Some(limit) = limit else { return LeaseAction::Answer(LeaseAnswer::Unlimited) };
        let ranking = state.members.ranking(request.workspace);
        let settled = state.members.is_settled(now, &self.own, request.workspace);
        match state.owner.answerer(now, request, &ranking, settled, &state.reach) {
            Answerer::Own => {
                let grant = state.owner.grant(now, request, limit, &ranking, settled);
                LeaseAction::Answer(LeaseAnswer::Granted(grant))
            }
            Answerer::Hold(time) => {
                LeaseAction::Answer(LeaseAnswer::Granted(QuotaOwner::hold(time)))
            }
            Answerer::Relay(peer) => LeaseAction::Relay(peer),
        }
    }

    /// Records whether another node answered a request for tokens.
    pub(crate) fn record_exchange(&self, peer: &Name, failure: Option<PeerFailure>) {
        let now = self.clock.now();
        let mut state = self.lock();
        match failure {
            Some(failure) => state.reach.record_failure(now, peer, failure),
            None => state.reach.record_answer(peer),
        }
    }

    /// Number for a request to another node, and the receiver of its answer.
    pub(crate) fn begin_exchange(&self) -> (LeaseNumber, oneshot::Receiver<LeaseAnswer>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number = number.wrapping_add(1);
        state.pending.insert(number, sender);
        (number, receiver)
    }

    /// Forgets a request to another node.
    pub(crate) fn end_exchange(&self, number: LeaseNumber) {
        self.lock().pending.remove(&number);
    }

    /// Passes the answer of another node on to the task that waits for it.
    pub(crate) fn complete(&self, number: LeaseNumber, answer: LeaseAnswer) {
        if let Some(sender) = self.lock().pending.remove(&number) {
            // The send fails only if the task has stopped waiting.
            let _ = sender.send(answer);
        }
    }

    /// Drops idle state, and all buckets after a suspension of the process; called every [`TICK`].
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        // Kept up to date without requests, too: a bucket starts full only if this node has been
        // the owner for some time.
        self.refresh(state, now);
        if now.since(state.last_tick) > SUSPEND_THRESHOLD {
            state.owner.clear();
            state.members.unsettle(now);
            info!(self.logger, "quota: buckets dropped after a suspension";
                "ms" => now.since(state.last_tick).as_millis() as u64);
        }
        state.last_tick = now;
        state.owner.drop_idle(now);
        state.entry.drop_idle(now);
        for (hash, tokens) in state.owner.tokens(now) {
            if let Some((name, _)) = state.limits.workspaces.get(&hash) {
                self.owned.get_or_create(&labels(name)).set(i64::from(tokens));
            }
        }
    }

    /// Request for tokens of a workspace to send now, if one is due.
    fn next_ask(&self, state: &mut State, now: Moment, workspace: LimitedWorkspace) -> Option<Ask> {
        let request = state.entry.next_lease(now, workspace.hash)?;
        self.refresh(state, now);
        let candidates = state.members.ranking(workspace.hash).candidates(now, &state.reach);
        Some(Ask { workspace, request, candidates, asked: now })
    }

    /// Takes over new members and new rules.
    fn refresh(&self, state: &mut State, now: Moment) {
        let revision = self.rules.revision();
        if state.limits.revision != Some(revision)
            && let Some(active) = self.rules.current()
        {
            let workspaces = active.rules.workspaces.iter().flatten();
            let entry = |name: &Name, rate| (WorkspaceHash::of(name), (name.clone(), rate));
            state.limits = Limits {
                revision: Some(active.rules.revision),
                workspaces: workspaces.map(|known| entry(&known.name, known.rate)).collect(),
            };
        }
        // Without limits, the members are not needed.
        if !state.limits.workspaces.values().any(|(_, rate)| rate.is_some()) {
            return;
        }
        let version = self.roster.version();
        let due = match state.members_version {
            None => true,
            Some((known, at)) => known != version && now.since(at) >= MEMBERS_INTERVAL,
        };
        if due {
            let records = self.roster.records();
            state.members.set(now, records.into_iter().map(|record| (record.peer, record.stage)));
            state.members_version = Some((version, now));
        }
    }

    /// Logs a change of the node that answers for a workspace.
    fn log_owner(&self, state: &mut State, workspace: WorkspaceHash, peer: Option<Name>) {
        let seen = state.seen.entry(workspace).or_default();
        if seen.answered_by == peer {
            return;
        }
        let name = state.limits.workspaces.get(&workspace).map(|(name, _)| name.to_string());
        info!(self.logger, "quota: owner changed"; "workspace" => name,
            "before" => seen.answered_by.as_ref().map(ToString::to_string),
            "owner" => peer.as_ref().map(ToString::to_string));
        seen.answered_by = peer;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for Quotas {
    fn name(&self) -> &'static str {
        "quotas"
    }

    fn dump(&self, now: Moment) -> Value {
        let state = self.lock();
        let name = |hash: &WorkspaceHash| {
            state.limits.workspaces.get(hash).map(|(name, _)| name.to_string())
        };
        let rows = |tokens: Vec<(WorkspaceHash, u32)>| -> serde_json::Map<String, Value> {
            tokens.iter().filter_map(|(hash, count)| Some((name(hash)?, json!(count)))).collect()
        };
        let owners = state.seen.iter().filter_map(|(hash, seen)| {
            Some((name(hash)?, json!(seen.answered_by.as_ref().map(ToString::to_string))))
        });
        json!({
            "owned": rows(state.owner.tokens(now).collect()),
            "leased": rows(state.entry.held(now).collect()),
            "owners": owners.collect::<serde_json::Map<_, _>>(),
        })
    }
}

fn labels(name: &Name) -> WorkspaceLabels {
    WorkspaceLabels { workspace: name.to_string() }
}
