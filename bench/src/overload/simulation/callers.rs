//! Simulated callers, which send requests, re-send them up to [`RESENDS`] times after short pauses,
//! and give up at the deadline.

use std::time::Duration;

use poplar_core::{Rank, RequestId};

use super::state::{Event, NodeIdx, Request, RequestIdx, Sender};
use super::{BUDGET, RESEND_PAUSE, RESENDS, Simulation};
use crate::overload::deployment::ClassIdx;
use crate::overload::queue::Policy;

impl Simulation<'_> {
    /// Creates a request of a caller and schedules the next one.
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
        let mut draw = self.rng.below(100) as u32;
        for class in self.deployment.class_indices() {
            let percent = self.deployment.class(class).load_percent;
            if draw < percent {
                return class;
            }
            draw -= percent;
        }
        ClassIdx(0)
    }

    /// Handles a request, or a caller's re-send of it, at its entry node.
    pub(super) fn enter_node(&mut self, idx: RequestIdx) {
        let now = self.events.now();
        let request = &mut self.requests[idx.0];
        if request.finished {
            return;
        }
        let is_resend = request.sends > 0;
        request.sends += 1;
        let (class, entry) = (request.class, request.entry);
        if is_resend && !self.take_resend(idx) {
            return self.send_result(idx, false);
        }
        if self.policy == Policy::Bridge && self.would_be_refused(now, entry, class, idx) {
            self.check_refusal(idx, class);
            return self.send_result(idx, false);
        }
        self.send(idx, class, Sender::Entry, 0);
    }

    /// Takes one re-send from the request's budget; returns false if none is left. Without
    /// poplarbridge re-sends are counted but have no budget.
    pub(super) fn take_resend(&mut self, idx: RequestIdx) -> bool {
        let request = &mut self.requests[idx.0];
        if self.policy == Policy::Bridge && request.extra_sends >= BUDGET {
            return false;
        }
        request.extra_sends += 1;
        self.stats.record_resends(request.extra_sends);
        true
    }

    /// Sends the result of a request to its caller.
    pub(super) fn send_result(&mut self, request: RequestIdx, succeeded: bool) {
        self.events.schedule(self.client_latency(), Event::Result { request, succeeded });
    }

    /// Handles a result at the caller, which sends a failed request again after a short pause if it
    /// has re-sends left.
    pub(super) fn receive_result(&mut self, idx: RequestIdx, succeeded: bool) {
        let pause = Duration::from_micros((self.rng.unit() * RESEND_PAUSE) as u64);
        let latency = self.client_latency();
        let request = &mut self.requests[idx.0];
        if request.finished {
            return;
        }
        if succeeded {
            request.finished = true;
            self.stats.record_succeeded(request.created, request.class);
        } else if request.resends < RESENDS {
            request.resends += 1;
            self.events.schedule(pause + latency, Event::EnterNode(idx));
        }
    }

    /// Ends a request at its deadline, after which its answer has no use; with poplarbridge, also
    /// cancels its whole chain of calls.
    pub(super) fn expire(&mut self, idx: RequestIdx) {
        let request = &mut self.requests[idx.0];
        request.finished = true;
        let Some(call) = request.call else { return };
        if self.policy == Policy::Bridge {
            self.cancel(call);
        }
    }
}
