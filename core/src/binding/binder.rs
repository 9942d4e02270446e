//! Binder of a key: remembers the binding for a caller that sends only an idempotency key.
//!
//! The binder of a key is the [`keeper`](crate::keeper) of the request id.
//! This path gives less than a binding that the caller keeps; which guarantee holds for which
//! caller is stated in [at most once](../../../docs/design/at-most-once.md#guarantees).

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Binding;
use crate::ids::{InstanceId, RequestId, rendezvous_weight};
use crate::outcome::ErrorKind;
use crate::time::Moment;

fn weight(request: RequestId, member: &InstanceId) -> u64 {
    rendezvous_weight(request.0, member.0.as_str())
}

/// Bounds of a [`Binder`].
#[derive(Debug, Clone, Copy)]
pub struct BinderLimits {
    /// Most keys remembered.
    pub keys: usize,
    /// Most members remembered after they left.
    pub departed: usize,
    /// Time for which a key is remembered after its last binding: the longest repeat window.
    pub retention: Duration,
}

/// Answer of a binder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BinderAnswer {
    /// Send the request under this binding, and no other.
    Bound(Binding),
    /// The request did not run, and never will under its key.
    NotRun(ErrorKind),
    /// Another binder may have minted one: the request may have run.
    Unknown(ErrorKind),
}

/// Keys whose bindings this node mints, for the services that it is a member of.
#[derive(Debug)]
pub struct Binder {
    local: InstanceId,
    limits: BinderLimits,
    started: Moment,
    departed: BTreeMap<InstanceId, Moment>,
    /// Members that left and had to be dropped from `departed`: nothing is vouched for until then.
    overflowed_at: Option<Moment>,
    keys: HashMap<RequestId, BoundKey>,
    queue: VecDeque<QueuedKey>,
}

#[derive(Debug)]
struct BoundKey {
    binding: Binding,
    bound_at: Moment,
    /// Set once the request was told not run: its key is spent, and no copy may run.
    closed: Option<ErrorKind>,
}

impl BoundKey {
    fn answer(&self) -> BinderAnswer {
        match self.closed {
            Some(kind) => BinderAnswer::NotRun(kind),
            None => BinderAnswer::Bound(self.binding.clone()),
        }
    }
}

#[derive(Debug)]
struct QueuedKey {
    request: RequestId,
    at: Moment,
}

impl Binder {
    /// Binder of a node that starts now.
    pub fn new(now: Moment, local: InstanceId, limits: BinderLimits) -> Self {
        let (departed, keys, queue) = (BTreeMap::new(), HashMap::new(), VecDeque::new());
        Self { local, limits, started: now, departed, overflowed_at: None, keys, queue }
    }

    /// Notes that a member of the service left or is lost; its keys may be this node's now.
    pub fn member_left(&mut self, now: Moment, member: &InstanceId) {
        self.drop_expired(now);
        if self.departed.len() >= self.limits.departed && !self.departed.contains_key(member) {
            self.overflowed_at = Some(now);
            return;
        }
        self.departed.insert(member.clone(), now);
    }

    /// Binding of a key: the one minted before, or `fresh` if none can have been.
    ///
    /// `first` is the caller's word that it never sent the key before. Without it, an absent key
    /// is bound only if this node was the key's binder for the whole repeat window.
    pub fn bind(
        &mut self,
        now: Moment,
        request: RequestId,
        first: bool,
        fresh: Binding,
    ) -> BinderAnswer {
        self.drop_expired(now);
        if let Some(held) = self.keys.get(&request) {
            return held.answer();
        }
        if !first && !self.is_authoritative(now, request) {
            return BinderAnswer::Unknown(ErrorKind::BindingLost);
        }
        if self.queue.len() >= self.limits.keys {
            return BinderAnswer::NotRun(ErrorKind::Overload);
        }
        self.mint(now, request, Binding { serial: 0, ..fresh })
    }

    /// Binding for another send, after the request was definitely not run under `refused`.
    ///
    /// The answer is the binding to use now: a new one, or the one that another entry was given
    /// meanwhile.
    pub fn bind_next(
        &mut self,
        now: Moment,
        request: RequestId,
        refused: &Binding,
        fresh: Binding,
    ) -> BinderAnswer {
        self.drop_expired(now);
        match self.keys.get(&request) {
            None => BinderAnswer::Unknown(ErrorKind::BindingLost),
            Some(held) if held.closed.is_none() && held.binding == *refused => {
                let serial = refused.serial.saturating_add(1);
                self.mint(now, request, Binding { serial, ..fresh })
            }
            Some(held) => held.answer(),
        }
    }

    /// Asks leave to tell the caller that the request was not run, after it was definitely not
    /// run under `refused`.
    ///
    /// Only `NotRun` may be told as such. It spends the key: a copy that another entry still
    /// holds is refused from then on, so that the caller comes back with a new key. `Bound` means
    /// that another entry sends the request under that binding: follow it.
    pub fn close(
        &mut self,
        now: Moment,
        request: RequestId,
        refused: &Binding,
        kind: ErrorKind,
    ) -> BinderAnswer {
        self.drop_expired(now);
        let Some(held) = self.keys.get_mut(&request) else {
            return BinderAnswer::Unknown(ErrorKind::BindingLost);
        };
        if held.binding == *refused {
            held.closed.get_or_insert(kind);
        }
        held.answer()
    }

    /// Whether this node was the key's binder for the whole repeat window, as far as it knows.
    pub fn is_authoritative(&self, now: Moment, request: RequestId) -> bool {
        let retention = self.limits.retention;
        let local = (weight(request, &self.local), &self.local);
        let older = |at: Moment| now.since(at) >= retention;
        let before = |member: &InstanceId| (weight(request, member), member) > local;
        let took_over = self.departed.iter().any(|(member, at)| !older(*at) && before(member));
        older(self.started) && self.overflowed_at.is_none_or(older) && !took_over
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn mint(&mut self, now: Moment, request: RequestId, binding: Binding) -> BinderAnswer {
        let held = BoundKey { binding: binding.clone(), bound_at: now, closed: None };
        if self.keys.insert(request, held).is_none() {
            self.queue.push_back(QueuedKey { request, at: now });
        }
        BinderAnswer::Bound(binding)
    }

    fn drop_expired(&mut self, now: Moment) {
        let retention = self.limits.retention;
        self.departed.retain(|_, left| now.since(*left) < retention);
        while self.queue.front().is_some_and(|first| now.since(first.at) >= retention) {
            let Some(first) = self.queue.pop_front() else { return };
            let minted = self.keys.get(&first.request).map(|held| held.bound_at);
            match minted {
                // Bound again since: it stays for another repeat window.
                Some(at) if now.since(at) < retention => {
                    self.queue.push_back(QueuedKey { request: first.request, at: now });
                }
                _ => {
                    self.keys.remove(&first.request);
                }
            }
        }
    }
}
