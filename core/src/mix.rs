//! Distribution by importance of the requests that a call may belong to.
//!
//! A call that a target makes belongs to one of the requests that the target runs, but may not
//! identify it. Over many calls, the distribution of the running requests by importance is enough
//! for a service further down the chain to determine how much of its load each importance causes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Importance;

/// Smallest weight that is sent on; smaller ones are noise and would only enlarge messages.
const WEIGHT_MIN: f32 = 0.02;
/// Maximum number of requests that one call represents; more would be estimated from too small a
/// sample.
const REQUESTS_MAX: f64 = 20.0;

/// Number of requests that one call represents, by importance.
///
/// The weights add up to one if every request was admitted. If an entry node admits only every
/// second request, a call represents two, so that the service at the end of a chain measures the
/// offered load rather than the admitted load, however late the call arrives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ImportanceMix(Vec<(Importance, f32)>);

impl ImportanceMix {
    /// Mix of a call that belongs to one request of this importance.
    pub fn of(importance: Importance) -> Self {
        Self(vec![(importance, 1.0)])
    }

    /// Mix of a call that belongs to a request of this importance, of which the fraction `passed`
    /// was admitted. The call represents the inverse of `passed`, at most 20 requests.
    pub fn sampled(importance: Importance, passed: f64) -> Self {
        let requests = 1.0 / passed.clamp(1.0 / REQUESTS_MAX, 1.0);
        Self(vec![(importance, requests as f32)])
    }

    /// Number of requests represented of each importance.
    pub fn weights(&self) -> impl Iterator<Item = (Importance, f64)> + '_ {
        self.0.iter().map(|(importance, weight)| (*importance, f64::from(*weight)))
    }
}

/// Sum of the mixes of the calls that one target runs.
#[derive(Debug, Default)]
pub struct ImportanceMixSum {
    sums: BTreeMap<Importance, f32>,
    calls: usize,
}

impl ImportanceMixSum {
    /// Adds a call that starts to run.
    pub fn begin(&mut self, mix: &ImportanceMix) {
        self.calls += 1;
        for (importance, weight) in &mix.0 {
            *self.sums.entry(*importance).or_default() += weight;
        }
    }

    /// Removes a call that has ended.
    pub fn end(&mut self, mix: &ImportanceMix) {
        self.calls = self.calls.saturating_sub(1);
        for (importance, weight) in &mix.0 {
            if let Some(sum) = self.sums.get_mut(importance) {
                *sum = (*sum - weight).max(0.0);
            }
        }
        if self.calls == 0 {
            // Only rounding errors remain.
            self.sums.clear();
        }
    }

    /// Mix of a call that is made by an unknown one of the running calls; `None` if no call runs or
    /// no weight is large enough to send.
    pub fn mean_mix(&self) -> Option<ImportanceMix> {
        if self.calls == 0 {
            return None;
        }
        let calls = self.calls as f32;
        let weights = self.sums.iter().map(|(importance, sum)| (*importance, sum / calls));
        let kept: Vec<_> = weights.filter(|(_, weight)| *weight >= WEIGHT_MIN).collect();
        (!kept.is_empty()).then_some(ImportanceMix(kept))
    }
}
