//! Counts of one run and the figures computed from them.

use std::time::Duration;

use poplar_core::Moment;

use super::deployment::{ClassIdx, Deployment};
use super::simulation::LoadShape;

/// Length of the windows over which recovery is assessed, in milliseconds.
const WINDOW_MS: u64 = 200;
/// Distance between the starts of two such windows, in milliseconds.
const STEP_MS: u64 = 20;
/// Time at the start of the run that isn't counted as calm, because every target is cold.
const WARM_UP: Duration = Duration::from_secs(2);
/// Fraction of the calm success rate from which a window counts as recovered.
const RECOVERY_THRESHOLD: f64 = 0.99;

/// Number of requests sent by callers, and of those that succeeded before their deadline.
#[derive(Debug, Clone, Copy, Default)]
struct RequestCount {
    offered: u32,
    succeeded: u32,
}

/// Counts of one run. A request is counted at the time when its caller first sent it.
#[derive(Debug)]
pub(crate) struct RunStats {
    shape: LoadShape,
    /// Requests of the first phase after [`WARM_UP`], all classes together.
    calm: RequestCount,
    /// Requests of the surge, by class.
    surging: Vec<RequestCount>,
    /// All requests, all classes together, by steps of [`STEP_MS`].
    steps: Vec<RequestCount>,
    /// Slot time spent for requests of the surge that succeeded, in microseconds.
    used: u64,
    /// Slot time spent without use for requests of the surge, in microseconds.
    wasted: u64,
    /// Most additional sends that one request caused over its whole chain.
    pub(crate) max_resends: u32,
    /// Refusals of a call while a less important one was queued.
    pub(crate) violations: u64,
    /// Refusals of a call while every service that it reaches had a free slot.
    pub(crate) refused_with_room: u64,
}

/// Figures of one run.
#[derive(Debug)]
pub(crate) struct Figures {
    /// Requests per second sent in the surge, by class.
    pub(crate) offered: Vec<f64>,
    /// Requests per second of the surge that succeeded, by class.
    pub(crate) succeeded: Vec<f64>,
    /// Result of [`Deployment::best_rates`] for the offered rates.
    pub(crate) best: Vec<f64>,
    /// Goodput of the surge as a fraction of the best.
    pub(crate) goodput_share: f64,
    /// The same fraction for only the classes whose calls reach the slow service.
    pub(crate) slow_service_share: f64,
    /// Wasted slot time as a fraction of all slot time.
    pub(crate) wasted_share: f64,
    pub(crate) recovery_s: f64,
}

impl RunStats {
    pub(crate) fn new(classes: usize, shape: LoadShape) -> Self {
        let steps = (3 * shape.phase.as_millis() as u64 / STEP_MS) as usize + 1;
        Self {
            shape,
            calm: RequestCount::default(),
            surging: vec![RequestCount::default(); classes],
            steps: vec![RequestCount::default(); steps],
            used: 0,
            wasted: 0,
            max_resends: 0,
            violations: 0,
            refused_with_room: 0,
        }
    }

    fn record(&mut self, created: Moment, class: ClassIdx, add: impl Fn(&mut RequestCount)) {
        if let Some(step) = self.steps.get_mut((created.as_micros() / 1_000 / STEP_MS) as usize) {
            add(step);
        }
        if self.shape.is_surging(created) {
            add(&mut self.surging[class.0]);
        } else if created < self.shape.surge_start() && created.since(Moment::default()) >= WARM_UP
        {
            add(&mut self.calm);
        }
    }

    pub(crate) fn record_offered(&mut self, created: Moment, class: ClassIdx) {
        self.record(created, class, |count| count.offered += 1);
    }

    pub(crate) fn record_succeeded(&mut self, created: Moment, class: ClassIdx) {
        self.record(created, class, |count| count.succeeded += 1);
    }

    pub(crate) fn add_used(&mut self, created: Moment, micros: u64) {
        if self.shape.is_surging(created) {
            self.used += micros;
        }
    }

    pub(crate) fn add_wasted(&mut self, created: Moment, micros: u64) {
        if self.shape.is_surging(created) {
            self.wasted += micros;
        }
    }

    pub(crate) fn record_resends(&mut self, extra_sends: u32) {
        self.max_resends = self.max_resends.max(extra_sends);
    }

    /// Counts a call that was refused although it had room: a less important call was queued if
    /// `could_evict`, or else slots were free.
    pub(crate) fn record_refusal_with_room(&mut self, could_evict: bool) {
        if could_evict {
            self.violations += 1;
        } else {
            self.refused_with_room += 1;
        }
    }

    pub(crate) fn figures(&self, deployment: &Deployment) -> Figures {
        let secs = self.shape.phase.as_secs_f64();
        let rate = |count: u32| f64::from(count) / secs;
        let offered: Vec<_> = self.surging.iter().map(|count| rate(count.offered)).collect();
        let succeeded: Vec<_> = self.surging.iter().map(|count| rate(count.succeeded)).collect();
        let best = deployment.best_rates(&offered, self.shape.slowdown);
        let share = |chosen: &dyn Fn(ClassIdx) -> bool| {
            let chosen: Vec<_> = deployment.class_indices().filter(|idx| chosen(*idx)).collect();
            let reached: f64 = chosen.iter().map(|idx| succeeded[idx.0].min(best[idx.0])).sum();
            reached / chosen.iter().map(|idx| best[idx.0]).sum::<f64>()
        };
        Figures {
            goodput_share: share(&|_| true),
            slow_service_share: share(&|idx| deployment.uses_slow_service(idx)),
            wasted_share: self.wasted as f64 / (self.used + self.wasted).max(1) as f64,
            recovery_s: self.recovery().as_secs_f64(),
            offered,
            succeeded,
            best,
        }
    }

    /// Returns the time from the end of the surge until every later window reaches
    /// [`RECOVERY_THRESHOLD`] of the calm success rate again; the length of the last phase if that
    /// never happens.
    fn recovery(&self) -> Duration {
        let calm = f64::from(self.calm.succeeded) / f64::from(self.calm.offered.max(1));
        let from = (self.shape.surge_end().as_micros() / 1_000 / STEP_MS) as usize;
        let width = (WINDOW_MS / STEP_MS) as usize;
        // The last quarter is left out because deadlines of its requests lie beyond the end of the
        // run.
        let assessed = (self.shape.phase.as_millis() as u64 * 3 / 4 / STEP_MS) as usize;
        let mut windows = self.steps.get(from..from + assessed).unwrap_or_default().windows(width);
        let failing = windows.rposition(|window| {
            let offered: u32 = window.iter().map(|step| step.offered).sum();
            let succeeded: u32 = window.iter().map(|step| step.succeeded).sum();
            f64::from(succeeded) < RECOVERY_THRESHOLD * calm * f64::from(offered)
        });
        let steps = failing.map_or(0, |idx| idx as u64 + 1);
        if steps as usize + width > assessed {
            return self.shape.phase;
        }
        Duration::from_millis(steps * STEP_MS)
    }
}
