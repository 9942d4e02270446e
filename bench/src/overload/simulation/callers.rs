//! Callers: they make requests, send them again hard, and give up at their deadline.

use std::time::Duration;

use poplar_core::{Rank, RequestId};

use super::state::{Event, NodeIdx, Request, RequestIdx, Sender};
use super::{BUDGET, RESEND_PAUSE, RESENDS, Simulation};
use crate::overload::deployment::ClassIdx;
use crate::overload::queue::Policy;

impl Simulation<'_> {
    /// A caller makes a request, and the next caller is scheduled.
    pub(super) fn create_request(&mut self) {
        let now = self.events.now();
        let load = if self.shape.is_surging(now) { self.shape.surge } else { self.shape.calm };
        let gap = self.rng.exponential(1.0 / (load * self.deployment.capacity()));
        self.events.schedule(Duration::from_secs_f64(gap), Event::NewRequest);
        let class = self.draw_class();
        let id = RequestId(u128::from(self.rng.next()) << 64 | u128::from(self.rng.next()));
        let spec = self.deployment.class(class);
        let request = RequestIdx(self.requests.len());
        self.requests.push(Request {
            rank: Rank::of(spec.importance, id),
            class,
            entry: NodeIdx(self.rng.below(self.nodes.len())),
            created: now,
            sends: 0,
            resends: 0,
            extra_sends: 0,
            call: None,
            finished: false,
        });
        self.stats.record_offered(now, class);
        let deadline = Duration::from_millis(spec.deadline_ms);
        self.events.schedule(deadline, Event::Expire(request));
        self.events.schedule(self.client_latency(), Event::EnterNode(request));
    }

    fn draw_class(&mut self) -> ClassIdx {
        let mut lot = self.rng.below(100) as u32;
        for class in self.deployment.class_indices() {
            let share = self.deployment.class(class).load_percent;
            if lot < share {
                return class;
            }
            lot -= share;
        }
        ClassIdx(0)
    }

    /// A request, or a caller's re-send of it, comes to its entry.
    pub(super) fn enter_node(&mut self, idx: RequestIdx) {
        let now = self.events.now();
        let request = &mut self.requests[idx.0];
        if request.finished {
            return;
        }
        let again = request.sends > 0;
        request.sends += 1;
        let (class, entry) = (request.class, request.entry);
        if again && !self.take_resend(idx) {
            return self.send_result(idx, false);
        }
        if self.policy == Policy::Bridge && self.would_be_refused(now, entry, class, idx) {
            self.check_refusal(idx, class);
            return self.send_result(idx, false);
        }
        self.send(idx, class, Sender::Entry, 0);
    }

    /// Takes one unit of the request's budget; without poplarbridge there is none to respect.
    pub(super) fn take_resend(&mut self, idx: RequestIdx) -> bool {
        let request = &mut self.requests[idx.0];
        if self.policy == Policy::Bridge && request.extra_sends >= BUDGET {
            return false;
        }
        request.extra_sends += 1;
        self.stats.record_resends(request.extra_sends);
        true
    }

    pub(super) fn send_result(&mut self, request: RequestIdx, succeeded: bool) {
        self.events.schedule(self.client_latency(), Event::Result { request, succeeded });
    }

    /// The caller has an answer: it is content, or sends again at once if it still can.
    pub(super) fn receive_result(&mut self, idx: RequestIdx, succeeded: bool) {
        let pause = Duration::from_micros((self.rng.unit() * RESEND_PAUSE) as u64);
        let way = self.client_latency();
        let request = &mut self.requests[idx.0];
        if request.finished {
            return;
        }
        if succeeded {
            request.finished = true;
            self.stats.record_succeeded(request.created, request.class);
        } else if request.resends < RESENDS {
            request.resends += 1;
            self.events.schedule(pause + way, Event::EnterNode(idx));
        }
    }

    /// The answer is of no use any more; with poplarbridge the whole chain is cancelled.
    pub(super) fn expire(&mut self, idx: RequestIdx) {
        let request = &mut self.requests[idx.0];
        request.finished = true;
        let Some(call) = request.call else { return };
        if self.policy == Policy::Bridge {
            self.cancel(call);
        }
    }
}
