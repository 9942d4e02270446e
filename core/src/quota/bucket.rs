//! Token bucket of one workspace.

use std::time::Duration;

use super::{TokenGrant, ceil_millis};
use crate::time::Moment;
use crate::workspace::WorkspaceRate;

/// Time for which unused tokens are kept in addition to the burst. Without it, a limit with a small
/// burst would refuse requests below the limit that arrive at random times.
const JITTER_TIME: f64 = 0.05;
/// Tokens kept in addition to the burst and those of [`JITTER_TIME`].
const JITTER_TOKENS: f64 = 8.0;
/// Tokens of a bucket that starts without burst, so that the first requests after a change of the
/// owner are not refused. Five changes in one window stay within the tolerance of the limit.
const START_TOKENS: f64 = 2.0;
/// Time whose tokens such a bucket has in addition.
const START_TIME: f64 = 0.01;
/// Longest time in which promised returns are counted. Callers wait only a few seconds.
const PROMISE_TIME: f64 = 5.0;

/// Token bucket with a count of the refused requests that were told to return.
#[derive(Debug, Clone)]
pub(crate) struct Bucket {
    limit: WorkspaceRate,
    /// Whether the bucket holds the burst of the workspace, rather than the jitter only.
    with_burst: bool,
    tokens: f64,
    /// Refused requests whose return is due later, at the rate of the limit.
    promised: f64,
    at: Moment,
}

impl Bucket {
    /// Full bucket of an owner.
    pub(crate) fn full(now: Moment, limit: WorkspaceRate) -> Self {
        let mut bucket = Self::fresh(now, limit, true);
        bucket.tokens = bucket.capacity();
        bucket
    }

    /// Nearly empty bucket of a new owner; `with_burst` determines whether it fills up to the burst.
    pub(crate) fn fresh(now: Moment, limit: WorkspaceRate, with_burst: bool) -> Self {
        let tokens = START_TOKENS + START_TIME * limit.per_second;
        Self { limit, with_burst, tokens, promised: 0.0, at: now }
    }

    /// Grants up to `wanted` tokens.
    pub(crate) fn grant(&mut self, now: Moment, wanted: u32, refused: u32) -> TokenGrant {
        self.refill(now);
        let rate = self.limit.per_second;
        self.promised = (self.promised + f64::from(refused)).min(rate * PROMISE_TIME);
        let tokens = self.tokens.floor().min(f64::from(wanted));
        self.tokens -= tokens;
        let tokens = tokens as u32;
        if tokens == wanted {
            return TokenGrant { tokens, ready_ms: 0, queue_ms: 0 };
        }
        let ready = seconds((1.0 - self.tokens).max(0.0) / rate);
        let queue = seconds((1.0 - self.tokens + self.promised).max(0.0) / rate);
        TokenGrant { tokens, ready_ms: ceil_millis(ready), queue_ms: ceil_millis(queue) }
    }

    /// Applies the limit of the rules in force: a lower burst cuts the bucket, a higher one adds
    /// the difference.
    pub(crate) fn set_limit(&mut self, now: Moment, limit: WorkspaceRate) {
        if limit == self.limit {
            return;
        }
        self.refill(now);
        let before = self.capacity();
        self.limit = limit;
        let after = self.capacity();
        self.tokens = (self.tokens + (after - before).max(0.0)).min(after);
    }

    /// Whole tokens at `now`.
    pub(crate) fn tokens(&self, now: Moment) -> u32 {
        let mut bucket = self.clone();
        bucket.refill(now);
        bucket.tokens as u32
    }

    fn refill(&mut self, now: Moment) {
        let added = now.since(self.at).as_secs_f64() * self.limit.per_second;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + added).min(self.capacity());
        self.promised = (self.promised - added).max(0.0);
    }

    fn capacity(&self) -> f64 {
        let burst = if self.with_burst { self.limit.burst } else { 0.0 };
        burst + self.limit.per_second * JITTER_TIME + JITTER_TOKENS
    }
}

/// Duration of a number of seconds; the longest possible one if it is out of range.
pub(super) fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
