//! Level of a service that requests reach through other services.
//!
//! The pattern that this answers: a deep service is short of room, and what overloads it are calls
//! of requests that entered elsewhere. Turning the calls away wastes the work already done for
//! their requests, so the calls run, and the level that goes back with each answer tells the
//! entries which requests not to begin.
//!
//! Calls arrive some hundred milliseconds after the entries decided. What is counted is therefore
//! not the calls but the requests that each [`ImportanceMix`] stands for: an entry that let in every second
//! request sends calls that count twice. The sum tells what is asked for whatever the level was at
//! the time, so the level can be set at once to where that meets the capacity, and its own delay
//! cannot make it swing. See [overload](../../docs/design/overload.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::{Level, Rank};
use crate::ids::{Importance, Name};
use crate::limit::ImportanceScale;
use crate::mix::ImportanceMix;
use crate::time::Moment;

/// Load at which the target should be held, in parts of its limit: nearly full, with a short queue
/// at times.
const LOAD_GOAL: f64 = 0.97;
/// Load that one limit's worth of waiting calls takes off the goal, so that a queue which formed
/// empties. It counts by the square: a short queue comes and goes much faster than a change of the
/// level shows, a long one means that begun requests wait for each of their calls, which hides how
/// many of them there are.
const BACKLOG_WEIGHT: f64 = 0.04;
/// Limits' worth of waiting calls beyond which nothing more is taken off.
const BACKLOG_MAX: f64 = 4.0;
/// Smallest goal; whatever waits, what fits goes on being let in.
const GOAL_MIN: f64 = 0.2;
/// Time over which arrivals are counted.
const WINDOW: Duration = Duration::from_millis(50);
/// Time over which the load of an importance is averaged: several calls of each request, and less
/// than callers wait.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Time for which calls may still arrive of requests that entries decided on before a change of
/// the level.
const LEVEL_DELAY: Duration = Duration::from_millis(600);
/// Part of an importance that must have passed for what arrives to tell the whole.
const PASS_MIN: f64 = 0.05;
/// Time in which the remembered load of a hidden importance halves, so that it is tried again.
const HIDDEN_HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of a run in the smoothed latency of its route, once it has this inverse number of runs.
const RUN_WEIGHT: f64 = 0.02;
/// Largest number of routes whose latency is kept.
const ROUTES_MAX: usize = 4_096;
/// Part of the room that each importance leaves to those below it when all ask for more than there
/// is; see [overload](../../docs/design/overload.md).
const RESERVED_FRACTION: f64 = 0.45;
/// Part of the most important requests that passes at any level.
const TOP_PASS_MIN: f64 = 0.1;
/// Weight of an answer in the smoothed part that the target turns away or fails.
const FAILURE_WEIGHT: f64 = 0.02;
/// Lots in one importance.
const TIEBREAKS: f64 = 65_536.0;

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

/// How a target treated a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// It ran the call and gave its answer.
    Served,
    /// It failed the call, gave no sound answer, or turned the call away.
    Failed,
}

/// Load that requests of one importance ask for.
#[derive(Debug, Clone, Copy)]
struct ImportanceLoad {
    importance: Importance,
    /// Slot seconds asked for in this window.
    work: f64,
    /// Smoothed load in limits, as if nothing were refused.
    load: f64,
    /// When the level last hid nearly all of this importance.
    last_hidden: Option<Moment>,
}

impl ImportanceLoad {
    fn new(importance: Importance) -> Self {
        Self { importance, work: 0.0, load: 0.0, last_hidden: None }
    }

    /// Takes in the load of a window.
    fn update(&mut self, now: Moment, span: Duration, load: f64) {
        let secs = span.as_secs_f64();
        let hidden = self.last_hidden.is_some_and(|at| now.since(at) < LEVEL_DELAY);
        if hidden && load < self.load {
            self.load *= 0.5_f64.powf(secs / HIDDEN_HALF_LIFE.as_secs_f64());
            return;
        }
        self.load += secs / (secs + LOAD_TIME.as_secs_f64()) * (load - self.load);
    }
}

/// Smoothed run time.
#[derive(Debug, Clone, Copy, Default)]
struct MeanRunTime {
    secs: f64,
    runs: f64,
}

impl MeanRunTime {
    fn observe(&mut self, latency: Duration) {
        self.runs += 1.0;
        self.secs += (latency.as_secs_f64() - self.secs) * (1.0 / self.runs).max(RUN_WEIGHT);
    }
}

/// Level of one target, set to where the load that is asked for fits.
#[derive(Debug)]
pub struct LoadController {
    /// Rising importance.
    classes: Vec<ImportanceLoad>,
    routes: HashMap<Name, MeanRunTime>,
    /// Run time over all routes.
    overall: MeanRunTime,
    level: Level,
    window_start: Moment,
    /// When a run last ended.
    last_finished: Moment,
    /// Smoothed part of the calls that the target fails or turns away.
    failure_rate: f64,
}

impl LoadController {
    /// Level that refuses nothing.
    pub fn new(now: Moment, scale: &ImportanceScale) -> Self {
        Self {
            classes: scale.iter().map(ImportanceLoad::new).collect(),
            routes: HashMap::new(),
            overall: MeanRunTime::default(),
            level: Level::OPEN,
            window_start: now,
            last_finished: now,
            failure_rate: 0.0,
        }
    }

    /// Takes over the importances of a new revision.
    pub fn revise(&mut self, scale: &ImportanceScale) {
        let known = std::mem::take(&mut self.classes);
        for importance in scale.iter() {
            let same = known.iter().find(|class| class.importance == importance);
            self.classes.push(same.copied().unwrap_or(ImportanceLoad::new(importance)));
        }
    }

    /// Counts a call of `route` that asks to be run, whatever becomes of it.
    pub fn record_arrival(&mut self, route: &Name, mix: &ImportanceMix) {
        let known = self.routes.get(route).copied().unwrap_or(self.overall);
        for (importance, requests) in mix.parts() {
            let above = self.classes.partition_point(|class| class.importance <= importance);
            if let Some(class) = above.checked_sub(1).and_then(|idx| self.classes.get_mut(idx)) {
                class.work += requests * known.secs;
            }
        }
    }

    /// Takes in the time that a run of `route` took.
    pub fn record_run(&mut self, now: Moment, route: &Name, latency: Duration) {
        self.last_finished = now;
        self.overall.observe(latency);
        if let Some(known) = self.routes.get_mut(route) {
            known.observe(latency);
        } else if self.routes.len() < ROUTES_MAX {
            self.routes.entry(route.clone()).or_default().observe(latency);
        }
    }

    /// Takes in how the target treated a call that it was handed.
    pub fn record_result(&mut self, treatment: CallResult) {
        let failed = f64::from(u8::from(treatment == CallResult::Failed));
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate);
    }

    /// Smoothed part of the calls that the target fails or turns away.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Sets the level to the load once a window is over.
    pub fn observe(&mut self, now: Moment, calls: Occupancy) {
        let span = now.since(self.window_start);
        if span < WINDOW {
            return;
        }
        self.window_start = now;
        let limit = f64::from(calls.limit.max(1));
        let stall_factor = self.stall_factor(now, calls);
        for class in &mut self.classes {
            let work = std::mem::take(&mut class.work);
            class.update(now, span, work * stall_factor / span.as_secs_f64() / limit);
        }
        self.level = self.fitting_level(load_goal(calls));
        for class in &mut self.classes {
            if self.level.pass_fraction(class.importance) < PASS_MIN {
                class.last_hidden = Some(now);
            }
        }
    }

    /// Level that goes back with answers.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Factor by which runs take longer than the smoothed latency tells, when a target that is
    /// full ends none of them.
    fn stall_factor(&self, now: Moment, calls: Occupancy) -> f64 {
        let full = calls.running >= calls.limit as usize && calls.queued > 0;
        if !full || self.overall.secs <= 0.0 {
            return 1.0;
        }
        (now.since(self.last_finished).as_secs_f64() / self.overall.secs).max(1.0)
    }

    /// Level at which what is asked for fits into `room`.
    ///
    /// Each importance takes what it asks for, but for the part that is [`RESERVED_FRACTION`] for those below it,
    /// and none passes a larger part than a more important one. So the more important is refused
    /// last, and a lasting shortage starves nobody.
    fn fitting_level(&self, mut room: f64) -> Level {
        let mut offered: f64 = self.classes.iter().map(|class| class.load).sum();
        let mut level = Level::OPEN;
        let mut above = 1.0;
        for (idx, class) in self.classes.iter().enumerate().rev() {
            let part = |room: f64, load: f64| room / load.max(f64::MIN_POSITIVE);
            let equal_share = part(room, offered);
            let priority_share = part((1.0 - RESERVED_FRACTION) * room, class.load);
            let least = if idx + 1 == self.classes.len() { TOP_PASS_MIN } else { 0.0 };
            let passed = equal_share.max(priority_share).clamp(least, above);
            if level > Level::OPEN {
                level = level.with_spared(class.importance, passed);
            } else if passed < 1.0 {
                let lot = (TIEBREAKS * (1.0 - passed)).min(TIEBREAKS - 1.0) as u16;
                level = Level::at(Rank::at(class.importance, lot));
            }
            room = (room - passed * class.load).max(0.0);
            offered = (offered - class.load).max(0.0);
            above = passed;
        }
        level
    }
}

/// Load to let in.
fn load_goal(calls: Occupancy) -> f64 {
    let waiting = calls.queued as f64 / f64::from(calls.limit.max(1));
    (LOAD_GOAL - BACKLOG_WEIGHT * waiting.min(BACKLOG_MAX).powi(2)).max(GOAL_MIN)
}
