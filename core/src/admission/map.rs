//! Levels that a caller learnt from answers, so that a doomed call is refused where it enters.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, Name};
use crate::limit::ImportanceScale;
use crate::time::Moment;

use super::level::{Level, Rank};

/// Time after which one call is let through to learn the level anew.
const FRESH_TIME: Duration = Duration::from_millis(50);
/// Time between two such calls of one class.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which a level that no answer has renewed begins to fall.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Time for which a service that is open again is still told of; until then every caller has
/// heard of it, and unpressed services cost no bytes.
const EXPORT_TIME: Duration = Duration::from_secs(2);
/// Largest number of classes in the map.
const CLASSES_MAX: usize = 4_096;
/// Largest number of instances kept per class.
const INSTANCES_MAX: usize = 16;

/// Largest number of instances of one service that a node tells of: enough for a median, few enough
/// to travel with every answer.
const EXPORTED_MAX: usize = 3;

/// Instance that gave a level, by hash, to keep messages small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LevelSource(u32);

impl LevelSource {
    /// Source of what `instance` says of itself.
    pub fn of(instance: &InstanceId) -> Self {
        Self(instance.0.short_hash())
    }
}

/// Level of one instance as nodes pass it on.
///
/// It names the instance that gave it, however many nodes it passed, so that what many nodes
/// repeat still counts once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedLevel {
    /// Service.
    pub service: Name,
    /// Instance of the service that gave the level.
    pub source: LevelSource,
    /// Level below which requests that reach the service should be refused.
    pub level: Level,
    /// Milliseconds since the instance itself gave it.
    pub age: u16,
}

/// Levels learnt per class and answering instance.
///
/// At most 4,096 classes with 16 instances each are kept. What is not refreshed falls at the rate
/// at which targets lower their own level, and is then forgotten.
#[derive(Debug)]
pub struct LevelMap {
    scale: ImportanceScale,
    classes: BTreeMap<Name, ClassLevels>,
}

/// What is known of one class.
#[derive(Debug, Default)]
struct ClassLevels {
    levels: Vec<InstanceLevel>,
    /// When a call was last let through to learn the level anew.
    last_probe: Moment,
    /// When the level was last above the open one.
    last_raised: Moment,
}

#[derive(Debug)]
struct InstanceLevel {
    source: LevelSource,
    level: Level,
    at: Moment,
}

impl LevelMap {
    /// Map without knowledge, for a contract with these importances.
    pub fn new(scale: ImportanceScale) -> Self {
        Self { scale, classes: BTreeMap::new() }
    }

    /// Takes over the importances of a new contract revision.
    pub fn revise(&mut self, scale: ImportanceScale) {
        self.scale = scale;
    }

    /// Takes in that `instance` runs calls of `class`; until it answers, it counts as open.
    ///
    /// Without this, a caller could refuse a call because the only instance that it has heard of
    /// does, while others would let a lesser call give way.
    pub fn add_instance(&mut self, class: &Name, instance: &InstanceId) {
        let known = self.classes.get(class).map_or(&[][..], |row| &row.levels);
        let (full, source) = (known.len() >= INSTANCES_MAX, LevelSource::of(instance));
        if !full && known.iter().all(|known| known.source != source) {
            self.insert(Moment::default(), class, source, Level::OPEN);
        }
    }

    /// Takes in the level that came with an answer of `instance` to a call of `class`.
    pub fn record(&mut self, now: Moment, class: &Name, instance: &InstanceId, level: Level) {
        self.insert(now, class, LevelSource::of(instance), level);
    }

    /// Takes in a level that another node passes on.
    ///
    /// It counts from when its source gave it, so that a level which nodes tell each other in a
    /// circle dies out, and older words never replace newer ones.
    pub fn record_relayed(&mut self, now: Moment, told: &RelayedLevel) {
        let at = now.before(Duration::from_millis(u64::from(told.age)));
        self.insert(at, &told.service, told.source, told.level);
    }

    /// What to tell other nodes: fresh levels, and for a while that a service is open again.
    pub fn export(&self, now: Moment) -> Vec<RelayedLevel> {
        let mut told = Vec::new();
        for (service, row) in &self.classes {
            let recent =
                row.last_raised > Moment::default() && now.since(row.last_raised) < EXPORT_TIME;
            let fresh = row.levels.iter().filter(|known| now.since(known.at) < HOLD_TIME);
            let mut fresh: Vec<_> = fresh.filter(|_| recent).collect();
            fresh.sort_unstable_by_key(|known| Reverse(known.at));
            told.extend(fresh.into_iter().take(EXPORTED_MAX).map(|known| RelayedLevel {
                service: service.clone(),
                source: known.source,
                level: known.level,
                age: now.since(known.at).as_millis() as u16,
            }));
        }
        told
    }

    /// Drops what came from an instance that has left.
    pub fn forget(&mut self, instance: &InstanceId) {
        let source = LevelSource::of(instance);
        for row in self.classes.values_mut() {
            row.levels.retain(|known| known.source != source);
        }
    }

    /// Median of the levels known for `class`, the lower one of two: that of a single instance is
    /// noisy, and the lowest of many lets through more than all of them complete.
    pub fn level(&self, now: Moment, class: &Name) -> Level {
        self.classes.get(class).map_or(Level::OPEN, |row| row.level(now, &self.scale))
    }

    /// Median of the levels known for `class`, to the lot.
    ///
    /// Unlike [`Self::level`] it holds also if one instance asks for much less than the others, as
    /// an idle one does; it is for levels that are joined over several hops, where rounding down at
    /// each would lose them.
    pub fn median(&self, now: Moment, class: &Name) -> Level {
        self.classes.get(class).map_or(Level::OPEN, |row| row.median(now, &self.scale))
    }

    /// Time since `class` gave the newest level that is known of it; none if nothing is.
    pub fn age(&self, now: Moment, class: &Name) -> Option<Duration> {
        self.classes.get(class).map(|row| now.since(row.newest()))
    }

    /// Level to send back with an answer: the node's own, or the one that a further call meets.
    pub fn combined<'a>(
        &self,
        now: Moment,
        own: Level,
        callees: impl IntoIterator<Item = &'a Name>,
    ) -> Level {
        let deeper = callees.into_iter().map(|class| self.level(now, class));
        deeper.max().unwrap_or_default().max(own)
    }

    /// Takes in a level that `source` gave `at` a moment, unless a newer one of it is known.
    fn insert(&mut self, at: Moment, class: &Name, source: LevelSource, level: Level) {
        if !self.classes.contains_key(class) && self.classes.len() >= CLASSES_MAX {
            return;
        }
        let row = self.classes.entry(class.clone()).or_default();
        let known = row.levels.iter().position(|known| known.source == source);
        if known.is_some_and(|idx| row.levels[idx].at > at) {
            return;
        }
        if level > Level::OPEN {
            row.last_raised = row.last_raised.max(at);
        }
        let noted = InstanceLevel { source, level, at };
        if let Some(idx) = known {
            row.levels[idx] = noted;
            return;
        }
        if row.levels.len() >= INSTANCES_MAX
            && let Some(oldest) = (0..row.levels.len()).min_by_key(|idx| row.levels[*idx].at)
        {
            row.levels.swap_remove(oldest);
        }
        row.levels.push(noted);
    }

    /// Whether a call of this rank would be refused by `class` or by one of the classes it calls.
    ///
    /// Where only levels that have grown old stand against it, one call in a while is let through,
    /// because a class that is refused altogether would never learn that the pressure is over.
    pub fn would_refuse<'a>(
        &mut self,
        now: Moment,
        rank: Rank,
        classes: impl IntoIterator<Item = &'a Name>,
    ) -> bool {
        let mut due = Vec::new();
        for class in classes {
            let Some(row) = self.classes.get(class) else { continue };
            if row.level(now, &self.scale).admits(rank) {
                continue;
            }
            if !row.is_probe_due(now) {
                return true;
            }
            due.push(class);
        }
        for class in due {
            if let Some(row) = self.classes.get_mut(class) {
                row.last_probe = now;
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

    /// Median of the levels that came with the newest one, the lower of two.
    fn fresh_median(&self) -> Level {
        let newest = self.newest();
        let fresh = self.levels.iter().filter(|known| newest.since(known.at) <= FRESH_TIME);
        let mut levels: Vec<_> = fresh.map(|known| known.level).collect();
        levels.sort_unstable();
        levels.get(levels.len().saturating_sub(1) / 2).copied().unwrap_or_default()
    }

    /// Level after the time for which nothing has renewed it.
    fn decayed(&self, level: Level, now: Moment, scale: &ImportanceScale) -> Level {
        level.decayed(now.since(self.newest()).saturating_sub(HOLD_TIME), scale)
    }

    /// Whether the level is old and no call was let through of late.
    fn is_probe_due(&self, now: Moment) -> bool {
        now.since(self.newest()) >= FRESH_TIME && now.since(self.last_probe) >= PROBE_INTERVAL
    }

    fn newest(&self) -> Moment {
        self.levels.iter().map(|known| known.at).max().unwrap_or_default()
    }
}
