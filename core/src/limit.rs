//! Limits that are derived from the contract, the announcements of targets and observation.
//!
//! Operators publish contracts and targets announce their slots; no limit in this file is
//! configured directly. See [overload](../../docs/design/overload.md).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::contract::{Contract, ContractError};
use crate::ids::{Importance, Name};

/// Lower bound of the base from which a refused caller's retry time is spread.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Upper bound of that base.
const RETRY_MAX: Duration = Duration::from_secs(2);
/// Default queue places per slot of the target.
const QUEUE_PER_SLOT: u32 = 1;
/// Minimum number of queue places, so that a target with few slots absorbs a small burst.
const QUEUE_MIN: u32 = 8;
/// Maximum number of queue places; bounds the memory of one admission.
const QUEUE_MAX: u32 = 4_096;
/// A target without history starts with its slots divided by this number.
const COLD_DIVISOR: u32 = 4;
/// Slots divided by this number are left free with [`TargetLimits::with_reserve`]: enough that
/// random fluctuation does not fill the target, and few enough that a target which does not slow
/// down when full loses little throughput.
const RESERVE_DIVISOR: u32 = 16;
/// Weight of a new sample in the smoothed times, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;
/// Maximum number of classes whose run times are kept.
const CLASSES_MAX: usize = 4_096;

/// Limits of one target, derived from its announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLimits {
    /// Requests that may run at once.
    pub slots: u32,
    /// Requests that may run at once before the first one has finished.
    pub cold: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Connections that the target accepts at once.
    pub connections: u32,
}

impl TargetLimits {
    /// Limits for a target that announced `slots` and `connections`.
    ///
    /// Zero slots count as one, because a target requests work by announcing itself.
    pub fn derive(slots: u32, connections: u32) -> Self {
        let slots = slots.max(1);
        let cold = slots.div_ceil(COLD_DIVISOR);
        let limits = Self { slots, cold, queue: QUEUE_MIN, connections: connections.max(1) };
        limits.with_queue_per_slot(QUEUE_PER_SLOT)
    }

    /// The same limits with one sixteenth of the slots left free, but at least one slot in use.
    ///
    /// A target may slow down when it is nearly full, and then complete fewer requests than with a
    /// few slots free. Requests that wait in the node's queue have no such cost.
    pub fn with_reserve(self) -> Self {
        let slots = (self.slots - self.slots.div_ceil(RESERVE_DIVISOR)).max(1);
        Self { slots, cold: self.cold.min(slots), ..self }
    }

    /// The same limits with `per_slot` queue places per slot, between 8 and 4,096 in total.
    pub fn with_queue_per_slot(self, per_slot: u32) -> Self {
        let queue = self.slots.saturating_mul(per_slot).clamp(QUEUE_MIN, QUEUE_MAX);
        Self { queue, ..self }
    }
}

/// Importances of a contract in rising order, over which admission levels move.
///
/// Holds at most 256 entries, one per value of [`Importance`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ImportanceScale {
    steps: Vec<Importance>,
}

impl ImportanceScale {
    /// Scale of all importances that classes of the contract have.
    pub fn derive(contract: &Contract) -> Self {
        Self::new(contract.classes.values().map(|terms| terms.importance))
    }

    /// Scale of the given importances, in any order.
    pub fn new(importances: impl IntoIterator<Item = Importance>) -> Self {
        let mut steps: Vec<_> = importances.into_iter().collect();
        steps.sort_unstable();
        steps.dedup();
        Self { steps }
    }

    /// Importances in rising order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Importance> + '_ {
        self.steps.iter().copied()
    }

    /// Next lower importance of the contract, if any.
    pub(crate) fn below(&self, importance: Importance) -> Option<Importance> {
        let idx = self.steps.partition_point(|step| *step < importance);
        idx.checked_sub(1).and_then(|idx| self.steps.get(idx)).copied()
    }
}

/// Time after which a refused caller should retry, spread by the tie-breaker of its request so that
/// callers refused together don't retry together.
///
/// `wait` is the time that the queue takes to drain. The result lies between one half and three
/// halves of a base, which is eight times `wait` but at least 100 ms and at most 2 s.
pub fn retry_after(wait: Duration, tiebreak: u16) -> Duration {
    let base = wait.saturating_mul(8).clamp(RETRY_MIN, RETRY_MAX);
    base / 2 + base.mul_f64(f64::from(tiebreak) / f64::from(u16::MAX))
}

/// Smoothed run times per class, as one node observes them; at most 4,096 classes are kept.
#[derive(Debug, Default)]
pub struct RunTimes {
    classes: BTreeMap<Name, Duration>,
}

impl RunTimes {
    /// Run times without any observation.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the duration of a run of `class`.
    pub fn observe(&mut self, class: &Name, took: Duration) {
        if let Some(mean) = self.classes.get_mut(class) {
            *mean = smoothed(*mean, took);
            return;
        }
        if self.classes.len() < CLASSES_MAX {
            self.classes.insert(class.clone(), took);
        }
    }

    /// Lower estimate of the duration of a run of `class`; zero without observations.
    ///
    /// It is half of the smoothed duration, so that calls are refused for their deadline only if
    /// hardly any run could still meet it.
    pub fn expected(&self, class: &Name) -> Duration {
        self.classes.get(class).map_or(Duration::ZERO, |mean| *mean / 2)
    }
}

/// Exponentially weighted average after one more sample.
pub(crate) fn smoothed(mean: Duration, sample: Duration) -> Duration {
    (mean * (SMOOTHING_DIVISOR - 1) + sample) / SMOOTHING_DIVISOR
}

/// Limits of one class, derived from the contract.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassLimits {
    /// Number of lower importances in the contract, which are shed before this class; zero is shed
    /// first.
    pub step: usize,
    /// Number of calls on the longest chain, the first included.
    pub depth: u32,
    /// Number of calls that one request causes without re-sends, the first included.
    pub calls: u64,
    /// Maximum number of sends in the whole chain, re-sends included.
    pub sends: u64,
    /// Time after which a complete answer is useless to the caller.
    pub deadline: Duration,
    /// Time for which the answer to a once-only request is kept.
    pub repeat_window: Duration,
    /// Maximum size of an answer, in bytes.
    pub answer_bytes: u64,
}

impl ClassLimits {
    /// Limits of every class of a contract.
    ///
    /// # Errors
    ///
    /// [`ContractError::Cycle`] if the calls of a class form a cycle or a chain of more than
    /// [`crate::MAX_CHAIN_DEPTH`] calls.
    pub fn derive(contract: &Contract) -> Result<BTreeMap<Name, Self>, ContractError> {
        let depths = contract.depths()?;
        let scale = ImportanceScale::derive(contract);
        let mut classes: Vec<_> = depths.into_iter().collect();
        classes.sort_by_key(|(_, depth)| *depth);
        let mut limits = BTreeMap::<Name, Self>::new();
        for (class, depth) in classes {
            let Some(terms) = contract.classes.get(&class) else { continue };
            let nested = |name: &Name| limits.get(name).map_or(0, |callee| callee.calls);
            let nested = terms.calls.iter().map(nested).fold(0, u64::saturating_add);
            let calls = nested.saturating_add(1);
            let limit = Self {
                step: scale.steps.partition_point(|step| *step < terms.importance),
                depth,
                calls,
                sends: calls.saturating_add(u64::from(terms.retries)),
                deadline: terms.deadline,
                repeat_window: terms.repeat_window,
                answer_bytes: terms.largest_answer,
            };
            limits.insert(class, limit);
        }
        Ok(limits)
    }
}
