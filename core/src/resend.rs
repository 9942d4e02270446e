//! Retry budget of one node for each service, enforced without communication between nodes.
//!
//! An installation limits how many resends (sends of a request beyond the first) a service receives
//! from all nodes together: a ratio of its requests plus a fixed base. Each node applies the ratio
//! to its *own* requests and takes an equal share of the base, so the sum over all nodes stays
//! within the limit without any knowledge of each other's counts. This prevents retry storms, in
//! which a service that refuses requests receives more of them as a result. See
//! [platform](../../docs/design/platform.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::time::Moment;

/// Number of buckets in one window; with fewer, too many counts expire at once.
const BUCKETS: usize = 10;
/// Share of the limit up to which calls of targets that may have run are resent. Such a run makes
/// its own calls again, so resends add up along a call chain.
const CALL_SHARE: f64 = 0.25;
/// Share of the limit up to which requests of external callers that may have run are resent. It is
/// larger because such a resend rescues a whole request, while the resend of a call rescues only
/// one of many calls that its request needs.
const REQUEST_SHARE: f64 = 0.5;
/// Share of the limit up to which requests that a target shed are resent. They have not run, so
/// their resends don't add up along a chain. The rest of the limit is reserved for resends that
/// nodes can't see of each other.
const SHED_SHARE: f64 = 0.8;

/// Limit on resends, which are sends of a request beyond the first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendBound {
    /// Allowed resends per request.
    pub ratio: f64,
    /// Allowed resends per window in addition to the ratio, over all nodes.
    pub base: f64,
    /// Time over which requests and resends are counted.
    pub window: Duration,
}

/// Reason for a resend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResendCause {
    /// A call made by a target failed and may have run.
    Call,
    /// A request of an external caller failed and may have run.
    Request,
    /// A target shed the request without running it.
    Shed,
}

impl ResendCause {
    /// Share of the limit that all resends together may reach by a resend for this reason.
    fn share(self) -> f64 {
        match self {
            Self::Call => CALL_SHARE,
            Self::Request => REQUEST_SHARE,
            Self::Shed => SHED_SHARE,
        }
    }
}

/// Counts of one service in one of the [`BUCKETS`] parts of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    requests: u32,
    resends: u32,
}

/// Counts of one service over the window, as a ring of buckets.
#[derive(Debug, Default)]
struct ServiceCounts {
    buckets: [Bucket; BUCKETS],
    /// Number of the current bucket, counted from the clock's origin.
    current: u64,
}

/// Retry budget of one node, with separate counts for each service.
#[derive(Debug)]
pub struct ResendBudget {
    bound: ResendBound,
    services: HashMap<Name, ServiceCounts>,
}

impl ResendBudget {
    /// Creates a budget with the limit `bound` for each service.
    pub fn new(bound: ResendBound) -> Self {
        Self { bound, services: HashMap::new() }
    }

    /// Counts the first send of a request for `service`.
    pub fn record_first(&mut self, now: Moment, service: &Name) {
        self.counts_mut(now, service).current_bucket().requests += 1;
    }

    /// Counts a call made by a run that is itself a repeat. The call can't be withheld, but counts
    /// as a resend.
    pub fn record_repeat(&mut self, now: Moment, service: &Name) {
        self.counts_mut(now, service).current_bucket().resends += 1;
    }

    /// Counts one resend and returns true, if the budget allows it for one node among `nodes`.
    pub fn try_spend(
        &mut self,
        now: Moment,
        service: &Name,
        nodes: usize,
        cause: ResendCause,
    ) -> bool {
        let bound = self.bound;
        let counts = self.counts_mut(now, service);
        let (requests, resends) = counts.totals();
        let base = bound.base / nodes.max(1) as f64;
        let allowed = cause.share() * (bound.ratio * f64::from(requests) + base);
        if f64::from(resends) + 1.0 > allowed {
            return false;
        }
        counts.current_bucket().resends += 1;
        true
    }

    fn counts_mut(&mut self, now: Moment, service: &Name) -> &mut ServiceCounts {
        let span = (self.bound.window / BUCKETS as u32).as_micros().max(1) as u64;
        let current = now.as_micros() / span;
        let counts = self.services.entry(service.clone()).or_default();
        counts.advance(current);
        counts
    }
}

impl ServiceCounts {
    fn advance(&mut self, current: u64) {
        let passed = current.saturating_sub(self.current).min(BUCKETS as u64);
        for step in 1..=passed {
            let idx = (current - passed + step) % BUCKETS as u64;
            self.buckets[idx as usize] = Bucket::default();
        }
        self.current = self.current.max(current);
    }

    fn current_bucket(&mut self) -> &mut Bucket {
        &mut self.buckets[(self.current % BUCKETS as u64) as usize]
    }

    fn totals(&self) -> (u32, u32) {
        let sum = |count: fn(&Bucket) -> u32| self.buckets.iter().map(count).sum();
        (sum(|bucket| bucket.requests), sum(|bucket| bucket.resends))
    }
}
