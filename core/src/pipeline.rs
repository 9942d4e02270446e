//! HTTP pipelining: which requests of a connection may be started before the requests in front of
//! them are answered, and how much may be read ahead.
//!
//! A server that answers the requests of a connection one after the other makes a client that sends
//! several at once wait for the sum of their times. Requests that may run more than once are
//! therefore started while one in front of them is in progress. See
//! [pipelining](../../docs/design/pipelining.md).

use crate::rules::CallerLimits;

/// Requests that may be started ahead on one connection. Clients that pipeline send a few requests
/// at a time; the limit keeps one connection from filling the slots of a service.
const CONNECTION_REQUESTS: usize = 32;
/// Bytes that may be read ahead on one connection: 32 heads of 4 KiB.
const CONNECTION_BYTES: usize = 128 << 10;
/// Requests that may be started ahead in the process; several times what a node of half a core has
/// in progress at once.
const PROCESS_REQUESTS: usize = 1_024;
/// Divisor of the memory of the process that gives the bytes that may be read ahead in it.
const PROCESS_MEMORY_DIVISOR: u64 = 32;

/// Limits on what is read ahead.
#[derive(Debug, Clone, Copy)]
pub struct PipelineLimits {
    /// Requests that may be started ahead on one connection.
    pub connection_requests: usize,
    /// Bytes that may be read ahead on one connection.
    pub connection_bytes: usize,
    /// Requests that may be started ahead on all connections.
    pub process_requests: usize,
    /// Bytes that may be read ahead on all connections.
    pub process_bytes: usize,
}

impl PipelineLimits {
    /// Limits for a process that may use `memory` bytes.
    pub fn for_memory(memory: u64) -> Self {
        Self {
            connection_requests: CONNECTION_REQUESTS,
            connection_bytes: CONNECTION_BYTES,
            process_requests: PROCESS_REQUESTS,
            process_bytes: usize::try_from(memory / PROCESS_MEMORY_DIVISOR).unwrap_or(usize::MAX),
        }
    }
}

/// What all connections of a process have read ahead.
#[derive(Debug)]
pub struct PipelineBudget {
    limits: PipelineLimits,
    requests: usize,
    bytes: usize,
}

impl PipelineBudget {
    /// Budget of which nothing is used.
    pub fn new(limits: PipelineLimits) -> Self {
        Self { limits, requests: 0, bytes: 0 }
    }

    /// Limits of the budget.
    pub fn limits(&self) -> PipelineLimits {
        self.limits
    }

    /// Requests that were started ahead and that the server has not reached yet.
    pub fn requests(&self) -> usize {
        self.requests
    }

    /// Bytes that were read ahead and not yet passed to the server.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Replaces the `before` bytes that a connection holds by `after`.
    pub fn change_bytes(&mut self, before: usize, after: usize) {
        self.bytes = (self.bytes + after).saturating_sub(before);
    }

    /// Whether `more` bytes may be held.
    pub fn has_room(&self, more: usize) -> bool {
        self.bytes + more <= self.limits.process_bytes
    }

    /// Returns `requests` that were started ahead, because the server reached or cancelled them.
    pub fn release_requests(&mut self, requests: usize) {
        self.requests = self.requests.saturating_sub(requests);
    }
}

/// What decides about a request whose whole head was read.
#[derive(Debug, Clone, Copy)]
pub struct PipelinedHead {
    /// Whether the route of the request may run more than once.
    pub repeatable: bool,
    /// Whether the request consists of its head alone, without a body, an upgrade or an
    /// expectation.
    pub plain: bool,
    /// Whether the connection closes after the answer, because the client asked for it or speaks a
    /// version of HTTP without pipelining.
    pub last: bool,
    /// Size of the head.
    pub bytes: usize,
}

/// Whether a request is started ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// It is started now.
    Start,
    /// It may be started later: a limit is reached, or the process is stopping.
    Wait,
    /// It and those behind it wait until the server has reached it in sequence.
    InSequence,
}

/// Decisions on the requests of one connection.
#[derive(Debug)]
pub struct Pipeline {
    limits: PipelineLimits,
    /// Largest head that is started ahead; none on a connection that closes after its first answer.
    head_bytes: Option<usize>,
    /// Requests that were started ahead and that the server has not reached yet.
    started: usize,
    /// Whether the request behind the last one that was read may be started ahead.
    open: bool,
}

impl Pipeline {
    /// Pipeline of a new connection. One without `callers`, the operator's limits, closes after its
    /// first answer.
    pub fn new(limits: PipelineLimits, callers: Option<&CallerLimits>) -> Self {
        let head_bytes = callers.map(|limits| limits.head);
        Self { limits, head_bytes, started: 0, open: false }
    }

    /// Records that the server has reached a request that was not started ahead.
    ///
    /// Only requests that may run more than once are started behind it: a client that sends a
    /// request behind one that must not run twice may rely on the effect of the first.
    pub fn begin(&mut self, head: PipelinedHead) {
        self.open = self.allows(head) && !head.last;
    }

    /// Decides whether the next complete head is started ahead, and records it if it is.
    pub fn decide(
        &mut self,
        head: PipelinedHead,
        stopping: bool,
        budget: &mut PipelineBudget,
    ) -> StartDecision {
        if !self.open || !self.allows(head) {
            self.open = false;
            return StartDecision::InSequence;
        }
        let full = self.started >= self.limits.connection_requests
            || budget.requests >= budget.limits.process_requests;
        if stopping || full {
            return StartDecision::Wait;
        }
        self.started += 1;
        budget.requests += 1;
        self.open = !head.last;
        StartDecision::Start
    }

    /// Records that the next request cannot be parsed, so that only the server may handle it.
    pub fn stop(&mut self) {
        self.open = false;
    }

    /// Records that the server has reached the first request that was started ahead.
    pub fn take_over(&mut self, budget: &mut PipelineBudget) {
        self.started = self.started.saturating_sub(1);
        budget.release_requests(1);
    }

    /// Records that all requests that were started ahead are cancelled.
    pub fn cancel(&mut self, budget: &mut PipelineBudget) {
        budget.release_requests(self.started);
        self.started = 0;
        self.open = false;
    }

    /// Whether the next complete head may be started.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Number of requests that were started ahead and that the server has not reached yet.
    pub fn started(&self) -> usize {
        self.started
    }

    /// Number of bytes that may be read in addition to the `held` ones.
    pub fn read_room(&self, held: usize, budget: &PipelineBudget) -> usize {
        // Two heads fit in any case, so that one large head does not stop the reading.
        let limit = self.limits.connection_bytes.max(2 * self.head_bytes.unwrap_or(0));
        let process = budget.limits.process_bytes.saturating_sub(budget.bytes);
        limit.saturating_sub(held).min(process)
    }

    /// Whether the answer to the request that the server has reached closes the connection.
    ///
    /// An answer with requests behind it that were started does not, since a client treats requests
    /// behind a closing answer as not read and sends them again.
    pub fn may_close(&self, stopping: bool) -> bool {
        self.started == 0 && (stopping || self.head_bytes.is_none())
    }

    fn allows(&self, head: PipelinedHead) -> bool {
        head.repeatable && head.plain && self.head_bytes.is_some_and(|limit| head.bytes <= limit)
    }
}
