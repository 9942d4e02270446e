//! Levels that a caller received with answers. The caller uses them to refuse a call at its entry
//! instead of sending it to a service that would refuse it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, Name};
use crate::limit::ImportanceScale;
use crate::time::Moment;

use super::level::{Level, Rank};

/// Age of the newest level from which one call is admitted as a probe. Levels that are older than
/// the newest one by more than this do not count in the median.
const FRESH_TIME: Duration = Duration::from_millis(50);
/// Minimum time between two probes of one class.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);
/// Age from which a level is no longer relayed. The levels of a class decay once its newest level
/// is older than this.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Time for which a service's levels are relayed after its last level above the open one. By its
/// end every caller has received the open level. Services without overload add no bytes to answers.
const EXPORT_TIME: Duration = Duration::from_secs(2);
/// Maximum number of classes in the map.
const CLASSES_MAX: usize = 4_096;
/// Maximum number of instances kept per class.
const INSTANCES_MAX: usize = 16;

/// Maximum number of instances of one service whose levels a node relays: enough for a median, few
/// enough to be sent with every answer.
const EXPORTED_MAX: usize = 3;

/// Hash of the instance that set a level; a hash keeps messages small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LevelSource(u32);

impl LevelSource {
    /// Source of the levels that `instance` sets for itself.
    pub fn of(instance: &InstanceId) -> Self {
        Self(instance.0.short_hash())
    }
}

/// Level of one instance, as nodes relay it to each other.
///
/// It identifies the instance that set it, over any number of relays, so that a level which many
/// nodes relay still counts once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedLevel {
    /// Service whose instance set the level.
    pub service: Name,
    /// Instance that set the level.
    pub source: LevelSource,
    /// Level below which requests that reach the service should be refused.
    pub level: Level,
    /// Milliseconds since the instance set the level.
    pub age: u16,
}

/// Levels per class and instance, as received with answers and from other nodes.
///
/// Holds at most 4,096 classes with 16 instances each. Once the newest level of a class is older
/// than 500 ms, the level of the class decays until it is open.
#[derive(Debug)]
pub struct LevelMap {
    scale: ImportanceScale,
    classes: BTreeMap<Name, ClassLevels>,
}

/// Levels of the instances that serve one class.
#[derive(Debug, Default)]
struct ClassLevels {
    levels: Vec<InstanceLevel>,
    /// When a call was last admitted as a probe.
    last_probe: Moment,
    /// When an instance last set a level above the open one; zero if none has.
    last_raised: Moment,
}

#[derive(Debug)]
struct InstanceLevel {
    source: LevelSource,
    level: Level,
    set_at: Moment,
}

impl LevelMap {
    /// Empty map for a contract with the importances of `scale`.
    pub fn new(scale: ImportanceScale) -> Self {
        Self { scale, classes: BTreeMap::new() }
    }

    /// Replaces the importances by those of a new contract revision.
    pub fn revise(&mut self, scale: ImportanceScale) {
        self.scale = scale;
    }

    /// Adds an instance that serves `class`, with the open level until a level of it is recorded.
    ///
    /// Without this, a caller could refuse a call because the only instance whose level it knows
    /// would refuse it, although another instance would evict a less important call for it.
    pub fn add_instance(&mut self, class: &Name, instance: &InstanceId) {
        let known = self.classes.get(class).map_or(&[][..], |entry| &entry.levels);
        let (full, source) = (known.len() >= INSTANCES_MAX, LevelSource::of(instance));
        if !full && known.iter().all(|known| known.source != source) {
            self.insert(Moment::default(), class, source, Level::OPEN);
        }
    }

    /// Records the level that `instance` sent with an answer to a call of `class`.
    pub fn record(&mut self, now: Moment, class: &Name, instance: &InstanceId, level: Level) {
        self.insert(now, class, LevelSource::of(instance), level);
    }

    /// Records a level that another node relays.
    ///
    /// Its age counts from when its source set it, so that a level which nodes relay to each other
    /// in a circle decays, and an older level never replaces a newer one of the same source.
    pub fn record_relayed(&mut self, now: Moment, relayed: &RelayedLevel) {
        let set_at = now.before(Duration::from_millis(u64::from(relayed.age)));
        self.insert(set_at, &relayed.service, relayed.source, relayed.level);
    }

    /// Levels to relay to other nodes: the newest ones of each service that is overloaded or was so
    /// until recently.
    pub fn export(&self, now: Moment) -> Vec<RelayedLevel> {
        let mut exported = Vec::new();
        for (service, entry) in &self.classes {
            let recent =
                entry.last_raised > Moment::default() && now.since(entry.last_raised) < EXPORT_TIME;
            let fresh = entry.levels.iter().filter(|known| now.since(known.set_at) < HOLD_TIME);
            let mut fresh: Vec<_> = fresh.filter(|_| recent).collect();
            fresh.sort_unstable_by_key(|known| Reverse(known.set_at));
            exported.extend(fresh.into_iter().take(EXPORTED_MAX).map(|known| RelayedLevel {
                service: service.clone(),
                source: known.source,
                level: known.level,
                age: now.since(known.set_at).as_millis() as u16,
            }));
        }
        exported
    }

    /// Removes the levels of an instance that has left.
    pub fn forget(&mut self, instance: &InstanceId) {
        let source = LevelSource::of(instance);
        for entry in self.classes.values_mut() {
            entry.levels.retain(|known| known.source != source);
        }
    }

    /// Median of the levels known for `class`, or the lower of the two middle ones. The level of a
    /// single instance is noisy, and the lowest of many admits more calls than all instances
    /// complete.
    ///
    /// If an instance has a level of a lower importance, the median is lowered to admit every call
    /// of its own importance, since that instance would evict a less important call.
    pub fn level(&self, now: Moment, class: &Name) -> Level {
        self.classes.get(class).map_or(Level::OPEN, |entry| entry.level(now, &self.scale))
    }

    /// Median of the levels known for `class`, without the rounding of [`Self::level`].
    ///
    /// It does not change if one instance, such as an idle one, has a much lower level than the
    /// others. It is meant for levels that are combined over several hops, where rounding down at
    /// each hop would lose them.
    pub fn median(&self, now: Moment, class: &Name) -> Level {
        self.classes.get(class).map_or(Level::OPEN, |entry| entry.median(now, &self.scale))
    }

    /// Age of the newest level known for `class`, or `None` if the class is unknown.
    pub fn age(&self, now: Moment, class: &Name) -> Option<Duration> {
        self.classes.get(class).map(|entry| now.since(entry.newest()))
    }

    /// Level to send with an answer: the higher of the node's own level and those of the classes
    /// that a run calls.
    pub fn combined<'a>(
        &self,
        now: Moment,
        own: Level,
        callees: impl IntoIterator<Item = &'a Name>,
    ) -> Level {
        let levels = callees.into_iter().map(|class| self.level(now, class));
        levels.max().unwrap_or_default().max(own)
    }

    /// Stores a level that `source` set at `set_at`, unless a newer one of the same source is
    /// known.
    fn insert(&mut self, set_at: Moment, class: &Name, source: LevelSource, level: Level) {
        if !self.classes.contains_key(class) && self.classes.len() >= CLASSES_MAX {
            return;
        }
        let entry = self.classes.entry(class.clone()).or_default();
        let known = entry.levels.iter().position(|known| known.source == source);
        if known.is_some_and(|idx| entry.levels[idx].set_at > set_at) {
            return;
        }
        if level > Level::OPEN {
            entry.last_raised = entry.last_raised.max(set_at);
        }
        let updated = InstanceLevel { source, level, set_at };
        if let Some(idx) = known {
            entry.levels[idx] = updated;
            return;
        }
        if entry.levels.len() >= INSTANCES_MAX
            && let Some(oldest) =
                (0..entry.levels.len()).min_by_key(|idx| entry.levels[*idx].set_at)
        {
            entry.levels.swap_remove(oldest);
        }
        entry.levels.push(updated);
    }

    /// Whether one of `classes`, the class of a call and those it calls, would refuse the call.
    ///
    /// If only outdated levels would refuse it, a call is admitted as a probe from time to time,
    /// because no answer would ever refresh the level of a class whose calls are all refused.
    pub fn would_refuse<'a>(
        &mut self,
        now: Moment,
        rank: Rank,
        classes: impl IntoIterator<Item = &'a Name>,
    ) -> bool {
        let mut due = Vec::new();
        for class in classes {
            let Some(entry) = self.classes.get(class) else { continue };
            if entry.level(now, &self.scale).admits(rank) {
                continue;
            }
            if !entry.is_probe_due(now) {
                return true;
            }
            due.push(class);
        }
        for class in due {
            if let Some(entry) = self.classes.get_mut(class) {
                entry.last_probe = now;
            }
        }
        false
    }
}

impl ClassLevels {
    fn median(&self, now: Moment, scale: &ImportanceScale) -> Level {
        self.decayed(self.fresh_median(), now, scale)
    }

    fn level(&self, now: Moment, scale: &ImportanceScale) -> Level {
        let median = self.fresh_median();
        let lowest = self.levels.iter().map(|known| known.level).min().unwrap_or_default();
        let clamped = lowest.importance() < median.importance();
        let level = if clamped { median.rounded_down() } else { median };
        self.decayed(level, now, scale)
    }

    /// Median of the newest level and those at most [`FRESH_TIME`] older, or the lower of the two
    /// middle ones.
    fn fresh_median(&self) -> Level {
        let newest = self.newest();
        let fresh = self.levels.iter().filter(|known| newest.since(known.set_at) <= FRESH_TIME);
        let mut levels: Vec<_> = fresh.map(|known| known.level).collect();
        levels.sort_unstable();
        levels.get(levels.len().saturating_sub(1) / 2).copied().unwrap_or_default()
    }

    /// Level after decaying for the time since the newest level grew older than [`HOLD_TIME`].
    fn decayed(&self, level: Level, now: Moment, scale: &ImportanceScale) -> Level {
        level.decayed(now.since(self.newest()).saturating_sub(HOLD_TIME), scale)
    }

    /// Whether the level is outdated and the last probe is long enough ago.
    fn is_probe_due(&self, now: Moment) -> bool {
        now.since(self.newest()) >= FRESH_TIME && now.since(self.last_probe) >= PROBE_INTERVAL
    }

    fn newest(&self) -> Moment {
        self.levels.iter().map(|known| known.set_at).max().unwrap_or_default()
    }
}
