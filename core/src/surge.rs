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
use crate::mix::Mix;
use crate::time::Moment;

/// Offered load at which the target should be held, in parts of its limit: full, with a short
/// queue at times.
const GOAL: f64 = 0.97;
/// Load that is refused or let in per second, as a part of the error. A change shows after the time
/// that a request takes down the chain, some hundred milliseconds; a larger gain oscillates.
const GAIN: f64 = 1.0;
/// Largest error that counts; what lies beyond it is a burst or a target that has just started.
const ERROR_MAX: f64 = 1.0;
/// Time over which the level is averaged to tell how much of an importance passed it.
const LEVEL_TIME: Duration = Duration::from_millis(300);
/// Smallest part of an importance that must pass for its whole load to be told from it.
const VISIBLE_MIN: f64 = 0.2;
/// Weight of a window in the load of an importance.
const CLASS_WEIGHT: f64 = 0.1;
/// Smallest load that an importance is taken to cause, so that the level passes idle ones quickly.
const CLASS_MIN: f64 = 0.02;
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

/// Load that requests of one importance cause.
#[derive(Debug, Clone, Copy)]
struct Class {
    importance: Importance,
    /// Calls that arrived in this window.
    arrivals: f64,
    /// Load in limits if none of them were refused.
    whole: f64,
}

impl Class {
    fn new(importance: Importance) -> Self {
        Self { importance, arrivals: 0.0, whole: 0.0 }
    }
}

/// Level of one target, moved by the load that is offered to it.
///
/// The length of the queue alone would not do: it fills or empties within some ten milliseconds,
/// much sooner than a change of the level shows, and the level would swing from end to end.
///
/// It moves in units of load: an importance that causes little of it is passed quickly, one that
/// causes much slowly.
#[derive(Debug)]
pub struct Surge {
    /// Rising importance.
    classes: Vec<Class>,
    /// Steps of importance that are refused; the fraction refuses part of the next.
    refused: f64,
    /// The same, averaged over the time that a change takes to show.
    averaged: f64,
    /// Calls that arrived in this window, refused ones included.
    arrivals: u32,
    /// Smoothed arrivals per second.
    rate: f64,
    /// Smoothed run time, in seconds.
    latency: f64,
    opened: Moment,
}

impl Surge {
    /// Level that refuses nothing.
    pub fn new(now: Moment, scale: &ImportanceScale) -> Self {
        Self {
            classes: scale.iter().map(Class::new).collect(),
            refused: 0.0,
            averaged: 0.0,
            arrivals: 0,
            rate: 0.0,
            latency: 0.0,
            opened: now,
        }
    }

    /// Takes over the importances of a new revision.
    pub fn revise(&mut self, scale: &ImportanceScale) {
        let known = std::mem::take(&mut self.classes);
        for importance in scale.iter() {
            let same = known.iter().find(|class| class.importance == importance);
            self.classes.push(same.copied().unwrap_or(Class::new(importance)));
        }
        self.refused = self.refused.min(self.most());
    }

    /// Counts a call that asks to be run, whatever becomes of it.
    pub fn arrived(&mut self, mix: &Mix) {
        self.arrivals += 1;
        for (importance, part) in mix.parts() {
            let above = self.classes.partition_point(|class| class.importance <= importance);
            if let Some(class) = above.checked_sub(1).and_then(|idx| self.classes.get_mut(idx)) {
                class.arrivals += part;
            }
        }
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
        let mut load = self.rate * self.latency / limit;
        if calls.queued > 0 {
            // A target that finishes nothing has no latency to tell of it.
            load = load.max(1.0);
        }
        let error = (load + backlog - GOAL).clamp(-ERROR_MAX, ERROR_MAX);
        self.learn(span, limit);
        self.step(GAIN * error * span);
        let weight = span / (span + LEVEL_TIME.as_secs_f64());
        self.averaged += weight * (self.refused - self.averaged);
    }

    /// Tells the load of each importance from the part of it that the level let through.
    fn learn(&mut self, span: f64, limit: f64) {
        for (idx, class) in self.classes.iter_mut().enumerate() {
            let rate = std::mem::take(&mut class.arrivals) / span;
            let visible = 1.0 - (self.averaged - idx as f64).clamp(0.0, 1.0);
            if visible >= VISIBLE_MIN {
                let whole = rate * self.latency / limit / visible;
                class.whole += CLASS_WEIGHT * (whole - class.whole);
            }
        }
    }

    /// Moves the level so that `load` more of the offered load is refused, or less if negative.
    fn step(&mut self, load: f64) {
        let mut rest = load;
        while rest > 0.0 && self.refused < self.most() {
            let idx = self.refused.floor();
            let whole = self.whole(idx);
            let left = (idx + 1.0 - self.refused) * whole;
            if rest < left {
                self.refused += rest / whole;
                break;
            }
            rest -= left;
            self.refused = idx + 1.0;
        }
        while rest < 0.0 && self.refused > 0.0 {
            let idx = self.refused.ceil() - 1.0;
            let whole = self.whole(idx);
            let left = (self.refused - idx) * whole;
            if -rest < left {
                self.refused += rest / whole;
                break;
            }
            rest += left;
            self.refused = idx;
        }
        self.refused = self.refused.clamp(0.0, self.most());
    }

    fn whole(&self, idx: f64) -> f64 {
        self.classes.get(idx as usize).map_or(CLASS_MIN, |class| class.whole.max(CLASS_MIN))
    }

    /// Level that goes back with answers.
    pub fn level(&self) -> Level {
        let step = self.refused.floor();
        let Some(class) = self.classes.get(step as usize) else { return Level::OPEN };
        let lot = (LOTS * (self.refused - step)).min(LOTS - 1.0) as u16;
        if step == 0.0 && lot == 0 {
            return Level::OPEN;
        }
        Level::at(Rank::at(class.importance, lot))
    }

    fn most(&self) -> f64 {
        (self.classes.len() as f64 - SPARED).max(0.0)
    }
}
