//! Computes the admission level of one target: the lowest rank at which the demand still fits the
//! rate at which the target completes calls.
//!
//! Once per window the demand of each importance is estimated from the calls that the level admits,
//! and the level is set to where demand and capacity are equal. Tie-breakers are uniformly
//! distributed, so the admitted fraction of an importance gives the rate of the whole.

use std::time::Duration;

use crate::ids::Importance;
use crate::limit::ImportanceScale;
use crate::time::Moment;

use super::adaptive_mean::AdaptiveMean;
use super::level::{Level, Rank};

/// Interval at which the demand is estimated and the level is set.
const WINDOW: Duration = Duration::from_millis(20);
/// Number of windows for which calls may still arrive that were admitted under an earlier level.
const DELAY_WINDOWS: usize = 8;
/// Time for which less important calls may not wait after the level was at an importance.
const FLOOR_TIME: Duration = Duration::from_millis(1_000);
/// Fraction of the queue that should be occupied under overload.
const QUEUE_GOAL: f64 = 0.3;
/// Time in which the queue should return to its goal.
const QUEUE_TIME: Duration = Duration::from_millis(300);
/// Largest fraction of the capacity by which the queue length changes the admitted rate.
const QUEUE_CORRECTION_MAX: f64 = 0.1;
/// Smallest admitted fraction of an importance from which its rate is estimated.
const PASS_MIN: f64 = 0.02;
/// Fraction by which a window with every slot idle lowers the estimated rate of an importance that
/// is refused in part or whole.
const IDLE_CUT: f64 = 0.4;
/// Number of tie-breaker values within one importance.
const TIEBREAKS: f64 = 65_536.0;

/// State of the target at the end of a window.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) limit: u32,
    pub(crate) queued: usize,
    pub(crate) queue_limit: u32,
}

/// Estimated demand of one importance.
#[derive(Debug)]
struct Demand {
    importance: Importance,
    /// Calls of this window that every recent level admits.
    count: u32,
    /// Calls per second, including those that callers refuse.
    rate: AdaptiveMean,
}

/// Lowest importance whose calls may wait, and until when it cannot be lowered.
#[derive(Debug, Default)]
struct Floor {
    importance: Importance,
    until: Moment,
}

/// Level of one target and the estimates from which it is computed.
///
/// Memory is bounded by the 256 importances and the fixed number of windows.
#[derive(Debug)]
pub(crate) struct LevelController {
    level: Level,
    window_start: Moment,
    /// Levels of the last [`DELAY_WINDOWS`] windows, oldest first.
    recent: [Level; DELAY_WINDOWS],
    floor: Floor,
    /// By rising importance.
    demands: Vec<Demand>,
    latency: AdaptiveMean,
    finished: u32,
    /// Sum of the latencies of the runs that finished in this window, in seconds.
    latency_sum: f64,
}

impl LevelController {
    pub(crate) fn new(now: Moment, scale: ImportanceScale) -> Self {
        let mut controller = Self {
            level: Level::OPEN,
            window_start: now,
            recent: [Level::OPEN; DELAY_WINDOWS],
            floor: Floor::default(),
            demands: Vec::new(),
            latency: AdaptiveMean::default(),
            finished: 0,
            latency_sum: 0.0,
        };
        controller.revise(scale);
        controller
    }

    /// Replaces the importances, keeping the estimates of those that remain.
    pub(crate) fn revise(&mut self, scale: ImportanceScale) {
        let mut known = std::mem::take(&mut self.demands);
        for importance in scale.iter() {
            let idx = known.iter().position(|demand| demand.importance == importance);
            let fresh = || Demand { importance, count: 0, rate: AdaptiveMean::default() };
            self.demands.push(idx.map_or_else(fresh, |idx| known.swap_remove(idx)));
        }
    }

    pub(crate) fn level(&self) -> Level {
        self.level
    }

    pub(crate) fn record_arrival(&mut self, rank: Rank) {
        if !self.highest_recent().admits(rank) {
            return;
        }
        let above = self.demands.partition_point(|demand| demand.importance <= rank.importance());
        if let Some(demand) = above.checked_sub(1).and_then(|idx| self.demands.get_mut(idx)) {
            demand.count += 1;
        }
    }

    pub(crate) fn record_run(&mut self, latency: Duration) {
        self.finished += 1;
        self.latency_sum += latency.as_secs_f64();
    }

    /// Mean latency of the target, or `None` before the first run has finished.
    pub(crate) fn latency(&self) -> Option<Duration> {
        self.latency.value().map(Duration::from_secs_f64)
    }

    /// Updates the estimates and the level if the window is over.
    pub(crate) fn advance(&mut self, now: Moment, load: Load) {
        let span = now.since(self.window_start);
        if span < WINDOW {
            return;
        }
        self.window_start = now;
        self.estimate(span, load);
        self.level = self.goal_rate(load).map_or(Level::OPEN, |rate| self.fitting_level(rate));
        let importance = self.level.importance();
        if importance >= self.floor.importance || now >= self.floor.until {
            self.floor = Floor { importance, until: now + FLOOR_TIME };
        }
        self.recent.rotate_left(1);
        self.recent[DELAY_WINDOWS - 1] = self.level;
    }

    /// Lowest importance whose calls may wait.
    ///
    /// While callers may refuse calls of an importance because of this target's level, no less
    /// important call keeps a queue place that one of them could have used.
    pub(crate) fn floor(&self) -> Importance {
        self.floor.importance
    }

    /// Highest level that callers may have applied to the calls that arrive now.
    fn highest_recent(&self) -> Level {
        self.recent.iter().copied().max().unwrap_or_default()
    }

    fn estimate(&mut self, span: Duration, load: Load) {
        let highest_recent = self.highest_recent();
        let busy = (load.running + load.queued) as f64 / f64::from(load.limit.max(1));
        let idle = (1.0 - busy).max(0.0);
        for demand in &mut self.demands {
            let admitted = highest_recent.pass_fraction(demand.importance);
            let count = f64::from(std::mem::take(&mut demand.count));
            if admitted >= PASS_MIN {
                let rate = count / span.as_secs_f64() / admitted;
                demand.rate.observe(
                    span.mul_f64(admitted),
                    rate,
                    (count + 1.0).sqrt() / (count + 1.0),
                );
            }
            if admitted < 1.0 {
                demand.rate.scale(1.0 - IDLE_CUT * idle);
            }
        }
        let finished = f64::from(std::mem::take(&mut self.finished));
        let latency_sum = std::mem::take(&mut self.latency_sum);
        if finished > 0.0 {
            self.latency.observe(span, latency_sum / finished, 1.0 / finished.sqrt());
        }
    }

    /// Calls per second to admit: the rate that the target completes, corrected to bring the queue
    /// to its goal. `None` before the first run has finished.
    fn goal_rate(&self, load: Load) -> Option<f64> {
        let latency = self.latency.value().filter(|latency| *latency > 0.0)?;
        let capacity = f64::from(load.limit) / latency;
        let surplus = QUEUE_GOAL * f64::from(load.queue_limit) - load.queued as f64;
        let change = surplus / QUEUE_TIME.as_secs_f64();
        Some(
            capacity
                + change.clamp(-QUEUE_CORRECTION_MAX * capacity, QUEUE_CORRECTION_MAX * capacity),
        )
    }

    /// Lowest level at which the admitted demand does not exceed `rate`, in calls per second.
    fn fitting_level(&self, rate: f64) -> Level {
        let mut remaining = rate;
        for demand in self.demands.iter().rev() {
            let demanded = demand.rate.value().unwrap_or(0.0);
            if demanded > remaining {
                let tiebreak = TIEBREAKS * (1.0 - remaining / demanded);
                return Level::at(Rank::at(
                    demand.importance,
                    tiebreak.min(TIEBREAKS - 1.0) as u16,
                ));
            }
            remaining -= demanded;
        }
        Level::OPEN
    }
}
