//! Admission level of a service that requests reach through other services.
//!
//! Such a service may be overloaded by calls of requests that entered at other services. Refusing
//! the calls would waste the work already done for their requests. The calls therefore run, and the
//! level that is sent with each answer tells the entry nodes which requests to refuse.
//!
//! Calls arrive some hundred milliseconds after the entry nodes admitted their requests. The
//! controller therefore counts not calls but the requests that each [`ImportanceMix`] represents:
//! an entry node that admits every second request sends calls that count twice. The sum is the
//! offered load, independent of the level at the time, so the level can be set directly to where
//! the offered load meets the capacity, without oscillating because of the delay. See
//! [overload](../../docs/design/overload.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::{Level, Rank};
use crate::ids::{Importance, Name};
use crate::limit::ImportanceScale;
use crate::mix::ImportanceMix;
use crate::rate_limit::Rate;
use crate::time::Moment;

/// Load to admit without a queue, as a fraction of the concurrency limit: the target is nearly full
/// and has a short queue at times.
const LOAD_GOAL: f64 = 0.97;
/// Reduction of the goal, as a fraction of the limit, when as many calls wait as the limit, so that
/// the queue drains. The reduction grows with the square of the queue length. A short queue forms
/// and drains much faster than a change of the level takes effect. A long queue means that admitted
/// requests wait for each of their calls, which hides how many requests there are.
const BACKLOG_WEIGHT: f64 = 0.04;
/// Queue length, in multiples of the limit, beyond which the goal is not reduced further.
const BACKLOG_MAX: f64 = 4.0;
/// Minimum goal, so that some requests are admitted whatever the queue length.
const GOAL_MIN: f64 = 0.2;
/// Number of calls over which the load relative to a rate limit is averaged: one call at a target
/// that takes one in some seconds is no overload.
const PACE_CALLS: f64 = 10.0;
/// Maximum time constant of that average.
const PACE_TIME_MAX: Duration = Duration::from_secs(3);
/// Load beyond which no more is counted; keeps the averages finite at a rate limit of zero.
const LOAD_MAX: f64 = 1e6;
/// Interval at which arrivals are evaluated and the level is set.
const WINDOW: Duration = Duration::from_millis(50);
/// Time constant of the average load of an importance: long enough to cover several calls of each
/// request, and shorter than callers wait.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Time after a change of the level for which calls may still arrive of requests that entry nodes
/// decided on before it.
const LEVEL_DELAY: Duration = Duration::from_millis(600);
/// Minimum admitted fraction of an importance for its load to be estimated from its arrivals.
const PASS_MIN: f64 = 0.05;
/// Half-life of the estimated load of an importance that is almost entirely refused, so that it is
/// eventually admitted again.
const REFUSED_HALF_LIFE: Duration = Duration::from_secs(3);
/// Minimum weight of a run in the average run time of its route. Until as many runs as its inverse
/// have been recorded, the average is the plain mean.
const RUN_WEIGHT: f64 = 0.02;
/// Maximum number of routes whose run time is kept.
const ROUTES_MAX: usize = 4_096;
/// Fraction of the remaining capacity that each importance leaves to those below it when the
/// offered load exceeds the capacity; see [overload](../../docs/design/overload.md).
const RESERVED_FRACTION: f64 = 0.45;
/// Minimum admitted fraction of the most important requests.
const TOP_PASS_MIN: f64 = 0.1;
/// Weight of a call in the smoothed failure rate.
const FAILURE_WEIGHT: f64 = 0.02;
/// Number of tie-breaker values within one importance.
const TIEBREAKS: f64 = 65_536.0;

/// Calls at one target at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Number of running calls.
    pub running: usize,
    /// Number of queued calls.
    pub queued: usize,
    /// Number of calls that may run at once.
    pub limit: u32,
}

/// Whether a target served a call that was sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The target ran the call and answered it successfully.
    Served,
    /// The target answered with a failure, gave no valid answer, or refused the call.
    Failed,
}

/// Offered load of one importance.
#[derive(Debug, Clone, Copy)]
struct ImportanceLoad {
    importance: Importance,
    /// Run time that the requests of this window need, in slot seconds.
    work: f64,
    /// Number of calls that the requests of this window need.
    calls: f64,
    /// Smoothed load as a multiple of the limit, as if no request were refused.
    slot_load: f64,
    /// The same as a multiple of the rate limit; zero without one.
    pace_load: f64,
    /// When the level last admitted less than [`PASS_MIN`] of this importance.
    last_refused: Option<Moment>,
}

impl ImportanceLoad {
    fn new(importance: Importance) -> Self {
        Self {
            importance,
            work: 0.0,
            calls: 0.0,
            slot_load: 0.0,
            pace_load: 0.0,
            last_refused: None,
        }
    }

    /// Smoothed load, by the scarcer of slots and calls.
    fn load(&self) -> f64 {
        self.slot_load.max(self.pace_load)
    }

    /// Updates the smoothed loads with those of a window of length `span`.
    fn update(&mut self, now: Moment, span: Duration, slot_load: f64, pace: Option<Pace>) {
        self.slot_load = self.smoothed(now, span, self.slot_load, slot_load, LOAD_TIME);
        self.pace_load =
            pace.map_or(0.0, |pace| self.smoothed(now, span, self.pace_load, pace.load, pace.time));
    }

    /// Average after a window of length `span` with the load `sample`, with time constant `time`.
    fn smoothed(&self, now: Moment, span: Duration, mean: f64, sample: f64, time: Duration) -> f64 {
        let secs = span.as_secs_f64();
        let mostly_refused = self.last_refused.is_some_and(|at| now.since(at) < LEVEL_DELAY);
        if mostly_refused && sample < mean {
            return mean * 0.5_f64.powf(secs / REFUSED_HALF_LIFE.as_secs_f64());
        }
        mean + secs / (secs + time.as_secs_f64()) * (sample - mean)
    }
}

/// Calls of one importance in a window, relative to the rate limit.
#[derive(Debug, Clone, Copy)]
struct Pace {
    /// Calls as a multiple of those that the limit allows.
    load: f64,
    /// Time constant of its average.
    time: Duration,
}

impl Pace {
    fn new(rate: Rate, span: Duration, calls: f64) -> Self {
        let per_second = f64::from(rate);
        let time = Duration::try_from_secs_f64(PACE_CALLS / per_second).unwrap_or(PACE_TIME_MAX);
        Self {
            load: (calls / (per_second * span.as_secs_f64())).min(LOAD_MAX),
            time: time.clamp(LOAD_TIME, PACE_TIME_MAX),
        }
    }
}

/// Average run time, in seconds, and the number of runs.
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

/// Computes the admission level of one target from the load that its callers' requests offer.
#[derive(Debug)]
pub struct LoadController {
    /// By rising importance.
    classes: Vec<ImportanceLoad>,
    routes: HashMap<Name, MeanRunTime>,
    /// Run time over all routes; also used for routes without runs.
    overall: MeanRunTime,
    level: Level,
    window_start: Moment,
    /// When a run last finished.
    last_finished: Moment,
    /// Smoothed fraction of the calls that failed or that the target refused.
    failure_rate: f64,
    /// Rate limit that the target states.
    rate: Option<Rate>,
}

impl LoadController {
    /// Controller with an open level, for a contract with the importances of `scale`.
    pub fn new(now: Moment, scale: &ImportanceScale) -> Self {
        Self {
            classes: scale.iter().map(ImportanceLoad::new).collect(),
            routes: HashMap::new(),
            overall: MeanRunTime::default(),
            level: Level::OPEN,
            window_start: now,
            last_finished: now,
            failure_rate: 0.0,
            rate: None,
        }
    }

    /// Sets the rate limit that the target states; none if it states none.
    pub fn set_rate(&mut self, rate: Option<Rate>) {
        self.rate = rate;
    }

    /// Replaces the importances by those of a new revision, keeping the loads of those that remain.
    pub fn revise(&mut self, scale: &ImportanceScale) {
        let known = std::mem::take(&mut self.classes);
        for importance in scale.iter() {
            let same = known.iter().find(|class| class.importance == importance);
            self.classes.push(same.copied().unwrap_or(ImportanceLoad::new(importance)));
        }
    }

    /// Records the arrival of a call of `route`, whether it is then run or refused.
    pub fn record_arrival(&mut self, route: &Name, mix: &ImportanceMix) {
        let known = self.routes.get(route).copied().unwrap_or(self.overall);
        for (importance, requests) in mix.weights() {
            let above = self.classes.partition_point(|class| class.importance <= importance);
            if let Some(class) = above.checked_sub(1).and_then(|idx| self.classes.get_mut(idx)) {
                class.work += requests * known.secs;
                class.calls += requests;
            }
        }
    }

    /// Records the run time of a run of `route` that finished.
    pub fn record_run(&mut self, now: Moment, route: &Name, latency: Duration) {
        self.last_finished = now;
        self.overall.observe(latency);
        if let Some(known) = self.routes.get_mut(route) {
            known.observe(latency);
        } else if self.routes.len() < ROUTES_MAX {
            self.routes.entry(route.clone()).or_default().observe(latency);
        }
    }

    /// Records the result of a call that was sent to the target.
    pub fn record_result(&mut self, result: CallResult) {
        let failed = f64::from(u8::from(result == CallResult::Failed));
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate);
    }

    /// Smoothed fraction, 0 to 1, of the calls that failed or that the target refused.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Updates the loads and the level if the window is over.
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
            let slot_load = work * stall_factor / span.as_secs_f64() / limit;
            let calls = std::mem::take(&mut class.calls);
            let pace = self.rate.map(|rate| Pace::new(rate, span, calls));
            class.update(now, span, slot_load, pace);
        }
        self.level = self.fitting_level(load_goal(calls));
        for class in &mut self.classes {
            if self.level.pass_fraction(class.importance) < PASS_MIN {
                class.last_refused = Some(now);
            }
        }
    }

    /// Current level, to be sent with answers.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Factor by which runs currently take longer than their average: above 1 if the target is full
    /// and no run has finished for longer than the average run time.
    fn stall_factor(&self, now: Moment, calls: Occupancy) -> f64 {
        let full = calls.running >= calls.limit as usize && calls.queued > 0;
        if !full || self.overall.secs <= 0.0 {
            return 1.0;
        }
        (now.since(self.last_finished).as_secs_f64() / self.overall.secs).max(1.0)
    }

    /// Level at which the admitted load fits into `capacity`, a multiple of the limit.
    ///
    /// From the most important down, each importance is admitted up to its load, but leaves
    /// [`RESERVED_FRACTION`] of the remaining capacity to those below it unless an equal share of
    /// all is more. No importance is admitted at a higher fraction than a more important one. More
    /// important requests are thus refused last, and a lasting overload starves no importance.
    fn fitting_level(&self, mut capacity: f64) -> Level {
        let mut offered: f64 = self.classes.iter().map(ImportanceLoad::load).sum();
        let mut level = Level::OPEN;
        let mut above = 1.0;
        for (idx, class) in self.classes.iter().enumerate().rev() {
            let fraction = |capacity: f64, load: f64| capacity / load.max(f64::MIN_POSITIVE);
            let equal_share = fraction(capacity, offered);
            let priority_share = fraction((1.0 - RESERVED_FRACTION) * capacity, class.load());
            let least = if idx + 1 == self.classes.len() { TOP_PASS_MIN } else { 0.0 };
            let passed = equal_share.max(priority_share).clamp(least, above);
            if level > Level::OPEN {
                level = level.with_spared(class.importance, passed);
            } else if passed < 1.0 {
                let tiebreak = (TIEBREAKS * (1.0 - passed)).min(TIEBREAKS - 1.0) as u16;
                level = Level::at(Rank::at(class.importance, tiebreak));
            }
            capacity = (capacity - passed * class.load()).max(0.0);
            offered = (offered - class.load()).max(0.0);
            above = passed;
        }
        level
    }
}

/// Load to admit, as a multiple of the limit, given the queue length.
fn load_goal(calls: Occupancy) -> f64 {
    let waiting = calls.queued as f64 / f64::from(calls.limit.max(1));
    (LOAD_GOAL - BACKLOG_WEIGHT * waiting.min(BACKLOG_MAX).powi(2)).max(GOAL_MIN)
}
