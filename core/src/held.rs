//! Runs that continue after the connection of their call is lost, until the caller claims them.
//!
//! A call that must not run twice can't be sent to another target when its connection breaks. Its
//! run continues, and the caller claims the result over a new connection. See
//! [silent connections](../../docs/design/silent-connections.md).

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Moment;

/// Identifier of a connection between two nodes: a random number chosen by the end that makes the
/// calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LinkId(pub u64);

/// Identifier of a call: the connection over which it was sent, and its number on that connection.
/// Later calls have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// Connection over which the call was sent.
    pub link: LinkId,
    /// Number of the call on that connection.
    pub number: u32,
}

/// Bounds of [`HeldRuns`].
#[derive(Debug, Clone, Copy)]
pub struct HeldLimits {
    /// Time for which an answer is kept after its run finished, and for which a run is kept after
    /// its connection closed and its call was last claimed.
    pub retention: Duration,
    /// Maximum size in bytes of all kept answers.
    pub bytes: usize,
}

/// Status of a call at the target's node, returned to a caller that claims it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult<A> {
    /// The call is running; claim it again after a run has ended, and within the retention time
    /// meanwhile.
    Running,
    /// The call ran; this is its answer.
    Done(A),
    /// The call has not arrived, and it won't run if it arrives later.
    NotRun,
    /// The call may have run: its answer is no longer kept, or its connection is not known.
    Unknown,
}

/// Runs and their answers, by the connection over which their calls arrived.
///
/// `A` is an answer, `H` a handle that stops a run.
#[derive(Debug)]
pub struct HeldRuns<A, H> {
    limits: HeldLimits,
    links: HashMap<LinkId, LinkRuns<A, H>>,
    answers: VecDeque<KeptAnswer>,
    bytes: usize,
}

#[derive(Debug)]
struct LinkRuns<A, H> {
    /// Highest number of a call that arrived.
    highest_number: Option<u32>,
    /// Time since which no more calls are accepted from the connection.
    closed_at: Option<Moment>,
    runs: HashMap<u32, Run<A, H>>,
}

#[derive(Debug)]
enum Run<A, H> {
    Running(ActiveRun<H>),
    Done(A),
}

#[derive(Debug)]
struct ActiveRun<H> {
    handle: H,
    /// When the call was last claimed.
    claimed_at: Option<Moment>,
}

/// Entry in the queue of kept answers, which is ordered by time of finish.
#[derive(Debug)]
struct KeptAnswer {
    call: CallId,
    finished_at: Moment,
    bytes: usize,
}

impl<A: Clone, H> HeldRuns<A, H> {
    /// Creates a table without connections.
    pub fn new(limits: HeldLimits) -> Self {
        Self { limits, links: HashMap::new(), answers: VecDeque::new(), bytes: 0 }
    }

    /// Adds a new connection.
    pub fn open_link(&mut self, link: LinkId) {
        let runs = LinkRuns { highest_number: None, closed_at: None, runs: HashMap::new() };
        self.links.insert(link, runs);
    }

    /// Records that a call arrived, and returns whether it may run. It must not run if its
    /// connection is unknown, or if calls are no longer accepted from it, because the caller may
    /// have received [`ClaimResult::NotRun`] for the call.
    pub fn record_arrival(&mut self, call: CallId) -> bool {
        let Some(link) = self.links.get_mut(&call.link) else { return false };
        link.highest_number = link.highest_number.max(Some(call.number));
        link.closed_at.is_none()
    }

    /// Adds the run of a call that arrived.
    pub fn insert(&mut self, call: CallId, handle: H) {
        if let Some(link) = self.links.get_mut(&call.link) {
            let run = ActiveRun { handle, claimed_at: None };
            link.runs.insert(call.number, Run::Running(run));
        }
    }

    /// Stores the answer of a run that was added; `bytes` is its size.
    pub fn finish(&mut self, now: Moment, call: CallId, answer: A, bytes: usize) {
        let link = self.links.get_mut(&call.link);
        let Some(run) = link.and_then(|link| link.runs.get_mut(&call.number)) else { return };
        *run = Run::Done(answer);
        self.bytes += bytes;
        self.answers.push_back(KeptAnswer { call, finished_at: now, bytes });
        self.evict_answers(now);
    }

    /// Removes a call whose caller left, and returns the handle of its run if it is still running.
    pub fn cancel(&mut self, call: CallId) -> Option<H> {
        match self.links.get_mut(&call.link)?.runs.remove(&call.number)? {
            Run::Running(run) => Some(run.handle),
            Run::Done(_) => None,
        }
    }

    /// Records that a connection closed; its runs continue.
    pub fn close_link(&mut self, now: Moment, link: LinkId) {
        if let Some(link) = self.links.get_mut(&link) {
            link.closed_at.get_or_insert(now);
        }
    }

    /// Returns the status of a call whose caller lost the connection.
    ///
    /// From then on, no more calls are accepted from that connection, since calls that have not
    /// arrived yet may be reported as not run.
    pub fn claim(&mut self, now: Moment, call: CallId) -> ClaimResult<A> {
        let Some(link) = self.links.get_mut(&call.link) else { return ClaimResult::Unknown };
        link.closed_at.get_or_insert(now);
        match link.runs.get_mut(&call.number) {
            Some(Run::Running(run)) => {
                run.claimed_at = Some(now);
                ClaimResult::Running
            }
            Some(Run::Done(answer)) => ClaimResult::Done(answer.clone()),
            None if link.highest_number < Some(call.number) => ClaimResult::NotRun,
            None => ClaimResult::Unknown,
        }
    }

    /// Removes answers, runs and connections whose retention time is over, and returns the handles
    /// of the runs among them. A run whose caller still claims it continues.
    pub fn expire(&mut self, now: Moment) -> Vec<H> {
        self.evict_answers(now);
        let is_over = |since: Moment| now.since(since) >= self.limits.retention;
        let mut stopped = Vec::new();
        self.links.retain(|_, link| {
            if link.closed_at.is_none_or(|closed| !is_over(closed)) {
                return true;
            }
            // Answers are removed when they are evicted.
            let expired = link.runs.extract_if(|_, run| match run {
                Run::Running(run) => run.claimed_at.is_none_or(is_over),
                Run::Done(_) => false,
            });
            stopped.extend(expired.filter_map(|(_, run)| match run {
                Run::Running(run) => Some(run.handle),
                Run::Done(_) => None,
            }));
            !link.runs.is_empty()
        });
        stopped
    }

    /// Number of connections in the table.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// Size in bytes of all kept answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Removes the oldest answers until all are within the size limit and the retention time.
    fn evict_answers(&mut self, now: Moment) {
        let HeldLimits { retention, bytes } = self.limits;
        let evictable = |answer: &KeptAnswer, total: usize| {
            total > bytes || now.since(answer.finished_at) >= retention
        };
        while self.answers.front().is_some_and(|answer| evictable(answer, self.bytes)) {
            let Some(answer) = self.answers.pop_front() else { return };
            self.bytes -= answer.bytes;
            if let Some(link) = self.links.get_mut(&answer.call.link) {
                link.runs.remove(&answer.call.number);
            }
        }
    }
}
