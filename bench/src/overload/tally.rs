//! What one run counts, and the figures that follow from it.

use std::time::Duration;

use poplar_core::Moment;

use super::deployment::{ClassIdx, Deployment};
use super::world::Shape;

/// Length of the windows in which recovery is judged.
const WINDOW_MS: u64 = 200;
/// Distance between two such windows.
const STEP_MS: u64 = 20;
/// Start of the run that is not counted as calm, because every target is cold.
const WARM_UP: Duration = Duration::from_secs(2);
/// Part of the calm goodput at which service counts as recovered.
const RECOVERED: f64 = 0.99;

/// Requests offered and completed whole.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    offered: u32,
    whole: u32,
}

/// Counts of one run; a request counts at the time at which its caller first sent it.
#[derive(Debug)]
pub(crate) struct Tally {
    shape: Shape,
    calm: Count,
    pressed: Vec<Count>,
    /// All classes together, per step of time.
    steps: Vec<Count>,
    used: u64,
    wasted: u64,
    pub(crate) resends: u32,
    pub(crate) violations: u64,
    pub(crate) with_room: u64,
}

/// Figures of one run.
#[derive(Debug)]
pub(crate) struct Figures {
    pub(crate) offered: Vec<f64>,
    pub(crate) whole: Vec<f64>,
    pub(crate) best: Vec<f64>,
    pub(crate) goodput_share: f64,
    /// The same over the classes alone whose calls reach the slow service.
    pub(crate) deep_share: f64,
    pub(crate) wasted_share: f64,
    pub(crate) recovery_s: f64,
}

impl Tally {
    pub(crate) fn new(classes: usize, shape: Shape) -> Self {
        let steps = (3 * shape.phase.as_millis() as u64 / STEP_MS) as usize + 1;
        Self {
            shape,
            calm: Count::default(),
            pressed: vec![Count::default(); classes],
            steps: vec![Count::default(); steps],
            used: 0,
            wasted: 0,
            resends: 0,
            violations: 0,
            with_room: 0,
        }
    }

    fn counts(&mut self, born: Moment, class: ClassIdx, add: impl Fn(&mut Count)) {
        if let Some(step) = self.steps.get_mut((born.as_micros() / 1_000 / STEP_MS) as usize) {
            add(step);
        }
        if self.shape.is_surging(born) {
            add(&mut self.pressed[class.0]);
        } else if born < self.shape.starts() && born.since(Moment::default()) >= WARM_UP {
            add(&mut self.calm);
        }
    }

    pub(crate) fn offered(&mut self, born: Moment, class: ClassIdx) {
        self.counts(born, class, |count| count.offered += 1);
    }

    pub(crate) fn completed(&mut self, born: Moment, class: ClassIdx) {
        self.counts(born, class, |count| count.whole += 1);
    }

    pub(crate) fn used(&mut self, born: Moment, micros: u64) {
        if self.shape.is_surging(born) {
            self.used += micros;
        }
    }

    pub(crate) fn wasted(&mut self, born: Moment, micros: u64) {
        if self.shape.is_surging(born) {
            self.wasted += micros;
        }
    }

    pub(crate) fn resent(&mut self, extra: u32) {
        self.resends = self.resends.max(extra);
    }

    /// A call was refused although a slot was free or, if `yields`, a less important call waited.
    pub(crate) fn refused_with_room(&mut self, yields: bool) {
        if yields {
            self.violations += 1;
        } else {
            self.with_room += 1;
        }
    }

    pub(crate) fn figures(&self, deployment: &Deployment) -> Figures {
        let secs = self.shape.phase.as_secs_f64();
        let rate = |count: u32| f64::from(count) / secs;
        let offered: Vec<_> = self.pressed.iter().map(|count| rate(count.offered)).collect();
        let whole: Vec<_> = self.pressed.iter().map(|count| rate(count.whole)).collect();
        let best = deployment.best(&offered, self.shape.slowdown);
        let share = |chosen: &dyn Fn(ClassIdx) -> bool| {
            let chosen: Vec<_> = deployment.class_indices().filter(|idx| chosen(*idx)).collect();
            let reached: f64 = chosen.iter().map(|idx| whole[idx.0].min(best[idx.0])).sum();
            reached / chosen.iter().map(|idx| best[idx.0]).sum::<f64>()
        };
        Figures {
            goodput_share: share(&|_| true),
            deep_share: share(&|idx| deployment.is_deep(idx)),
            wasted_share: self.wasted as f64 / (self.used + self.wasted).max(1) as f64,
            recovery_s: self.recovery().as_secs_f64(),
            offered,
            whole,
            best,
        }
    }

    /// Time from the end of the pressure until every later window completes the calm part of its
    /// requests again; the whole last phase if that never happens.
    fn recovery(&self) -> Duration {
        let calm = f64::from(self.calm.whole) / f64::from(self.calm.offered.max(1));
        let from = (self.shape.ends().as_micros() / 1_000 / STEP_MS) as usize;
        let width = (WINDOW_MS / STEP_MS) as usize;
        // The deadline of the last requests lies beyond the run, so its last quarter is left out.
        let judged = (self.shape.phase.as_millis() as u64 * 3 / 4 / STEP_MS) as usize;
        let mut windows = self.steps.get(from..from + judged).unwrap_or_default().windows(width);
        let failing = windows.rposition(|window| {
            let offered: u32 = window.iter().map(|step| step.offered).sum();
            let whole: u32 = window.iter().map(|step| step.whole).sum();
            f64::from(whole) < RECOVERED * calm * f64::from(offered)
        });
        let steps = failing.map_or(0, |idx| idx as u64 + 1);
        if steps as usize + width > judged {
            return self.shape.phase;
        }
        Duration::from_millis(steps * STEP_MS)
    }
}
