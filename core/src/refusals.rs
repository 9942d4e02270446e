//! Admission level of a service whose targets refuse calls whatever the load.
//!
//! A target that refuses a call has not run it, so the call can be repeated. The retry budget pays
//! for only a part of the repeats, and a request that needs several calls fails with the first one
//! that is not repeated, after work was done for it. The controller therefore computes a second
//! level, at which the budget carries the calls of all admitted requests to success. Entry nodes
//! apply it to requests that reach the service through calls. See
//! [overload](../../docs/design/overload.md).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::{Level, Rank};
use crate::ids::Importance;
use crate::mix::ImportanceMix;
use crate::time::Moment;

/// Weight of a call in the smoothed refused fraction, and its smallest weight in the recent one.
const WEIGHT: f64 = 0.02;
/// Largest weight of a call in the recent refused fraction.
const RECENT_WEIGHT_MAX: f64 = 0.1;
/// Time constant of the recent refused fraction, by which the end of the refusals is detected: few
/// calls arrive while most requests are refused.
const RECENT_TIME: Duration = Duration::from_millis(300);
/// Half-life of the refused fraction while no call is sent to the target.
const IDLE_HALF_LIFE: Duration = Duration::from_millis(500);
/// Refused fraction from which requests are refused. Below it, trees of four calls complete more
/// often if all are admitted and share the budget.
const ENTER_FRACTION: f64 = 0.25;
/// Refused fraction below which all requests are admitted again.
const LEAVE_FRACTION: f64 = 0.15;
/// Share of the retry budget that the admitted requests are expected to use. The rest pays for the
/// requests that were admitted before the level took effect.
const BUDGET_SHARE: f64 = 0.7;
/// Minimum admitted fraction of the most important requests, so that their calls show when the
/// target stops refusing.
const TRIAL_FRACTION: f64 = 0.05;
/// Interval at which the demand is evaluated and the level is set.
const WINDOW: Duration = Duration::from_millis(50);
/// Time constant of the demand before the target began to refuse; it covers several calls of the
/// rarest requests.
const USUAL_TIME: Duration = Duration::from_secs(4);
/// Time constant of the present demand.
const PRESENT_TIME: Duration = Duration::from_millis(500);
/// Minimum admitted fraction of an importance for its present demand to be measured.
const PASS_MIN: f64 = 0.05;
/// Number of tie-breaker values within one importance.
const TIEBREAKS: f64 = 65_536.0;

/// Demand of one importance, in calls per second.
#[derive(Debug, Clone, Copy, Default)]
struct ClassDemand {
    /// Calls of this window.
    calls: f64,
    /// Demand before the target began to refuse.
    usual: f64,
    /// Demand now.
    present: f64,
}

impl ClassDemand {
    fn rate(&self) -> f64 {
        self.usual.max(self.present)
    }
}

/// Computes the refusal level of one target from the calls that the target refuses.
#[derive(Debug)]
pub struct RefusalController {
    /// Repeats per call that the retry budget allows.
    ratio: f64,
    classes: BTreeMap<Importance, ClassDemand>,
    /// Smoothed fraction of the calls that the target refused.
    refused: f64,
    /// The same over a shorter time, so that it depends on fewer calls.
    recent: f64,
    /// When a call was last sent to the target.
    last_result: Moment,
    /// Number of calls of this window that were sent to the target.
    results: u32,
    /// Whether the target refuses so many calls that the level is raised.
    refusing: bool,
    level: Level,
    window_start: Moment,
    started: Moment,
}

impl RefusalController {
    /// Controller with an open level; `ratio` is the number of repeats per call that the retry
    /// budget allows.
    pub fn new(now: Moment, ratio: f64) -> Self {
        Self {
            ratio,
            classes: BTreeMap::new(),
            refused: 0.0,
            recent: 0.0,
            last_result: now,
            results: 0,
            refusing: false,
            level: Level::OPEN,
            window_start: now,
            started: now,
        }
    }

    /// Records whether the target refused a call that was sent to it. `mix` holds the requests that
    /// the call represents; none if the call is itself a request of a caller, to which the level
    /// does not apply.
    pub fn record(&mut self, now: Moment, refused: bool, mix: Option<&ImportanceMix>) {
        self.results += 1;
        let sample = f64::from(u8::from(refused));
        let gap = now.since(self.last_result).as_secs_f64();
        let weight = gap / (gap + RECENT_TIME.as_secs_f64());
        self.last_result = now;
        self.refused += WEIGHT * (sample - self.refused);
        self.recent += weight.clamp(WEIGHT, RECENT_WEIGHT_MAX) * (sample - self.recent);
        // A refused call is repeated, or its request fails: only served calls count as demand.
        for (importance, requests) in mix.into_iter().filter(|_| !refused).flat_map(|m| m.weights())
        {
            self.classes.entry(importance).or_default().calls += requests;
        }
        self.observe(now);
    }

    /// Current level, to be sent with answers.
    pub fn level(&mut self, now: Moment) -> Level {
        self.observe(now);
        self.level
    }

    /// Smoothed fraction, 0 to 1, of the calls that the target refused.
    pub fn refused_fraction(&self) -> f64 {
        self.refused
    }

    fn observe(&mut self, now: Moment) {
        let before = self.refusing;
        if before && self.recent < LEAVE_FRACTION {
            self.refusing = false;
            self.refused = self.recent;
        } else if !before && self.refused >= ENTER_FRACTION {
            self.refusing = true;
            self.recent = self.refused;
        }
        let span = now.since(self.window_start);
        if span < WINDOW && self.refusing == before {
            return;
        }
        let secs = span.as_secs_f64();
        if std::mem::take(&mut self.results) == 0 {
            let decay = 0.5_f64.powf(secs / IDLE_HALF_LIFE.as_secs_f64());
            self.refused *= decay;
            self.recent *= decay;
        }
        self.window_start = now;
        self.update_demand(now, secs);
        self.level = if self.refusing { self.fitting_level() } else { Level::OPEN };
    }

    /// Updates the demand with that of a window of `secs` seconds.
    fn update_demand(&mut self, now: Moment, secs: f64) {
        if secs <= 0.0 {
            return;
        }
        let age = now.since(self.started).min(USUAL_TIME).as_secs_f64();
        for (importance, class) in &mut self.classes {
            let sample = std::mem::take(&mut class.calls) / secs;
            let weight = |time: f64| secs / (secs + time);
            // While refused calls fail their requests, the usual demand cannot be measured.
            if !self.refusing && self.refused < LEAVE_FRACTION {
                class.usual += weight(age) * (sample - class.usual);
            }
            if self.level.pass_fraction(*importance) >= PASS_MIN {
                class.present += weight(PRESENT_TIME.as_secs_f64()) * (sample - class.present);
            }
        }
    }

    /// Level at which the retry budget carries the calls of the admitted requests to success.
    ///
    /// A call is refused `p / (1 - p)` times on average before it runs, and the budget pays for
    /// `ratio` repeats per call of the usual demand. The most important requests are admitted first.
    fn fitting_level(&self) -> Level {
        let usual: f64 = self.classes.values().map(|class| class.usual).sum();
        let repeats = self.refused / (1.0 - self.refused).max(f64::EPSILON);
        let mut capacity = self.ratio * BUDGET_SHARE * usual / repeats.max(f64::EPSILON);
        let mut least = TRIAL_FRACTION;
        for (importance, class) in self.classes.iter().rev() {
            let rate = class.rate();
            let passed = (capacity / rate.max(f64::EPSILON)).max(least);
            if passed < 1.0 {
                let tiebreak = (TIEBREAKS * (1.0 - passed)).min(TIEBREAKS - 1.0) as u16;
                return Level::at(Rank::at(*importance, tiebreak));
            }
            capacity = (capacity - rate).max(0.0);
            least = 0.0;
        }
        Level::OPEN
    }
}
