//! Level of a service that requests reach through other services.
//!
//! The pattern that this answers: a deep service is short of room, and what overloads it are calls
//! of requests that entered elsewhere. Turning the calls away wastes the work already done for
//! their requests, so the calls run, and the level that goes back with each answer tells the
//! entries which requests not to begin. The node beside the target knows neither the requests nor
//! their cost; it moves the level until the load that
//! is offered fits. See
//! [overload](../../docs/design/overload.md).

use std::time::Duration;

use crate::admission::{Level, Rank};
use crate::ids::Importance;
use crate::limit::ImportanceScale;
use crate::time::Moment;

/// Offered load at which the target should be held, in parts of its limit: full, with a short
/// queue at times.
const GOAL: f64 = 0.97;
/// Steps of importance per second by which the level moves for each limit's worth of error. A
/// change shows after the time that a request takes down the chain, some hundred milliseconds, and
/// one step is about half of the load; a larger gain oscillates.
const GAIN: f64 = 1.6;
/// Largest error that counts; what lies beyond it is a burst or a target that has just started.
const ERROR_MAX: f64 = 0.7;
/// Error that a full queue adds, so that it empties although the load fits again.
const BACKLOG: f64 = 0.15;
/// Time over which arrivals are counted.
const WINDOW: Duration = Duration::from_millis(50);
/// Weight of a window in the smoothed rate.
const RATE_WEIGHT: f64 = 0.35;
/// Weight of a run in the smoothed latency.
const RUN_WEIGHT: f64 = 0.02;
/// Part of the most important requests that passes at any level.
const SPARED: f64 = 0.1;
/// Lots in one importance.
const LOTS: f64 = 65_536.0;

/// Calls at the target at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Calls that run.
    pub running: usize,
    /// Calls that wait.
    pub queued: usize,
    /// Calls that may run.
    pub limit: u32,
}

/// Level of one target, moved by the load that is offered to it.
///
/// The length of the queue alone would not do: it fills or empties within some ten milliseconds,
/// much sooner than a change of the level shows, and the level would swing from end to end.
#[derive(Debug)]
pub struct Surge {
    scale: Vec<Importance>,
    /// Steps of importance that are refused; the fraction refuses part of the next.
    refused: f64,
    /// Calls that arrived in this window, refused ones included.
    arrivals: u32,
    /// Smoothed arrivals per second.
    rate: f64,
    /// Smoothed run time, in seconds.
    latency: f64,
    /// Offered load, in limits.
    load: f64,
    opened: Moment,
}

impl Surge {
    /// Level that refuses nothing.
    pub fn new(now: Moment, scale: &ImportanceScale) -> Self {
        Self {
            scale: scale.iter().collect(),
            refused: 0.0,
            arrivals: 0,
            rate: 0.0,
            latency: 0.0,
            load: 0.0,
            opened: now,
        }
    }

    /// Takes over the importances of a new revision.
    pub fn revise(&mut self, scale: &ImportanceScale) {
        self.scale = scale.iter().collect();
        self.refused = self.refused.min(self.most());
    }

    /// Counts a call that asks to be run, whatever becomes of it.
    pub fn arrived(&mut self) {
        self.arrivals += 1;
    }

    /// Takes in the time that a run took.
    pub fn finished(&mut self, latency: Duration) {
        let weight = if self.latency > 0.0 { RUN_WEIGHT } else { 1.0 };
        self.latency += weight * (latency.as_secs_f64() - self.latency);
    }

    /// Lets the level follow the load once a window is over.
    pub fn observe(&mut self, now: Moment, calls: Occupancy) {
        let span = now.since(self.opened);
        if span < WINDOW {
            return;
        }
        self.opened = now;
        let span = span.min(Duration::from_secs(1)).as_secs_f64();
        let rate = f64::from(std::mem::take(&mut self.arrivals)) / span;
        self.rate += RATE_WEIGHT * (rate - self.rate);
        let limit = f64::from(calls.limit.max(1));
        let backlog = BACKLOG * (calls.queued as f64 / limit).min(1.0);
        self.load = self.rate * self.latency / limit;
        if calls.queued > 0 {
            // A target that finishes nothing has no latency to tell of it.
            self.load = self.load.max(1.0);
        }
        let error = (self.load + backlog - GOAL).clamp(-ERROR_MAX, ERROR_MAX);
        self.refused = (self.refused + GAIN * error * span).clamp(0.0, self.most());
    }

    /// Level that goes back with answers.
    pub fn level(&self) -> Level {
        let step = self.refused.floor();
        let Some(importance) = self.scale.get(step as usize) else { return Level::OPEN };
        let lot = (LOTS * (self.refused - step)).min(LOTS - 1.0) as u16;
        if step == 0.0 && lot == 0 {
            return Level::OPEN;
        }
        Level::at(Rank::at(*importance, lot))
    }

    /// Offered load, in limits of the target.
    pub fn load(&self) -> f64 {
        self.load
    }

    fn most(&self) -> f64 {
        (self.scale.len() as f64 - SPARED).max(0.0)
    }
}
