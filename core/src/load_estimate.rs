//! What a node knows of the load of a target from the answers to its own calls.
//!
//! A report is as old as the node's last answer from the target, from a few milliseconds to some
//! seconds. The older it is, the less it says, so the estimate moves from the report to the mean
//! load of the service. Over seconds, a weight is learnt by which calls are drawn: targets that are
//! more loaded than the mean get fewer. See [choice](../../docs/design/choice.md).

use std::time::Duration;

use crate::time::Moment;

/// Time constant with which the estimate moves from the last report to the mean of the service.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// Time after which a report is not used at all.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(10);
/// Time constant of a target's smoothed load, by which its weight is learnt.
const MEAN_TIME: Duration = Duration::from_secs(1);
/// Minimum weight of a report in the smoothed load.
const MEAN_WEIGHT_MIN: f64 = 0.02;
/// Speed of learning, per second: at twice the mean load, a weight halves in two seconds. Faster
/// learning would follow stalls of some 100 ms and overshoot at their end.
const LEARN_RATE: f64 = 0.5;
/// Largest deviation from the mean load that counts for one step of learning, as a factor.
const RATIO_MAX: f64 = 2.0;
/// Load added to both sides of a comparison of loads: near zero, ratios are mostly noise.
const RATIO_OFFSET: f64 = 0.05;
/// Bounds of a weight: one target may be several times faster than another, and a target with a low
/// weight must still get calls, since its reports come only with their answers.
const WEIGHT_BOUNDS: (f64, f64) = (0.2, 5.0);
/// Longest time since the previous report that counts in learning.
const GAP_MAX: Duration = Duration::from_secs(1);

/// Last report of a target's load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadReport {
    /// Running and waiting calls of all nodes, as a fraction of the target's limit.
    pub(crate) load: f64,
    pub(crate) at: Moment,
    /// Own calls in flight at the time; later calls are not included in the load.
    pub(crate) in_flight: u32,
}

/// Load of one target, as far as a node knows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadEstimate {
    report: Option<LoadReport>,
    /// Smoothed reports.
    mean: f64,
    weight: f64,
}

impl Default for LoadEstimate {
    fn default() -> Self {
        Self { report: None, mean: 0.0, weight: 1.0 }
    }
}

impl LoadEstimate {
    /// Records a report; returns the time since the previous one, for [`Self::learn`].
    pub(crate) fn record(&mut self, now: Moment, load: f64, in_flight: u32) -> Duration {
        let gap = self.report.map_or(GAP_MAX, |last| now.since(last.at).min(GAP_MAX));
        let share = 1.0 - (-gap.as_secs_f64() / MEAN_TIME.as_secs_f64()).exp();
        self.mean = match self.report {
            Some(_) => self.mean + share.max(MEAN_WEIGHT_MIN) * (load - self.mean),
            None => load,
        };
        self.report = Some(LoadReport { load, at: now, in_flight });
        gap
    }

    /// Adjusts the weight after a report that came `gap` after the previous one; `others` is the
    /// mean load of the targets that the same calls may choose.
    pub(crate) fn learn(&mut self, gap: Duration, others: f64) {
        let ratio = (others + RATIO_OFFSET) / (self.mean + RATIO_OFFSET);
        let step = ratio.clamp(1.0 / RATIO_MAX, RATIO_MAX).powf(LEARN_RATE * gap.as_secs_f64());
        self.weight = (self.weight * step).clamp(WEIGHT_BOUNDS.0, WEIGHT_BOUNDS.1);
    }

    /// Last report, if it is not older than `lifetime`.
    pub(crate) fn report(&self, now: Moment, lifetime: Duration) -> Option<LoadReport> {
        self.report.filter(|report| now.since(report.at) < lifetime)
    }

    /// Smoothed load; `None` if nothing has been reported lately.
    pub(crate) fn mean(&self, now: Moment) -> Option<f64> {
        self.report(now, ESTIMATE_LIFETIME).map(|_| self.mean)
    }

    /// Age of the last report; `None` before the first.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.report.map(|report| now.since(report.at))
    }

    /// Own calls in flight at the last report.
    pub(crate) fn reported_in_flight(&self) -> u32 {
        self.report.map_or(0, |report| report.in_flight)
    }

    /// Weight with which the target is drawn.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Estimated load without calls sent since the last report, at a target of a service whose mean
    /// load is `service`; `None` if nothing has been reported lately.
    pub(crate) fn expected(&self, now: Moment, service: f64) -> Option<f64> {
        let report = self.report(now, ESTIMATE_LIFETIME)?;
        let age = now.since(report.at).as_secs_f64() / REPORT_TIME.as_secs_f64();
        Some(service + (report.load - service) * (-age).exp())
    }
}

/// Rate of a node's calls to a service, and the number of targets whose reports they keep fresh.
#[derive(Debug, Default)]
pub(crate) struct CallRate {
    last: Option<Moment>,
    /// Smoothed calls per second; `None` before the second call.
    rate: Option<f64>,
}

/// Time constant of the rate.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Age of reports to aim for: each target of the group is called once in this time on average.
const AGE_GOAL: Duration = Duration::from_millis(50);
/// Minimum number of targets in a group; with fewer, one that stalls is hard to avoid.
const GROUP_MIN: usize = 4;
/// Rate assumed at first: high, so that all targets are used until the rate is known.
const RATE_START: f64 = 200.0;

impl CallRate {
    /// Records a call.
    pub(crate) fn record(&mut self, now: Moment) {
        if let Some(last) = self.last {
            // Calls within the same microsecond count as one apart.
            let gap = now.since(last).as_secs_f64().max(1e-6);
            let share = 1.0 - (-gap / RATE_TIME.as_secs_f64()).exp();
            let rate = self.rate.unwrap_or(RATE_START);
            self.rate = Some(rate + share * (1.0 / gap - rate));
        }
        self.last = Some(now);
    }

    /// Number of targets among which the node chooses, so that it calls each often enough.
    pub(crate) fn group_size(&self) -> usize {
        let rate = self.rate.unwrap_or(RATE_START);
        GROUP_MIN.max((rate * AGE_GOAL.as_secs_f64()).round() as usize)
    }
}
