//! Minting at the caller's side: one binding after the other, never two that could both run.

use std::collections::BTreeMap;

use super::Binding;
use crate::ids::{Incarnation, InstanceId};

/// Once-only call that no binding is out for: a binding may be minted.
///
/// Held by the call's only minter: the node that makes the call, or the outside caller's client.
/// The type cannot be cloned and [`BoundCall`] gives it back only against [`NotRunProof`], so that two
/// bindings for one call that could both run cannot come about.
#[derive(Debug, PartialEq, Eq)]
pub struct UnboundCall {
    serial: u32,
}

impl UnboundCall {
    /// State of a call that was never sent.
    pub const fn new() -> Self {
        Self { serial: 0 }
    }

    /// Binds the call to the incarnation that was chosen, in the window last heard of it.
    pub fn bind(self, instance: InstanceId, incarnation: Incarnation, window: u64) -> BoundCall {
        BoundCall { binding: Binding { instance, incarnation, window, serial: self.serial } }
    }

    /// Takes the binding that came with a not-run answer.
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

/// What proves that a bound call did not run and never will under its binding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRunProof {
    /// No byte of the call left this process: the connection was never established.
    NeverSent,
    /// The node that the binding names, or the successor that it handed over to, says so.
    ///
    /// It names the binding that it speaks of, so that a late word on an earlier one is void.
    Confirmed(Binding),
}

/// Once-only call with the one binding that may run it; every re-send carries that binding.
#[derive(Debug, PartialEq, Eq)]
pub struct BoundCall {
    binding: Binding,
}

impl BoundCall {
    /// Binding of the call.
    pub fn binding(&self) -> &Binding {
        &self.binding
    }

    /// Gives the call free for the next binding, if the evidence is about this one.
    ///
    /// `NeverSent` is valid only if no send under this binding left the process, earlier ones
    /// included. Without evidence the call stays bound for good: its outcome is that of this
    /// binding, or unknown.
    pub fn release(self, evidence: &NotRunProof) -> Result<UnboundCall, Self> {
        match evidence {
            NotRunProof::Confirmed(binding) if *binding != self.binding => Err(self),
            NotRunProof::Confirmed(_) | NotRunProof::NeverSent => {
                Ok(UnboundCall { serial: self.binding.serial.saturating_add(1) })
            }
        }
    }
}

/// Incarnations and windows of targets, as last heard.
///
/// A stale window costs one hop and no safety: the target's node refuses the binding as not run
/// or unknown. Memory: at most `limit` instances; the one named least by order is dropped.
#[derive(Debug)]
pub struct WindowView {
    known: BTreeMap<InstanceId, KnownWindow>,
    limit: usize,
}

/// Last word on one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KnownWindow {
    incarnation: Incarnation,
    window: u64,
}

impl WindowView {
    /// View of at most `limit` instances.
    pub const fn new(limit: usize) -> Self {
        Self { known: BTreeMap::new(), limit }
    }

    /// Takes in what an answer or a membership record says; older words change nothing.
    pub fn update(&mut self, instance: &InstanceId, incarnation: Incarnation, window: u64) {
        let word = KnownWindow { incarnation, window };
        match self.known.get_mut(instance) {
            Some(last) => *last = word.max(*last),
            None => {
                if self.known.len() >= self.limit {
                    self.known.pop_first();
                }
                self.known.insert(instance.clone(), word);
            }
        }
    }

    /// Forgets an instance that left.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.known.remove(instance);
    }

    /// Binds a call to a chosen target, or gives the call back if its window was never heard.
    ///
    /// The call is then sent without a binding, is refused as not run, and the answer brings one.
    pub fn bind(&self, call: UnboundCall, instance: &InstanceId) -> Result<BoundCall, UnboundCall> {
        match self.known.get(instance) {
            Some(word) => Ok(call.bind(instance.clone(), word.incarnation, word.window)),
            None => Err(call),
        }
    }
}
