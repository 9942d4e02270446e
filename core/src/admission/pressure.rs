//! Level of one target, moved once per window by what the window showed.

use std::time::Duration;

use crate::limit::ImportanceScale;
use crate::time::Moment;

use super::level::{Level, Rank};

/// Length of one window.
const WINDOW: Duration = Duration::from_millis(20);
/// Largest number of ranks remembered per window; bounds the memory.
const SEEN_MAX: usize = 1_024;
/// Queue fill, in percent, from which the level rises.
const HIGH_PERCENT: usize = 60;
/// Queue fill, in percent, below which the level falls.
const LOW_PERCENT: usize = 25;
/// Largest part of the passing calls, in percent, that one window cuts off.
const CUT_MAX_PERCENT: usize = 50;
/// Smallest part of the passing calls, in percent, that a rise cuts off.
const CUT_MIN_PERCENT: usize = 2;

/// Level with the counts of the window that runs.
#[derive(Debug)]
pub(crate) struct Pressure {
    scale: ImportanceScale,
    level: Level,
    opened: Moment,
    /// Ranks that arrived in the window and passed the level.
    seen: Vec<Rank>,
    finished: usize,
    /// Whether a call that the level passes had to be refused.
    overflowed: bool,
}

impl Pressure {
    pub(crate) fn new(now: Moment, scale: ImportanceScale) -> Self {
        let level = Level::OPEN;
        Self { scale, level, opened: now, seen: Vec::new(), finished: 0, overflowed: false }
    }

    pub(crate) fn revise(&mut self, scale: ImportanceScale) {
        self.scale = scale;
    }

    pub(crate) fn level(&self) -> Level {
        self.level
    }

    pub(crate) fn arrived(&mut self, rank: Rank) {
        if self.level.admits(rank) && self.seen.len() < SEEN_MAX {
            self.seen.push(rank);
        }
    }

    pub(crate) fn finished(&mut self) {
        self.finished += 1;
    }

    pub(crate) fn refused(&mut self, rank: Rank) {
        self.overflowed |= self.level.admits(rank);
    }

    /// Closes the window if it is over.
    pub(crate) fn advance(&mut self, now: Moment, saturated: bool, queued: usize, places: usize) {
        let span = now.since(self.opened);
        if span < WINDOW {
            return;
        }
        let percent = queued * 100 / places.max(1);
        if saturated && (self.overflowed || percent >= HIGH_PERCENT) {
            self.raise();
        } else if !saturated || percent < LOW_PERCENT {
            self.level = self.level.fallen(span, &self.scale);
        }
        self.seen.clear();
        self.finished = 0;
        self.overflowed = false;
        self.opened = now;
    }

    /// Raises the level so far that the calls seen above it match those that finished.
    fn raise(&mut self) {
        self.seen.sort_unstable();
        let seen = self.seen.len();
        let surplus = seen.saturating_sub(self.finished);
        let cut = surplus.clamp(seen * CUT_MIN_PERCENT / 100, seen * CUT_MAX_PERCENT / 100);
        if let Some(rank) = self.seen.get(cut) {
            self.level = self.level.max(Level::at(*rank));
        }
    }
}
