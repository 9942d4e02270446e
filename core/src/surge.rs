//! Level of a service that requests reach through other services.
//!
//! The pattern that this answers: a deep service is short of room, and what overloads it are calls
//! of requests that entered elsewhere. Turning the calls away wastes the work already done for
//! their requests, so the calls run, and the level that goes back with each answer tells the
//! entries which requests not to begin. The node beside the target knows neither the requests nor
//! their cost; it moves the level until the target is as full as it should be. See
//! [overload](../../docs/design/overload.md).

use std::time::Duration;

use crate::admission::{Level, Rank};
use crate::ids::Importance;
use crate::limit::ImportanceScale;
use crate::time::Moment;

/// Part of the limit at which the target should be held: full, with next to no queue.
const GOAL: f64 = 0.95;
/// Steps of importance per second by which the level moves for each limit's worth of error.
const GAIN: f64 = 1.6;
/// Largest error that counts, in limits; a long queue is no reason to refuse everybody.
const ERROR_MAX: f64 = 0.6;
/// Steps of importance that each limit's worth of queue adds at once.
const PUSH: f64 = 0.7;
/// Time over which the load is smoothed; a few runs.
const SMOOTH_TIME: Duration = Duration::from_millis(60);
/// Part of the most important requests that passes at any level.
const SPARED: f64 = 0.1;
/// Lots in one importance.
const LOTS: f64 = 65_536.0;

/// Level of one target, moved by how full it is.
#[derive(Debug)]
pub struct Surge {
    scale: Vec<Importance>,
    /// Steps of importance that are refused; the fraction refuses part of the next.
    refused: f64,
    /// Smoothed load, in limits.
    load: f64,
    last: Moment,
}

impl Surge {
    /// Level that refuses nothing.
    pub fn new(now: Moment, scale: &ImportanceScale) -> Self {
        Self { scale: scale.iter().collect(), refused: 0.0, load: 0.0, last: now }
    }

    /// Takes over the importances of a new revision.
    pub fn revise(&mut self, scale: &ImportanceScale) {
        self.scale = scale.iter().collect();
        self.refused = self.refused.min(self.most());
    }

    /// Takes in that `busy` calls run or wait where `limit` may run; due at each change of either.
    pub fn observe(&mut self, now: Moment, busy: usize, limit: u32) {
        let span = now.since(self.last).min(Duration::from_secs(1)).as_secs_f64();
        self.last = now;
        let load = busy as f64 / f64::from(limit.max(1));
        let weight = span / (span + SMOOTH_TIME.as_secs_f64());
        self.load += weight * (load - self.load);
        let error = (self.load - GOAL).clamp(-ERROR_MAX, ERROR_MAX);
        self.refused = (self.refused + GAIN * error * span).clamp(0.0, self.most());
    }

    /// Level that goes back with answers.
    pub fn level(&self) -> Level {
        let queue = (self.load - 1.0).clamp(0.0, 1.0);
        let refused = (self.refused + PUSH * queue).min(self.most());
        let step = refused.floor();
        let Some(importance) = self.scale.get(step as usize) else { return Level::OPEN };
        let lot = (LOTS * (refused - step)).min(LOTS - 1.0) as u16;
        if step == 0.0 && lot == 0 {
            return Level::OPEN;
        }
        Level::at(Rank::at(*importance, lot))
    }

    /// Smoothed load, in limits of the target.
    pub fn load(&self) -> f64 {
        self.load
    }

    fn most(&self) -> f64 {
        (self.scale.len() as f64 - SPARED).max(0.0)
    }
}
