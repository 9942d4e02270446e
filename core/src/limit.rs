//! Every limit that the system enforces, derived from contract, announcement and observation.
//!
//! Operators publish contracts and targets announce slots; nobody sets a number below by hand.
//! See [overload](../../docs/design/overload.md).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::contract::{Contract, ContractError};
use crate::ids::{Importance, Name};

/// Shortest time for which a refused caller is asked to stay away.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest time for which a refused caller is asked to stay away.
const RETRY_MAX: Duration = Duration::from_secs(2);
/// Queue places per slot of the target.
const QUEUE_PER_SLOT: u32 = 1;
/// Fewest queue places, so that a target with few slots still absorbs a small burst.
const QUEUE_MIN: u32 = 8;
/// Most queue places; bounds the memory of one admission.
const QUEUE_MAX: u32 = 4_096;
/// Part of the slots that a target without history gets at first.
const COLD_DIVISOR: u32 = 4;
/// Part of the slots that is left free, as a divisor: enough that chance does not fill a target up,
/// little enough that one which does not slow down loses hardly anything.
const RESERVE_DIVISOR: u32 = 16;
/// Weight of a new sample in the smoothed times: one in this many.
const SMOOTHING_DIVISOR: u32 = 8;
/// Largest number of classes whose times are kept.
const CLASSES_MAX: usize = 4_096;

/// Limits of one target, derived from its announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLimits {
    /// Requests that may run at once.
    pub slots: u32,
    /// Requests that may run at once before anything has finished.
    pub cold: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Connections that the target takes.
    pub connections: u32,
}

impl TargetLimits {
    /// Limits for a target that announced `slots` and `connections`.
    ///
    /// An announcement of zero slots counts as one: the target asked for work by announcing.
    pub fn derive(slots: u32, connections: u32) -> Self {
        let slots = slots.max(1);
        let cold = slots.div_ceil(COLD_DIVISOR);
        let limits = Self { slots, cold, queue: QUEUE_MIN, connections: connections.max(1) };
        limits.with_queue_per_slot(QUEUE_PER_SLOT)
    }

    /// The same limits with some of the slots left free.
    ///
    /// Targets may slow down when they are nearly full, and then complete less than with a few
    /// slots free. The queue beside them holds what waits at no such cost.
    pub fn with_reserve(self) -> Self {
        let slots = (self.slots - self.slots.div_ceil(RESERVE_DIVISOR)).max(1);
        Self { slots, cold: self.cold.min(slots), ..self }
    }

    /// The same limits with another number of places in the queue for each slot.
    pub fn with_queue_per_slot(self, per_slot: u32) -> Self {
        let queue = self.slots.saturating_mul(per_slot).clamp(QUEUE_MIN, QUEUE_MAX);
        Self { queue, ..self }
    }
}

/// Importances of a contract in rising order; the scale on which levels move.
///
/// Holds at most 256 entries, one per value of [`Importance`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ImportanceScale {
    steps: Vec<Importance>,
}

impl ImportanceScale {
    /// Scale of every importance that a class of the contract has.
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

    /// Next importance below the given one, if the contract has any.
    pub(crate) fn below(&self, importance: Importance) -> Option<Importance> {
        let idx = self.steps.partition_point(|step| *step < importance);
        idx.checked_sub(1).and_then(|idx| self.steps.get(idx)).copied()
    }
}

/// Time to come back for a refused caller, spread by its lot so that no wave returns.
///
/// `wait` is what the queue takes to drain; the answer lies between one half and three halves of
/// a base of eight such waits, within fixed bounds.
pub fn retry_after(wait: Duration, lot: u16) -> Duration {
    let base = wait.saturating_mul(8).clamp(RETRY_MIN, RETRY_MAX);
    base / 2 + base.mul_f64(f64::from(lot) / f64::from(u16::MAX))
}

/// Smoothed run times of the classes that one node sees; at most 4,096 classes are kept.
#[derive(Debug, Default)]
pub struct RunTimes {
    classes: BTreeMap<Name, Duration>,
}

impl RunTimes {
    /// Times without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the time that a run of `class` took.
    pub fn observe(&mut self, class: &Name, took: Duration) {
        if let Some(mean) = self.classes.get_mut(class) {
            *mean = smoothed(*mean, took);
            return;
        }
        if self.classes.len() < CLASSES_MAX {
            self.classes.insert(class.clone(), took);
        }
    }

    /// Time that the rest of a call of `class` is expected to take at least.
    ///
    /// Half of the smoothed time, so that only calls which hardly any run could still serve are
    /// dropped for their deadline.
    pub fn expected(&self, class: &Name) -> Duration {
        self.classes.get(class).map_or(Duration::ZERO, |mean| *mean / 2)
    }
}

/// Exponentially weighted mean after one more sample.
pub(crate) fn smoothed(mean: Duration, sample: Duration) -> Duration {
    (mean * (SMOOTHING_DIVISOR - 1) + sample) / SMOOTHING_DIVISOR
}

/// Limits of one class, derived from the contract alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassLimits {
    /// Steps of importance that are shed before this class; zero is shed first.
    pub step: usize,
    /// Calls on the longest chain, the first included.
    pub depth: u32,
    /// Calls that one request makes when nothing is sent again, the first included.
    pub calls: u64,
    /// Largest number of sends in the whole chain, re-sends included.
    pub sends: u64,
    /// Time until the whole answer is of no use.
    pub deadline: Duration,
    /// Time for which the answer of a once-only request is kept.
    pub repeat_window: Duration,
    /// Largest answer, in bytes.
    pub answer_bytes: u64,
}

impl ClassLimits {
    /// Limits of every class of a contract.
    ///
    /// # Errors
    ///
    /// `Circle` if the calls of a class lead back to it.
    pub fn derive(contract: &Contract) -> Result<BTreeMap<Name, Self>, ContractError> {
        let depths = contract.depths()?;
        let scale = ImportanceScale::derive(contract);
        let mut classes: Vec<_> = depths.into_iter().collect();
        classes.sort_by_key(|(_, depth)| *depth);
        let mut limits = BTreeMap::<Name, Self>::new();
        for (class, depth) in classes {
            let Some(terms) = contract.classes.get(&class) else { continue };
            let below = |name: &Name| limits.get(name).map_or(0, |callee| callee.calls);
            let below = terms.calls.iter().map(below).fold(0, u64::saturating_add);
            let calls = below.saturating_add(1);
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
