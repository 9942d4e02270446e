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
const BUCKETS: usize = 100;
/// Number of buckets that are kept: those of the present window and of the one before.
const KEPT_BUCKETS: usize = 2 * BUCKETS;
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
/// Share of the limit up to which calls of targets that a target shed are resent. With 0.8, nodes
/// with very different loads exceeded the limit by 0.6% around a change of the basis, in a test over
/// random loads.
const SHED_CALL_SHARE: f64 = 0.78;

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
    /// A target shed the request of an external caller without running it.
    Shed,
    /// A target shed a call made by another target without running it.
    ShedCall,
}

/// Requests to which the ratio of a [`ResendBound`] applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResendBasis {
    /// Requests of the present window.
    Present,
    /// For each window, the requests of the window before. Meant for a service whose targets refuse
    /// calls, so that entry nodes admit fewer requests: the requests of the present window would no
    /// longer pay for the repeats of those that are admitted.
    Previous,
}

impl ResendCause {
    /// Share of the limit that all resends together may reach by a resend for this reason.
    fn share(self) -> f64 {
        match self {
            Self::Call => CALL_SHARE,
            Self::Request => REQUEST_SHARE,
            Self::Shed => SHED_SHARE,
            Self::ShedCall => SHED_CALL_SHARE,
        }
    }
}

/// Counts of one service in one of the [`BUCKETS`] parts of a window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    requests: u32,
    resends: u32,
}

/// Counts of one service over two windows, as a ring of buckets.
#[derive(Debug)]
struct ServiceCounts {
    buckets: [Bucket; KEPT_BUCKETS],
    /// Number of the current bucket, counted from the clock's origin.
    current: u64,
    /// Number of the bucket in which counting began.
    first: u64,
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
    ///
    /// With [`ResendBasis::Previous`], the bound is checked for each window that contains `now`, as
    /// the requests that come later are not known. All nodes must use that basis at the same time:
    /// the sum of the largest counts of each node may exceed the largest sum over all nodes.
    pub fn try_spend(
        &mut self,
        now: Moment,
        service: &Name,
        nodes: usize,
        cause: ResendCause,
        basis: ResendBasis,
    ) -> bool {
        let bound = self.bound;
        let base = bound.base / nodes.max(1) as f64;
        let allowed = |requests| cause.share() * (bound.ratio * f64::from(requests) + base);
        let counts = self.counts_mut(now, service);
        let allows = match basis {
            ResendBasis::Previous if counts.covers_previous() => counts
                .windows()
                .all(|(resends, previous)| f64::from(resends) + 1.0 <= allowed(previous)),
            ResendBasis::Present | ResendBasis::Previous => {
                let (requests, resends) = counts.totals();
                f64::from(resends) + 1.0 <= allowed(requests)
            }
        };
        if allows {
            counts.current_bucket().resends += 1;
        }
        allows
    }

    fn counts_mut(&mut self, now: Moment, service: &Name) -> &mut ServiceCounts {
        let span = (self.bound.window / BUCKETS as u32).as_micros().max(1) as u64;
        let current = now.as_micros() / span;
        let counts = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceCounts::starting_at(current));
        counts.advance(current);
        counts
    }
}

impl ServiceCounts {
    fn starting_at(current: u64) -> Self {
        Self { buckets: [Bucket::default(); KEPT_BUCKETS], current, first: current }
    }

    fn advance(&mut self, current: u64) {
        let passed = current.saturating_sub(self.current).min(KEPT_BUCKETS as u64);
        for step in 1..=passed {
            let idx = (current - passed + step) % KEPT_BUCKETS as u64;
            self.buckets[idx as usize] = Bucket::default();
        }
        self.current = self.current.max(current);
    }

    fn current_bucket(&mut self) -> &mut Bucket {
        &mut self.buckets[(self.current % KEPT_BUCKETS as u64) as usize]
    }

    /// Bucket that is `age` buckets older than the current one.
    fn bucket(&self, age: usize) -> Bucket {
        let len = KEPT_BUCKETS as u64;
        self.buckets[((self.current + len - age as u64) % len) as usize]
    }

    /// Requests and resends of the present window.
    fn totals(&self) -> (u32, u32) {
        (0..BUCKETS).map(|age| self.bucket(age)).fold((0, 0), |(requests, resends), bucket| {
            (requests + bucket.requests, resends + bucket.resends)
        })
    }

    /// Whether counting began so long ago that the window before the present one is known.
    fn covers_previous(&self) -> bool {
        self.current >= self.first + KEPT_BUCKETS as u64
    }

    /// For each window that contains the present time, by the age of its first bucket: the resends
    /// in it so far, and the requests of the window before it.
    ///
    /// Of the bucket in which a window starts, the resends count and the requests do not, so that
    /// the bound also holds for windows that start within a bucket.
    fn windows(&self) -> impl Iterator<Item = (u32, u32)> {
        let mut previous: u32 = (1..BUCKETS).map(|age| self.bucket(age).requests).sum();
        let mut resends = 0;
        (0..=BUCKETS).map(move |age| {
            resends += self.bucket(age).resends;
            let window = (resends, previous);
            if age < BUCKETS {
                previous =
                    previous - self.bucket(age + 1).requests + self.bucket(age + BUCKETS).requests;
            }
            window
        })
    }
}
