//! Rate limits that targets state in their answers, and the pace at which calls keep to them.
//!
//! See [overload](../../docs/design/overload.md#rate-limits-that-targets-state).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Moment;

/// Lowest rate that is kept, in calls a second. At a rate of zero, no call would ever learn that
/// the limit has ended.
const TRIAL_RATE: f64 = 0.1;
/// Time for which unused calls of a limit may be made up for; smooths random arrivals.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Longest time for which a call waits because of a limit. Another target usually has room sooner.
const QUEUE_TIME: Duration = Duration::from_millis(250);
/// Time constant of the average rate of arrivals.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Number of calls a second; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

/// Error of a number that is negative or not finite.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{0} is not a rate")]
pub struct RateError(f64);

impl TryFrom<f64> for Rate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self, RateError> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(RateError(per_second))
        }
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}

/// Rate limit that one lifetime of a target states in its answers, as a node knows it.
///
/// Answers overtake each other. A stricter limit counts at once; a looser one, or an answer without
/// a limit, counts only if its request was sent after the last stricter statement arrived.
#[derive(Debug, Clone, Copy, Default)]
pub struct StatedLimit {
    rate: Option<Rate>,
    /// When an answer last stated `rate`, or when `rate` was adopted.
    stated_at: Moment,
    /// Whether the target has answered this node.
    answered: bool,
}

impl StatedLimit {
    /// Records an answer to a request sent at `sent`, with the limit that it states, if any.
    pub fn record_answer(&mut self, now: Moment, sent: Moment, stated: Option<Rate>) {
        self.answered = true;
        let looser = match (self.rate, stated) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(known), Some(stated)) => stated > known,
        };
        if !looser || sent > self.stated_at {
            self.rate = stated;
            self.stated_at = now;
        }
    }

    /// Adopts a limit that the target stated to another node. It counts until the target answers
    /// this node; of several, the strictest counts.
    pub fn adopt(&mut self, now: Moment, rate: Rate) {
        if !self.answered && self.rate.is_none_or(|known| rate < known) {
            self.rate = Some(rate);
            self.stated_at = now;
        }
    }

    /// Limit that is in effect.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }
}

/// Token bucket that keeps the calls to a target within a rate.
///
/// Starts empty: the limit may have been known to other nodes that used it up.
#[derive(Debug)]
pub(crate) struct Pacer {
    per_second: f64,
    /// Number of calls that may start now; at most [`Self::burst`].
    tokens: f64,
    refilled_at: Moment,
    /// Number of arrivals, which decays with the time constant [`DEMAND_TIME`]; divided by it, their
    /// average rate.
    demand: f64,
}

impl Pacer {
    pub(crate) fn new(now: Moment, rate: Rate) -> Self {
        Self { per_second: rate.0.max(TRIAL_RATE), tokens: 0.0, refilled_at: now, demand: 0.0 }
    }

    /// Changes the rate; tokens beyond the burst of the new rate are lost.
    pub(crate) fn set_rate(&mut self, now: Moment, rate: Rate) {
        self.refill(now);
        self.per_second = rate.0.max(TRIAL_RATE);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Adds the tokens for the time since the last call.
    pub(crate) fn refill(&mut self, now: Moment) {
        let secs = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + secs * self.per_second).min(self.burst());
        self.demand *= (-secs / DEMAND_TIME.as_secs_f64()).exp();
    }

    /// Counts a call that arrives, whether or not it starts.
    pub(crate) fn record_arrival(&mut self) {
        self.demand += 1.0;
    }

    /// Whether a call may start, as of the last refill.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Counts a call that starts.
    pub(crate) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Rate of arrivals as a multiple of the limit, as of the last refill.
    pub(crate) fn load(&self) -> f64 {
        self.demand / DEMAND_TIME.as_secs_f64() / self.per_second
    }

    /// Number of calls that start within [`QUEUE_TIME`].
    pub(crate) fn queue_limit(&self) -> usize {
        (self.per_second * QUEUE_TIME.as_secs_f64()) as usize
    }

    /// Time until the call at `position` in the queue starts, the first being 1.
    pub(crate) fn wait(&self, position: u32) -> Duration {
        let secs = (f64::from(position) - self.tokens).max(0.0) / self.per_second;
        Duration::from_secs_f64(secs)
    }

    fn burst(&self) -> f64 {
        (self.per_second * BURST_TIME.as_secs_f64()).max(1.0)
    }
}
