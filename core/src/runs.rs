//! Runs at one target, and which of them a call of that target belongs to.
//!
//! A target that makes further calls gives them identifiers that extend the one of the request it
//! runs (hierarchical request identifiers). Where it does, each call is put down to its request:
//! the call takes over the request's place in the order of survival, and the request learns which
//! services it reaches. Where identifiers say nothing, a call counts as one of an average run. See
//! [overload](../../docs/design/overload.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::Rank;
use crate::ids::Name;
use crate::mix::{ImportanceMix, ImportanceMixSum};
use crate::work::WorkSum;

/// Request that a target runs.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRequest {
    /// Place of the root request in the order of survival.
    pub rank: Rank,
    /// Requests that the run stands for, by importance.
    pub mix: ImportanceMix,
    /// Whether the request may have run before, or belongs to one that may have.
    pub repeat: bool,
    /// Work of the calls of this run.
    work: WorkSum,
}

/// Runs at one target, by the identifier of their request.
#[derive(Debug, Default)]
pub struct RunningRequests {
    running: HashMap<Box<[u8]>, RunningRequest>,
    sum: ImportanceMixSum,
}

impl RunningRequests {
    /// Takes in a run that begins; a request that the target already runs is replaced.
    pub fn begin(&mut self, id: &[u8], rank: Rank, mix: ImportanceMix, repeat: bool) {
        self.sum.begin(&mix);
        let run = RunningRequest { rank, mix, repeat, work: WorkSum::default() };
        if let Some(replaced) = self.running.insert(id.into(), run) {
            self.sum.end(&replaced.mix);
        }
    }

    /// Ends a run; returns the work of its calls.
    pub fn end(&mut self, id: &[u8]) -> WorkSum {
        let Some(run) = self.running.remove(id) else { return WorkSum::default() };
        self.sum.end(&run.mix);
        run.work
    }

    /// Run that the call `id` belongs to, with the identifier of its request.
    ///
    /// That is the one with the longest identifier that `id` extends by a part of its own.
    pub fn parent<'a>(&self, id: &'a [u8]) -> Option<(&'a [u8], &RunningRequest)> {
        let ends = (1..id.len()).rev().filter(|end| !id[*end].is_ascii_alphanumeric());
        ends.map(|end| &id[..end]).find_map(|prefix| Some((prefix, self.running.get(prefix)?)))
    }

    /// Adds a call of the run `id` that ran at `service` for `time`, and the work of the calls
    /// `below` it.
    pub fn add_call(&mut self, id: &[u8], service: &Name, time: Duration, below: &WorkSum) {
        if let Some(run) = self.running.get_mut(id) {
            run.work.add_call(service, time, below);
        }
    }

    /// Mix of a call that belongs to an unknown one of the runs; none if nothing runs.
    pub fn mean_mix(&self) -> Option<ImportanceMix> {
        self.sum.mean_mix()
    }
}
