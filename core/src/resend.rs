//! Budget for sending requests of one service once more, kept without talking to other nodes.
//!
//! An installation bounds the sends beyond the first that a service gets from all nodes together:
//! a part of its requests, and a fixed base. Each node holds itself to that part of its *own*
//! requests and to its share of the base; the sum over nodes then keeps the bound whatever the
//! nodes know of each other. The pattern that this answers is the retry storm, in which a service
//! that turns requests away gets more of them for it. See
//! [platform](../../docs/design/platform.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::time::Moment;

/// Buckets in one window; a coarser count forgets too much at once.
const BUCKETS: usize = 10;
/// Part of the bound up to which calls of targets are sent again that may have run: such a run
/// makes its calls again, so sends beyond the first add up along a chain.
const CALL_SHARE: f64 = 0.25;
/// Part up to which requests of callers are that may have run: each saves a whole request, a call
/// only one of many that its request needs.
const REQUEST_SHARE: f64 = 0.5;
/// Part up to which anything is sent again that a target turned away: it has not run, so nothing
/// adds up. The rest of the bound is left for what nodes cannot see of each other.
const SHED_SHARE: f64 = 0.8;

/// Bound on sends beyond the first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendBound {
    /// Sends beyond the first, as a part of the requests.
    pub ratio: f64,
    /// Sends beyond that part, over all nodes.
    pub base: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

/// Why something is to be sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResendCause {
    /// A call of a target may have run elsewhere.
    Call,
    /// A request of a caller may have run elsewhere.
    Request,
    /// A target turned it away without running it.
    Shed,
}

impl ResendCause {
    /// Part of the bound up to which it is sent.
    fn share(self) -> f64 {
        match self {
            Self::Call => CALL_SHARE,
            Self::Request => REQUEST_SHARE,
            Self::Shed => SHED_SHARE,
        }
    }
}

/// Counts of one service in one part of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    requests: u32,
    resends: u32,
}

/// Counts of one service.
#[derive(Debug, Default)]
struct ServiceCounts {
    buckets: [Bucket; BUCKETS],
    /// Number of the bucket that is being filled, counted from the clock's origin.
    current: u64,
}

/// Budget of one node for all services.
#[derive(Debug)]
pub struct ResendBudget {
    bound: ResendBound,
    services: HashMap<Name, ServiceCounts>,
}

impl ResendBudget {
    /// Budget within `bound`.
    pub fn new(bound: ResendBound) -> Self {
        Self { bound, services: HashMap::new() }
    }

    /// Counts a request for `service` that is sent for the first time.
    pub fn record_first(&mut self, now: Moment, service: &Name) {
        self.counts_mut(now, service).current_bucket().requests += 1;
    }

    /// Counts a call that a run makes which is itself a repeat: it must go out, and counts as a
    /// send beyond the first.
    pub fn record_repeat(&mut self, now: Moment, service: &Name) {
        self.counts_mut(now, service).current_bucket().resends += 1;
    }

    /// Spends one send beyond the first, if the budget of one node among `nodes` allows it.
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
