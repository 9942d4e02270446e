//! Callers: they make requests, send them again hard, and give up at their deadline.

use std::time::Duration;

use poplar_core::{Rank, RequestId};

use super::state::{Event, NodeIdx, Root, RootIdx, Sender};
use super::{BUDGET, RESEND_PAUSE, RESENDS, World};
use crate::overload::deployment::ClassIdx;
use crate::overload::gate::Policy;

impl World<'_> {
    /// A caller makes a request, and the next caller is scheduled.
    pub(super) fn offer(&mut self) {
        let now = self.agenda.now();
        let load = if self.shape.is_surging(now) { self.shape.surge } else { self.shape.calm };
        let gap = self.rng.exponential(1.0 / (load * self.deployment.capacity()));
        self.agenda.schedule(Duration::from_secs_f64(gap), Event::Offer);
        let class = self.draw_class();
        let id = RequestId(u128::from(self.rng.next()) << 64 | u128::from(self.rng.next()));
        let spec = self.deployment.class(class);
        let root = RootIdx(self.roots.len());
        self.roots.push(Root {
            rank: Rank::of(spec.importance, id),
            class,
            entry: NodeIdx(self.rng.below(self.nodes.len())),
            born: now,
            sends: 0,
            resends: 0,
            extra: 0,
            call: None,
            over: false,
        });
        self.tally.offered(now, class);
        let deadline = Duration::from_millis(spec.deadline_ms);
        self.agenda.schedule(deadline, Event::Expire(root));
        self.agenda.schedule(self.client_way(), Event::Enter(root));
    }

    fn draw_class(&mut self) -> ClassIdx {
        let mut lot = self.rng.below(100) as u32;
        for class in self.deployment.class_indices() {
            let share = self.deployment.class(class).share;
            if lot < share {
                return class;
            }
            lot -= share;
        }
        ClassIdx(0)
    }

    /// A request, or a caller's re-send of it, comes to its entry.
    pub(super) fn enter(&mut self, idx: RootIdx) {
        let now = self.agenda.now();
        let root = &mut self.roots[idx.0];
        if root.over {
            return;
        }
        let again = root.sends > 0;
        root.sends += 1;
        let (class, entry) = (root.class, root.entry);
        if again && !self.may_resend(idx) {
            return self.tell(idx, false);
        }
        if self.policy == Policy::Bridge && self.is_doomed(now, entry, class, idx) {
            self.check_refusal(idx, class);
            return self.tell(idx, false);
        }
        self.send(idx, class, Sender::Entry, 0);
    }

    /// Takes one unit of the request's budget; without poplarbridge there is none to respect.
    pub(super) fn may_resend(&mut self, idx: RootIdx) -> bool {
        let root = &mut self.roots[idx.0];
        if self.policy == Policy::Bridge && root.extra >= BUDGET {
            return false;
        }
        root.extra += 1;
        self.tally.resent(root.extra);
        true
    }

    pub(super) fn tell(&mut self, root: RootIdx, whole: bool) {
        self.agenda.schedule(self.client_way(), Event::Told { root, whole });
    }

    /// The caller has an answer: it is content, or sends again at once if it still can.
    pub(super) fn told(&mut self, idx: RootIdx, whole: bool) {
        let pause = Duration::from_micros((self.rng.unit() * RESEND_PAUSE) as u64);
        let way = self.client_way();
        let root = &mut self.roots[idx.0];
        if root.over {
            return;
        }
        if whole {
            root.over = true;
            self.tally.completed(root.born, root.class);
        } else if root.resends < RESENDS {
            root.resends += 1;
            self.agenda.schedule(pause + way, Event::Enter(idx));
        }
    }

    /// The answer is of no use any more; with poplarbridge the whole chain is cancelled.
    pub(super) fn expire(&mut self, idx: RootIdx) {
        let root = &mut self.roots[idx.0];
        root.over = true;
        let Some(call) = root.call else { return };
        if self.policy == Policy::Bridge {
            self.cancel(call);
        }
    }
}
