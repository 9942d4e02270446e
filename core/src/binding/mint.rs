//! Minting of bindings on the caller's side, such that two bindings under which a call could run
//! never exist at the same time.

use std::collections::BTreeMap;

use super::Binding;
use crate::ids::{Incarnation, InstanceId};

/// Once-only call without an outstanding binding, for which a binding may be minted.
///
/// Owned by the only party that mints bindings for the call: the node that makes the call, or the
/// client of an external caller. The type can't be cloned, and [`BoundCall`] returns it only in
/// exchange for a [`NotRunProof`], so a call never has two bindings under which it could run.
#[derive(Debug, PartialEq, Eq)]
pub struct UnboundCall {
    serial: u32,
}

impl UnboundCall {
    /// Creates the state of a call that was never sent.
    pub const fn new() -> Self {
        Self { serial: 0 }
    }

    /// Binds the call to the chosen incarnation, in the last window known of it.
    pub fn bind(self, instance: InstanceId, incarnation: Incarnation, window: u64) -> BoundCall {
        BoundCall { binding: Binding { instance, incarnation, window, serial: self.serial } }
    }

    /// Binds the call with the binding that arrived in a not-run answer.
    pub fn adopt(self, offered: Binding) -> BoundCall {
        let serial = self.serial.max(offered.serial);
        BoundCall { binding: Binding { serial, ..offered } }
    }
}

impl Default for UnboundCall {
    fn default() -> Self {
        Self::new()
    }
}

/// Proof that a bound call did not run and never will under its binding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRunProof {
    /// No byte of the call left this process, because the connection was never established.
    NeverSent,
    /// The node that the binding names, or the successor that took over its table, reported that
    /// the call was not run.
    ///
    /// Holds the binding that the report is about, so that a late report about an earlier binding
    /// is not accepted for the current one.
    Confirmed(Binding),
}

/// Once-only call with the only binding under which it may run; every re-send carries that
/// binding.
#[derive(Debug, PartialEq, Eq)]
pub struct BoundCall {
    binding: Binding,
}

impl BoundCall {
    /// Binding that every send of the call must carry.
    pub fn binding(&self) -> &Binding {
        &self.binding
    }

    /// Releases the call for the next binding, if the proof is about this binding.
    ///
    /// `NeverSent` is valid only if no send under this binding left the process, earlier sends
    /// included. Without a proof the call stays bound forever: its outcome is that of this
    /// binding, or unknown.
    ///
    /// # Errors
    ///
    /// Returns the call unchanged if the proof names another binding.
    pub fn release(self, proof: &NotRunProof) -> Result<UnboundCall, Self> {
        match proof {
            NotRunProof::Confirmed(binding) if *binding != self.binding => Err(self),
            NotRunProof::Confirmed(_) | NotRunProof::NeverSent => {
                Ok(UnboundCall { serial: self.binding.serial.saturating_add(1) })
            }
        }
    }
}

/// Last known incarnation and window of each target.
///
/// A stale window costs one extra hop but is safe: the target's node refuses the binding as not
/// run or unknown. Holds at most `limit` instances; when it is full, a new instance evicts the
/// one whose name sorts first.
#[derive(Debug)]
pub struct WindowView {
    known: BTreeMap<InstanceId, KnownWindow>,
    limit: usize,
}

/// Latest known incarnation of one instance and its window; a higher incarnation is newer, then a
/// higher window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KnownWindow {
    incarnation: Incarnation,
    window: u64,
}

impl WindowView {
    /// Creates an empty view that holds at most `limit` instances.
    pub const fn new(limit: usize) -> Self {
        Self { known: BTreeMap::new(), limit }
    }

    /// Records the incarnation and window that an answer or a membership record states; older
    /// values change nothing.
    pub fn update(&mut self, instance: &InstanceId, incarnation: Incarnation, window: u64) {
        let update = KnownWindow { incarnation, window };
        match self.known.get_mut(instance) {
            Some(last) => *last = update.max(*last),
            None => {
                if self.known.len() >= self.limit {
                    self.known.pop_first();
                }
                self.known.insert(instance.clone(), update);
            }
        }
    }

    /// Removes an instance that left.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.known.remove(instance);
    }

    /// Binds a call to a chosen target.
    ///
    /// # Errors
    ///
    /// Returns the call if no window of the target is known. It is then sent without a binding and
    /// refused as not run, and the refusal carries a binding to use.
    pub fn bind(&self, call: UnboundCall, instance: &InstanceId) -> Result<BoundCall, UnboundCall> {
        match self.known.get(instance) {
            Some(known) => Ok(call.bind(instance.clone(), known.incarnation, known.window)),
            None => Err(call),
        }
    }
}
