//! Admission levels of the classes that calls lead to, as reported in answers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use poplar_core::{
    Contract, ImportanceScale, InstanceId, Level, LevelMap, Moment, Name, Rank, Revision,
};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use serde_json::{Value, json};

use crate::contracts::ActiveContract;
use crate::directory::Directory;

/// Most transitive callees of one class that are considered. A call graph is at most 18 deep.
const MAX_DESCENDANTS: usize = 256;

/// Service that predicts which calls would be refused further down the call graph.
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
    /// Instances of each class, as last entered in the map.
    class_instances: BTreeMap<Name, ClassInstances>,
}

#[derive(Debug, Default)]
struct ClassInstances {
    version: u64,
    members: BTreeSet<InstanceId>,
}

impl DownstreamLevels {
    /// Creates the service with its dependencies from `registry`.
    pub(crate) fn new(clock: Clock, registry: &Registry) -> Result<Self, RegistryError> {
        let map = LevelMap::new(ImportanceScale::new([]));
        let state = State { revision: Revision::default(), map, class_instances: BTreeMap::new() };
        Ok(Self { clock, directory: registry.find("directory")?, state: Mutex::new(state) })
    }

    /// Records the level that came with an answer of `instance` to a call of `class`.
    pub(crate) fn record(&self, class: &Name, instance: &InstanceId, level: Level) {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.map.record(now, class, instance, level);
    }

    /// Whether `class` or one of its transitive callees would refuse a call of this rank.
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

    /// Level to send back with an answer to a call of `class`: `local`, the level of this node,
    /// combined with those of the transitive callees.
    pub(crate) fn combined(&self, contract: &ActiveContract, class: &Name, local: Level) -> Level {
        let now = self.clock.now();
        let classes = descendants(&contract.contract, class);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.revise(contract);
        state.map.combined(now, local, classes)
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

    /// Enters the instances that run calls of `class` in the map, if they changed.
    ///
    /// An instance that was never called counts as open. Otherwise a call would be refused here
    /// because the only instance called so far refuses it, although others might not.
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

/// Transitive callees of `class`, each once, at most [`MAX_DESCENDANTS`].
fn descendants<'a>(contract: &'a Contract, class: &Name) -> Vec<&'a Name> {
    let mut found: Vec<&Name> = Vec::new();
    let mut pending: Vec<&Name> = callees(contract, class).collect();
    while let Some(next) = pending.pop() {
        if found.len() < MAX_DESCENDANTS && !found.contains(&next) {
            found.push(next);
            pending.extend(callees(contract, next));
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
