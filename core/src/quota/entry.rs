//! Leases of an entry node: tokens that it may spend, and requests that wait for tokens.

use std::collections::HashMap;
use std::time::Duration;

use super::bucket::seconds;
use super::{LEASE_TIME, LeaseAnswer, LeaseRequest, LimitedWorkspace, TokenGrant, WorkspaceHash};
use crate::time::Moment;
use crate::workspace::WorkspaceRate;

/// Time for which an entry node leases tokens in advance.
const AHEAD_TIME: f64 = 0.2;
/// Time before tokens run out at which more are requested.
const RENEW_TIME: f64 = 0.1;
/// Time constant of the average rate of requests.
const DEMAND_TIME: f64 = 0.5;
/// Shortest time for which no tokens are requested in advance after the owner had too few.
const SCARCE_TIME: Duration = Duration::from_millis(50);
/// Largest number of tokens in one request.
const WANTED_MAX: u32 = 10_000;
/// Time for which an entry node asks nobody after neither the owner nor its successor answered.
const CUT_OFF_TIME: Duration = Duration::from_millis(500);
/// Longest `Retry-After`: later returns are beyond the patience of callers.
const RETRY_MAX: Duration = Duration::from_secs(5);
/// Time without requests after which the state of a workspace is dropped.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Fraction of the rate and of the burst that entry nodes which reach no owner may use in total. It
/// is part of the tolerance of the limit, because the owner may grant the whole rate to others.
const CUT_OFF_FRACTION: f64 = 0.02;
/// Requests a second that such entry nodes may serve in total beyond that fraction.
const CUT_OFF_RATE: f64 = 2.0;

/// Result of a request for one token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenResult {
    /// The request may run.
    Granted(LeaseToken),
    /// The request waits for the answer to a request for tokens.
    Wait,
    /// The request exceeds the limit; the caller may return after this time.
    Refused(Duration),
}

/// Token that one request has spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseToken {
    expires: Moment,
}

/// What happens to the waiting requests, in the order in which they began to wait.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Settlement {
    /// Tokens for the first of them.
    pub served: Vec<LeaseToken>,
    /// Times after which the callers of the others may return.
    pub refused: Vec<Duration>,
}

#[derive(Debug)]
struct Lease {
    expires: Moment,
    tokens: u32,
}

/// Period in which there are no tokens.
#[derive(Debug, Clone, Copy)]
struct Blocked {
    until: Moment,
    /// When the next refused request may return.
    next_return: Moment,
}

#[derive(Debug, Default)]
struct EntryQuota {
    leases: Vec<Lease>,
    /// When tokens were requested that have not been answered.
    asked: Option<Moment>,
    /// Number of tokens in that request.
    wanted: u32,
    /// Number of requests that wait for tokens.
    waiting: u32,
    blocked: Option<Blocked>,
    /// Until when no tokens are requested in advance, because the owner has none left.
    scarce_until: Moment,
    /// Refused requests that the owner has not been told of.
    refused: u32,
    /// Average number of requests a second.
    demand: f64,
    last: Moment,
    /// Share that the node may use while it reaches no owner.
    cut_off: Option<CutOffShare>,
}

/// Token bucket of a node that reaches no owner.
#[derive(Debug)]
struct CutOffShare {
    per_second: f64,
    tokens: f64,
    at: Moment,
}

/// Leases of all workspaces at one entry node.
#[derive(Debug, Default)]
pub struct EntryQuotas {
    quotas: HashMap<WorkspaceHash, EntryQuota>,
}

impl EntryQuotas {
    /// Requests one token. A request that is told to wait takes part in the next settlement.
    pub fn request(&mut self, now: Moment, workspace: LimitedWorkspace, draw: u64) -> TokenResult {
        let limit = workspace.rate;
        let quota = self.quotas.entry(workspace.hash).or_default();
        quota.record_demand(now);
        if let Some(token) = quota.take(now) {
            return TokenResult::Granted(token);
        }
        if quota.is_blocked(now) {
            return match quota.take_cut_off(now) {
                Some(token) => TokenResult::Granted(token),
                None => TokenResult::Refused(quota.refuse(now, limit, draw)),
            };
        }
        quota.waiting += 1;
        TokenResult::Wait
    }

    /// Request for tokens to send now, if one is due. Only one is in flight at a time.
    pub fn next_lease(&mut self, now: Moment, workspace: WorkspaceHash) -> Option<LeaseRequest> {
        let quota = self.quotas.get_mut(&workspace)?;
        let in_flight = quota.asked.is_some_and(|at| now.since(at) < LEASE_TIME);
        if in_flight || quota.is_blocked(now) {
            return None;
        }
        let (held, ahead) = (quota.held(now), (quota.demand * AHEAD_TIME) as u32);
        let low = f64::from(held) < quota.demand * RENEW_TIME;
        let ahead = if now < quota.scarce_until { 0 } else { ahead.saturating_sub(held) };
        if quota.waiting == 0 && !(low && ahead > 0) {
            return None;
        }
        let wanted = quota.waiting.saturating_add(ahead).min(WANTED_MAX);
        (quota.asked, quota.wanted) = (Some(now), wanted);
        let refused = std::mem::take(&mut quota.refused);
        Some(LeaseRequest { workspace, wanted, refused, relayed: false })
    }

    /// Applies the answer to the request for tokens sent at `asked`, or that nobody has answered.
    /// `nodes` is the number of nodes among which the share of unreachable owners is divided.
    pub fn settle(
        &mut self,
        now: Moment,
        workspace: LimitedWorkspace,
        asked: Moment,
        answer: Option<LeaseAnswer>,
        nodes: usize,
        draw: u64,
    ) -> Settlement {
        let limit = workspace.rate;
        let Some(quota) = self.quotas.get_mut(&workspace.hash) else {
            return Settlement::default();
        };
        let wanted = quota.wanted;
        if quota.asked == Some(asked) {
            quota.asked = None;
        }
        let grant = match answer {
            Some(LeaseAnswer::Granted(grant)) => grant,
            Some(LeaseAnswer::Unlimited) => TokenGrant { tokens: wanted, ready_ms: 0, queue_ms: 0 },
            Some(LeaseAnswer::NoRules) | None => {
                return quota.settle_cut_off(now, limit, nodes, draw);
            }
        };
        quota.cut_off = None;
        if grant.tokens < wanted {
            quota.scarce_until = now + millis(grant.ready_ms).max(SCARCE_TIME);
        }
        quota.leases.push(Lease { expires: asked + LEASE_TIME, tokens: grant.tokens });
        let served = quota.serve_waiting(now);
        // Requests that arrived since the tokens were requested are part of the next request.
        if quota.waiting == 0 || grant.tokens >= wanted {
            return Settlement { served, refused: Vec::new() };
        }
        let until = now + millis(grant.ready_ms);
        let next_return = now + millis(grant.queue_ms.max(grant.ready_ms));
        quota.blocked = Some(Blocked { until, next_return });
        let refused = quota.refuse_waiting(now, limit, draw);
        Settlement { served, refused }
    }

    /// Removes one waiting request that no longer waits.
    pub fn give_up(&mut self, workspace: WorkspaceHash) {
        if let Some(quota) = self.quotas.get_mut(&workspace) {
            quota.waiting = quota.waiting.saturating_sub(1);
        }
    }

    /// Puts back the token of a request that did not run, for the rest of its lease.
    pub fn put_back(&mut self, now: Moment, workspace: WorkspaceHash, token: LeaseToken) {
        if token.expires > now
            && let Some(quota) = self.quotas.get_mut(&workspace)
        {
            quota.leases.push(Lease { expires: token.expires, tokens: 1 });
        }
    }

    /// Drops the state of workspaces without requests.
    pub fn drop_idle(&mut self, now: Moment) {
        self.quotas.retain(|_, quota| quota.waiting > 0 || now.since(quota.last) < IDLE_TIME);
    }

    /// Tokens that the node holds, by workspace.
    pub fn held(&self, now: Moment) -> impl Iterator<Item = (WorkspaceHash, u32)> + '_ {
        self.quotas.iter().map(move |(key, quota)| (*key, quota.held(now)))
    }
}

impl EntryQuota {
    fn record_demand(&mut self, now: Moment) {
        let passed = now.since(self.last).as_secs_f64();
        self.demand = self.demand * (-passed / DEMAND_TIME).exp() + 1.0 / DEMAND_TIME;
        self.last = now;
    }

    fn held(&self, now: Moment) -> u32 {
        self.leases.iter().filter(|lease| lease.expires > now).map(|lease| lease.tokens).sum()
    }

    /// Spends the token that expires first.
    fn take(&mut self, now: Moment) -> Option<LeaseToken> {
        self.leases.retain(|lease| lease.expires > now && lease.tokens > 0);
        let lease = self.leases.iter_mut().min_by_key(|lease| lease.expires)?;
        lease.tokens -= 1;
        Some(LeaseToken { expires: lease.expires })
    }

    fn is_blocked(&self, now: Moment) -> bool {
        self.blocked.is_some_and(|blocked| blocked.until > now)
    }

    fn serve_waiting(&mut self, now: Moment) -> Vec<LeaseToken> {
        let mut served = Vec::new();
        while self.waiting > 0
            && let Some(token) = self.take(now)
        {
            self.waiting -= 1;
            served.push(token);
        }
        served
    }

    fn refuse_waiting(&mut self, now: Moment, limit: WorkspaceRate, draw: u64) -> Vec<Duration> {
        let waiting = std::mem::take(&mut self.waiting);
        (0..waiting).map(|_| self.refuse(now, limit, draw)).collect()
    }

    /// Counts a refused request and returns the time after which its caller may return. Returns are
    /// due one after the other at the rate of the limit, so that each finds a token.
    fn refuse(&mut self, now: Moment, limit: WorkspaceRate, draw: u64) -> Duration {
        self.refused = self.refused.saturating_add(1);
        let Some(blocked) = &mut self.blocked else { return CUT_OFF_TIME };
        let step = seconds(1.0 / limit.per_second);
        let wait = blocked.next_return.max(blocked.until).since(now);
        // Other entry nodes refuse at the same time, and their callers are told similar times.
        let spread = step.mul_f64(draw as f64 / u64::MAX as f64);
        blocked.next_return = (blocked.next_return + step).min(now + RETRY_MAX);
        (wait + spread).min(RETRY_MAX)
    }

    /// Settles the waiting requests from the share of a node that reaches no owner.
    fn settle_cut_off(
        &mut self,
        now: Moment,
        limit: WorkspaceRate,
        nodes: usize,
        draw: u64,
    ) -> Settlement {
        let total = CUT_OFF_FRACTION * (limit.per_second + limit.burst) + CUT_OFF_RATE;
        let per_second = total / nodes.max(1) as f64;
        // A random begin spreads the first tokens of nodes that are cut off together.
        let tokens = draw as f64 / u64::MAX as f64;
        let share = self.cut_off.get_or_insert(CutOffShare { per_second, tokens, at: now });
        share.per_second = per_second;
        let until = now + CUT_OFF_TIME;
        self.blocked = Some(Blocked { until, next_return: until });
        let mut served = Vec::new();
        while self.waiting > 0
            && let Some(token) = self.take_cut_off(now)
        {
            self.waiting -= 1;
            served.push(token);
        }
        let refused = self.refuse_waiting(now, limit, draw);
        Settlement { served, refused }
    }

    fn take_cut_off(&mut self, now: Moment) -> Option<LeaseToken> {
        let share = self.cut_off.as_mut()?;
        let added = now.since(share.at).as_secs_f64() * share.per_second;
        share.tokens = (share.tokens + added).min(1.0);
        share.at = now;
        if share.tokens < 1.0 {
            return None;
        }
        share.tokens -= 1.0;
        Some(LeaseToken { expires: now })
    }
}

fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
