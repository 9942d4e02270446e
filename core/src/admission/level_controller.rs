//! Level of one target: the rank down to which demand fits what the target completes.
//!
//! Once per window the demand per importance is estimated from the calls that the level lets
//! through, and the level moves to where demand and capacity meet. Lots are uniform, so the
//! visible part of an importance tells the rate of the whole.

use std::time::Duration;

use crate::ids::Importance;
use crate::limit::ImportanceScale;
use crate::time::Moment;

use super::adaptive_mean::AdaptiveMean;
use super::level::{Level, Rank};

/// Length of one window.
const WINDOW: Duration = Duration::from_millis(20);
/// Windows for which calls may still arrive that were let through under an earlier level.
const DELAY_WINDOWS: usize = 8;
/// Time for which the importance of a past level still bars lesser calls from the queue.
const FLOOR_TIME: Duration = Duration::from_millis(1_000);
/// Part of the queue places that should be taken under pressure.
const QUEUE_GOAL: f64 = 0.3;
/// Time in which the queue should come back to its goal.
const QUEUE_TIME: Duration = Duration::from_millis(300);
/// Largest part of the capacity by which the state of the queue moves the goal.
const QUEUE_CORRECTION_MAX: f64 = 0.1;
/// Smallest part of an importance from which its rate is estimated.
const PASS_MIN: f64 = 0.02;
/// Part of the rate of hidden demand that one window with every slot idle takes off.
const IDLE_CUT: f64 = 0.4;
/// Lots in one importance.
const TIEBREAKS: f64 = 65_536.0;

/// State of the target at the end of a window.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) limit: u32,
    pub(crate) queued: usize,
    pub(crate) queue_limit: u32,
}

/// Demand at one importance.
#[derive(Debug)]
struct Demand {
    importance: Importance,
    /// Calls of the window whose rank no recent level hid.
    count: u32,
    rate: AdaptiveMean,
}

/// Least importance that may wait, and until when.
#[derive(Debug, Default)]
struct Floor {
    importance: Importance,
    until: Moment,
}

/// Level with the estimates that it follows from.
///
/// Memory is bounded by the 256 importances and the fixed number of windows.
#[derive(Debug)]
pub(crate) struct LevelController {
    level: Level,
    window_start: Moment,
    /// Levels of the last windows, oldest first.
    recent: [Level; DELAY_WINDOWS],
    floor: Floor,
    /// Rising importance.
    demands: Vec<Demand>,
    latency: AdaptiveMean,
    finished: u32,
    /// Sum of the latencies of the window, in seconds.
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

    /// Keeps the estimates of the importances that remain.
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

    /// Mean latency of the target, once anything has finished.
    pub(crate) fn latency(&self) -> Option<Duration> {
        self.latency.value().map(Duration::from_secs_f64)
    }

    /// Closes the window if it is over.
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

    /// Least importance that may wait here.
    ///
    /// While callers may refuse some calls of an importance for this target, no lesser call keeps
    /// a place that one of them could have had.
    pub(crate) fn floor(&self) -> Importance {
        self.floor.importance
    }

    /// Highest level that callers may still have applied to the calls that arrive now.
    fn highest_recent(&self) -> Level {
        self.recent.iter().copied().max().unwrap_or_default()
    }

    fn estimate(&mut self, span: Duration, load: Load) {
        let highest_recent = self.highest_recent();
        let busy = (load.running + load.queued) as f64 / f64::from(load.limit.max(1));
        let idle = (1.0 - busy).max(0.0);
        for demand in &mut self.demands {
            let visible = highest_recent.pass_fraction(demand.importance);
            let count = f64::from(std::mem::take(&mut demand.count));
            if visible >= PASS_MIN {
                let rate = count / span.as_secs_f64() / visible;
                demand.rate.observe(
                    span.mul_f64(visible),
                    rate,
                    (count + 1.0).sqrt() / (count + 1.0),
                );
            }
            if visible < 1.0 {
                demand.rate.scale(1.0 - IDLE_CUT * idle);
            }
        }
        let finished = f64::from(std::mem::take(&mut self.finished));
        let latency_sum = std::mem::take(&mut self.latency_sum);
        if finished > 0.0 {
            self.latency.observe(span, latency_sum / finished, 1.0 / finished.sqrt());
        }
    }

    /// Calls per second that should arrive: what the target completes, and a little more or less
    /// to bring the queue to its goal. None before anything has finished.
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

    /// Level down to which the demand fits the rate.
    fn fitting_level(&self, rate: f64) -> Level {
        let mut left = rate;
        for demand in self.demands.iter().rev() {
            let asked = demand.rate.value().unwrap_or(0.0);
            if asked > left {
                let lot = TIEBREAKS * (1.0 - left / asked);
                return Level::at(Rank::at(demand.importance, lot.min(TIEBREAKS - 1.0) as u16));
            }
            left -= asked;
        }
        Level::OPEN
    }
}
