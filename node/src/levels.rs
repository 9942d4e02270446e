//! Admission levels that this node learnt from answers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use poplar_core::{
    Contract, ImportanceScale, InstanceId, Level, LevelMap, Moment, Name, Rank, Revision,
};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use serde_json::{Value, json};

use crate::contracts::ActiveContract;
use crate::directory::Directory;

/// Most classes below one class that are looked at; a graph of calls is no deeper than 18.
const MAX_DESCENDANTS: usize = 256;

/// Service that knows which calls would be refused further down.
#[derive(Debug)]
pub(crate) struct DownstreamLevels {
    clock: Clock,
    directory: Arc<Directory>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    revision: Revision,
    map: LevelMap,
    /// Instances of each class that the map was last told of.
    class_instances: BTreeMap<Name, ClassInstances>,
}

#[derive(Debug, Default)]
struct ClassInstances {
    version: u64,
    members: BTreeSet<InstanceId>,
}

impl DownstreamLevels {
    /// Service that finds what it needs in `registry`.
    pub(crate) fn new(clock: Clock, registry: &Registry) -> Result<Self, RegistryError> {
        let map = LevelMap::new(ImportanceScale::new([]));
        let state = State { revision: Revision::default(), map, class_instances: BTreeMap::new() };
        Ok(Self { clock, directory: registry.find("directory")?, state: Mutex::new(state) })
    }

    /// Takes in the level that came with an answer.
    pub(crate) fn record(&self, class: &Name, instance: &InstanceId, level: Level) {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.map.record(now, class, instance, level);
    }

    /// Whether `class` or a class below it would refuse a call of this rank.
    pub(crate) fn would_refuse(&self, contract: &ActiveContract, class: &Name, rank: Rank) -> bool {
        let now = self.clock.now();
        let mut classes = descendants(&contract.contract, class);
        classes.push(class);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.revise(contract);
        for class in &classes {
            state.update_instances(&self.directory, contract, class);
        }
        state.map.would_refuse(now, rank, classes)
    }

    /// Level to send back with an answer to a call of `class`.
    pub(crate) fn combined(&self, contract: &ActiveContract, class: &Name, own: Level) -> Level {
        let now = self.clock.now();
        let classes = descendants(&contract.contract, class);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.revise(contract);
        state.map.combined(now, own, classes)
    }
}

impl State {
    fn revise(&mut self, contract: &ActiveContract) {
        if self.revision != contract.revision {
            self.revision = contract.revision;
            self.map.revise(ImportanceScale::derive(&contract.contract));
            self.class_instances.clear();
        }
    }

    /// Tells the map which instances run calls of `class`, if they changed.
    ///
    /// An instance that was never called counts as open, so that no call is refused here for the
    /// word of the only one that was.
    fn update_instances(&mut self, directory: &Directory, contract: &ActiveContract, class: &Name) {
        let Some(terms) = contract.contract.classes.get(class) else { return };
        let known = self.class_instances.entry(class.clone()).or_default();
        let Some(serving) = directory.serving_since(&terms.service, known.version) else { return };
        let members: BTreeSet<_> =
            serving.members.into_iter().map(|member| member.instance).collect();
        known.members.difference(&members).for_each(|gone| self.map.forget(gone));
        members.iter().for_each(|instance| self.map.add_instance(class, instance));
        *known = ClassInstances { version: serving.version, members };
    }
}

/// Classes that a run of `class` calls, directly or through others, each once.
fn descendants<'a>(contract: &'a Contract, class: &Name) -> Vec<&'a Name> {
    let mut found: Vec<&Name> = Vec::new();
    let mut open: Vec<&Name> = callees(contract, class).collect();
    while let Some(next) = open.pop() {
        if found.len() < MAX_DESCENDANTS && !found.contains(&next) {
            found.push(next);
            open.extend(callees(contract, next));
        }
    }
    found
}

fn callees<'a>(contract: &'a Contract, class: &Name) -> impl Iterator<Item = &'a Name> {
    contract.classes.get(class).into_iter().flat_map(|terms| &terms.calls)
}

impl Service for DownstreamLevels {
    fn name(&self) -> &'static str {
        "levels"
    }

    fn dump(&self, now: Moment) -> Value {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let levels: BTreeMap<&Name, Level> = state
            .class_instances
            .keys()
            .map(|class| (class, state.map.level(now, class)))
            .collect();
        json!({ "revision": state.revision, "classes": levels })
    }
}
