//! For which requests a call is made, as far as that can be told.
//!
//! A call of a target belongs to one of the requests that the target runs, and nothing says to
//! which. Over many calls it is enough to know how the running requests divide by importance: a
//! deep service learns how much of its load each importance causes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Importance;

/// Smallest part that is passed on; smaller ones are noise and cost bytes.
const FRACTION_MIN: f32 = 0.02;
/// Most requests that one call stands for; a larger figure would rest on too small a sample.
const REQUESTS_MAX: f64 = 20.0;

/// Requests that one call stands for, by the importance of those that it may belong to.
///
/// The parts add up to one where every request was let in. Where an entry lets in only every
/// second one, a call stands for two, so that the service at the end of a chain learns what is
/// asked for rather than what came through, however late the call arrives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ImportanceMix(Vec<(Importance, f32)>);

impl ImportanceMix {
    /// Call that belongs to a request of this importance.
    pub fn of(importance: Importance) -> Self {
        Self(vec![(importance, 1.0)])
    }

    /// Call that belongs to a request of this importance, of which the part `passed` was let in.
    pub fn sampled(importance: Importance, passed: f64) -> Self {
        let requests = 1.0 / passed.clamp(1.0 / REQUESTS_MAX, 1.0);
        Self(vec![(importance, requests as f32)])
    }

    /// Parts, by importance.
    pub fn parts(&self) -> impl Iterator<Item = (Importance, f64)> + '_ {
        self.0.iter().map(|(importance, part)| (*importance, f64::from(*part)))
    }
}

/// Sum of the mixes of the calls that run at one target.
#[derive(Debug, Default)]
pub struct ImportanceMixSum {
    sums: BTreeMap<Importance, f32>,
    calls: usize,
}

impl ImportanceMixSum {
    /// Adds a call that begins to run.
    pub fn begin(&mut self, mix: &ImportanceMix) {
        self.calls += 1;
        for (importance, part) in &mix.0 {
            *self.sums.entry(*importance).or_default() += part;
        }
    }

    /// Takes off a call that has ended.
    pub fn end(&mut self, mix: &ImportanceMix) {
        self.calls = self.calls.saturating_sub(1);
        for (importance, part) in &mix.0 {
            if let Some(sum) = self.sums.get_mut(importance) {
                *sum = (*sum - part).max(0.0);
            }
        }
        if self.calls == 0 {
            // What remains is rounding.
            self.sums.clear();
        }
    }

    /// Mix of a call that one of the running calls makes; none if nothing runs.
    pub fn mean_mix(&self) -> Option<ImportanceMix> {
        if self.calls == 0 {
            return None;
        }
        let calls = self.calls as f32;
        let parts = self.sums.iter().map(|(importance, sum)| (*importance, sum / calls));
        let kept: Vec<_> = parts.filter(|(_, part)| *part >= FRACTION_MIN).collect();
        (!kept.is_empty()).then_some(ImportanceMix(kept))
    }
}
