//! Binder: stores the binding of a request on behalf of a caller that sends only an idempotency
//! key.
//!
//! The binder of a key is the member that [`budget_owner`](crate::budget_owner) selects for the
//! request id. The guarantee is weaker than with a binding that the caller keeps;
//! [at most once](../../../docs/design/at-most-once.md#guarantees) states which guarantee holds
//! for which caller.

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
    /// Maximum number of stored keys.
    pub keys: usize,
    /// Maximum number of members remembered after they left.
    pub departed: usize,
    /// Minimum time for which a key is stored after its last binding was minted; the longest
    /// repeat window.
    pub retention: Duration,
}

/// Answer of a binder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BinderAnswer {
    /// Send the request under this binding, and no other.
    Bound(Binding),
    /// The request did not run, and never will under its key.
    NotRun(ErrorKind),
    /// Another binder may have minted a binding, so the request may have run.
    Unknown(ErrorKind),
}

/// Keys whose bindings this node mints, for the services of which it is a member.
#[derive(Debug)]
pub struct Binder {
    local: InstanceId,
    limits: BinderLimits,
    started: Moment,
    departed: BTreeMap<InstanceId, Moment>,
    /// Last time at which a member left while `departed` was full. Until the retention time after
    /// it, this node can't tell which keys that member had, so it is authoritative for none.
    overflowed_at: Option<Moment>,
    keys: HashMap<RequestId, BoundKey>,
    /// Stored keys in the order in which they are checked for expiry.
    queue: VecDeque<QueuedKey>,
}

/// Latest binding of a key.
#[derive(Debug)]
struct BoundKey {
    binding: Binding,
    bound_at: Moment,
    /// Set once the caller may be told that the request was not run: the key can't be used again,
    /// and no copy may run.
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
    /// Creates the binder of a node that starts at `now`.
    pub fn new(now: Moment, local: InstanceId, limits: BinderLimits) -> Self {
        let (departed, keys, queue) = (BTreeMap::new(), HashMap::new(), VecDeque::new());
        Self { local, limits, started: now, departed, overflowed_at: None, keys, queue }
    }

    /// Records that a member of the service left or is lost, so that this node may now be the
    /// binder of its keys.
    pub fn member_left(&mut self, now: Moment, member: &InstanceId) {
        self.drop_expired(now);
        if self.departed.len() >= self.limits.departed && !self.departed.contains_key(member) {
            self.overflowed_at = Some(now);
            return;
        }
        self.departed.insert(member.clone(), now);
    }

    /// Returns the binding of a key: the one minted before, or `fresh` if none can have been
    /// minted.
    ///
    /// `first` is the caller's statement that it never sent the key before. Without it, a key that
    /// is not stored is bound only if this node is authoritative for it; see
    /// [`is_authoritative`](Self::is_authoritative).
    pub fn bind(
        &mut self,
        now: Moment,
        request: RequestId,
        first: bool,
        fresh: Binding,
    ) -> BinderAnswer {
        self.drop_expired(now);
        if let Some(key) = self.keys.get(&request) {
            return key.answer();
        }
        if !first && !self.is_authoritative(now, request) {
            return BinderAnswer::Unknown(ErrorKind::BindingLost);
        }
        if self.queue.len() >= self.limits.keys {
            return BinderAnswer::NotRun(ErrorKind::Overload);
        }
        self.mint(now, request, Binding { serial: 0, ..fresh })
    }

    /// Returns the binding for another send, after the request was definitely not run under
    /// `refused`.
    ///
    /// The binding is a new one, or the one that another entry node has received meanwhile.
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
            Some(key) if key.closed.is_none() && key.binding == *refused => {
                let serial = refused.serial.saturating_add(1);
                self.mint(now, request, Binding { serial, ..fresh })
            }
            Some(key) => key.answer(),
        }
    }

    /// Closes a key, so that the caller can be told that the request was not run, after it was
    /// definitely not run under `refused`.
    ///
    /// The caller may be told so only if the answer is `NotRun`. The key is then used up: a copy
    /// that another entry node still has is refused from then on, so the caller must come back
    /// with a new key. `Bound` means that another entry node sends the request under that binding,
    /// which this entry must use as well.
    pub fn close(
        &mut self,
        now: Moment,
        request: RequestId,
        refused: &Binding,
        kind: ErrorKind,
    ) -> BinderAnswer {
        self.drop_expired(now);
        let Some(key) = self.keys.get_mut(&request) else {
            return BinderAnswer::Unknown(ErrorKind::BindingLost);
        };
        if key.binding == *refused {
            key.closed.get_or_insert(kind);
        }
        key.answer()
    }

    /// Whether this node was the key's binder for the whole repeat window, as far as it knows, so
    /// that a key that is not stored has no binding.
    pub fn is_authoritative(&self, now: Moment, request: RequestId) -> bool {
        let retention = self.limits.retention;
        let local = (weight(request, &self.local), &self.local);
        let older = |at: Moment| now.since(at) >= retention;
        let before = |member: &InstanceId| (weight(request, member), member) > local;
        let took_over = self.departed.iter().any(|(member, at)| !older(*at) && before(member));
        older(self.started) && self.overflowed_at.is_none_or(older) && !took_over
    }

    /// Number of stored keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn mint(&mut self, now: Moment, request: RequestId, binding: Binding) -> BinderAnswer {
        let key = BoundKey { binding: binding.clone(), bound_at: now, closed: None };
        if self.keys.insert(request, key).is_none() {
            self.queue.push_back(QueuedKey { request, at: now });
        }
        BinderAnswer::Bound(binding)
    }

    fn drop_expired(&mut self, now: Moment) {
        let retention = self.limits.retention;
        self.departed.retain(|_, left| now.since(*left) < retention);
        while self.queue.front().is_some_and(|first| now.since(first.at) >= retention) {
            let Some(first) = self.queue.pop_front() else { return };
            let bound_at = self.keys.get(&first.request).map(|key| key.bound_at);
            match bound_at {
                // Bound again since it was queued, so it stays for another repeat window.
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
