//! Runs that outlive the connection that brought them, until their caller asks for them.
//!
//! A call that must not run twice can't go elsewhere when its connection breaks. Its run goes on, and
//! the caller asks over a new connection what became of it. See
//! [silent connections](../../docs/design/silent-connections.md).

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Moment;

/// Connection between two nodes, by a number that its calling end draws.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LinkId(pub u64);

/// Call by the connection that it came over and its number there; later calls have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// Connection.
    pub link: LinkId,
    /// Number on it.
    pub number: u32,
}

/// Bounds of [`HeldRuns`].
#[derive(Debug, Clone, Copy)]
pub struct HeldLimits {
    /// Time for which an answer is kept, and a run whose connection ended goes on unasked for.
    pub retention: Duration,
    /// Most bytes of kept answers.
    pub bytes: usize,
}

/// What became of a call, as far as the node beside its target knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult<A> {
    /// It runs; ask again once something ended.
    Running,
    /// It ran, and this is its answer.
    Done(A),
    /// It never came, and won't run if it still comes.
    NotRun,
    /// It may have run: its answer is not kept any more, or its connection is not known.
    Unknown,
}

/// Runs by the connection that they came over; `H` stops a run.
#[derive(Debug)]
pub struct HeldRuns<A, H> {
    limits: HeldLimits,
    links: HashMap<LinkId, LinkRuns<A, H>>,
    answers: VecDeque<KeptAnswer>,
    bytes: usize,
}

#[derive(Debug)]
struct LinkRuns<A, H> {
    /// Highest number that came.
    highest_number: Option<u32>,
    /// Moment since which nothing more is taken from the connection.
    closed_at: Option<Moment>,
    runs: HashMap<u32, Run<A, H>>,
}

#[derive(Debug)]
enum Run<A, H> {
    Running(H),
    Done(A),
}

/// Answer in the order in which it was kept.
#[derive(Debug)]
struct KeptAnswer {
    call: CallId,
    finished_at: Moment,
    bytes: usize,
}

impl<A: Clone, H> HeldRuns<A, H> {
    /// Table without a connection.
    pub fn new(limits: HeldLimits) -> Self {
        Self { limits, links: HashMap::new(), answers: VecDeque::new(), bytes: 0 }
    }

    /// Notes a new connection.
    pub fn open_link(&mut self, link: LinkId) {
        let runs = LinkRuns { highest_number: None, closed_at: None, runs: HashMap::new() };
        self.links.insert(link, runs);
    }

    /// Notes that a call came; false if its caller was told that it never will, so that it must
    /// not run.
    pub fn record_arrival(&mut self, call: CallId) -> bool {
        let Some(link) = self.links.get_mut(&call.link) else { return false };
        link.highest_number = link.highest_number.max(Some(call.number));
        link.closed_at.is_none()
    }

    /// Holds the run of a call that came.
    pub fn insert(&mut self, call: CallId, handle: H) {
        if let Some(link) = self.links.get_mut(&call.link) {
            link.runs.insert(call.number, Run::Running(handle));
        }
    }

    /// Keeps the answer of a run that is held, `bytes` long.
    pub fn finish(&mut self, now: Moment, call: CallId, answer: A, bytes: usize) {
        let link = self.links.get_mut(&call.link);
        let Some(run) = link.and_then(|link| link.runs.get_mut(&call.number)) else { return };
        *run = Run::Done(answer);
        self.bytes += bytes;
        self.answers.push_back(KeptAnswer { call, finished_at: now, bytes });
        self.evict_answers(now);
    }

    /// Lets go of a call whose caller left, and gives what stops its run.
    pub fn cancel(&mut self, call: CallId) -> Option<H> {
        match self.links.get_mut(&call.link)?.runs.remove(&call.number)? {
            Run::Running(handle) => Some(handle),
            Run::Done(_) => None,
        }
    }

    /// Notes that a connection ended; what is held goes on.
    pub fn close_link(&mut self, now: Moment, link: LinkId) {
        if let Some(link) = self.links.get_mut(&link) {
            link.closed_at.get_or_insert(now);
        }
    }

    /// Tells what became of a call whose caller lost the connection.
    ///
    /// Nothing more is taken from that connection, since calls that still wait in it may be told
    /// not run.
    pub fn claim(&mut self, now: Moment, call: CallId) -> ClaimResult<A> {
        let Some(link) = self.links.get_mut(&call.link) else { return ClaimResult::Unknown };
        link.closed_at.get_or_insert(now);
        match link.runs.get(&call.number) {
            Some(Run::Running(_)) => ClaimResult::Running,
            Some(Run::Done(answer)) => ClaimResult::Done(answer.clone()),
            None if link.highest_number < Some(call.number) => ClaimResult::NotRun,
            None => ClaimResult::Unknown,
        }
    }

    /// Forgets what nobody asked for in time, and gives what stops the runs among it.
    pub fn expire(&mut self, now: Moment) -> Vec<H> {
        self.evict_answers(now);
        let retention = self.limits.retention;
        let mut stopped = Vec::new();
        self.links.retain(|_, link| {
            let over = link.closed_at.is_some_and(|ended| now.since(ended) >= retention);
            if over {
                let runs = link.runs.drain().map(|(_, run)| run);
                stopped.extend(runs.filter_map(|run| match run {
                    Run::Running(handle) => Some(handle),
                    Run::Done(_) => None,
                }));
            }
            !over
        });
        stopped
    }

    /// Connections of which something is known.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// Bytes of kept answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn evict_answers(&mut self, now: Moment) {
        let HeldLimits { retention, bytes } = self.limits;
        let over = |kept: &KeptAnswer, held: usize| {
            held > bytes || now.since(kept.finished_at) >= retention
        };
        while self.answers.front().is_some_and(|kept| over(kept, self.bytes)) {
            let Some(kept) = self.answers.pop_front() else { return };
            self.bytes -= kept.bytes;
            if let Some(link) = self.links.get_mut(&kept.call.link) {
                link.runs.remove(&kept.call.number);
            }
        }
    }
}
