//! Budgets of requests that callers may send again, through this entry or another one.
//!
//! The ledger of a request id lies at its keeper, the serving member of the class's service with
//! the largest weight for the id. See [retries](../../docs/design/retries.md).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Budget, Call, ErrorKind, InstanceId, Ledger, Moment, Name, OpenRequest, Opening, Outcome, Peer,
    RequestId, Run, keeper,
};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use poplar_wire::Answer;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::directory::Directory;
use crate::links::Links;

/// Path of questions to a keeper.
pub(crate) const OPEN_PATH: &str = "/budget/open";
/// Path of what runs left.
pub(crate) const CLOSE_PATH: &str = "/budget/close";
/// Time for which a request id is remembered after its last use.
const WINDOW: Duration = Duration::from_secs(10);
/// Most request ids remembered, each of some 100 bytes.
const CAPACITY: usize = 16_384;
/// Time for which a keeper may be silent before another member stands in.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(100);

/// Question of an entry to a keeper.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OpenMessage {
    service: Name,
    ask: OpenRequest,
    /// Whether the keeper did not answer and the receiver is to stand in for it.
    stand_in: bool,
}

/// Answer to it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum OpenReply {
    /// Answer of the keeper.
    Opened(Opening),
    /// Another member is the keeper.
    Elsewhere(Peer),
}

/// What a run left, on its way back to the keeper.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CloseMessage {
    request: RequestId,
    run: Run,
}

/// Why a request is not sent on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shut {
    pub(crate) kind: ErrorKind,
    /// Whether an earlier send of the request may have run.
    pub(crate) ran: bool,
}

/// Service that keeps budgets, and asks other keepers for theirs.
pub(crate) struct Budgets {
    clock: Clock,
    own: Peer,
    directory: Arc<Directory>,
    links: Arc<Links>,
    state: Mutex<State>,
}

struct State {
    ledger: Ledger,
    /// Members of the own service that served when last looked at.
    serving: BTreeSet<InstanceId>,
}

/// Budget of a run at this entry; it goes back to the keeper in any case.
pub(crate) struct Held {
    budgets: Arc<Budgets>,
    keeper: Peer,
    request: RequestId,
    number: u32,
    call: Call,
    budget: Mutex<Budget>,
    outcome: Option<Outcome<()>>,
}

impl Budgets {
    /// Service that finds what it needs in `registry`.
    pub(crate) fn new(clock: Clock, own: Peer, registry: &Registry) -> Result<Self, RegistryError> {
        let ledger = Ledger::new(clock.now(), WINDOW, CAPACITY);
        let state = Mutex::new(State { ledger, serving: BTreeSet::new() });
        let directory = registry.find("directory")?;
        Ok(Self { clock, own, directory, links: registry.find("links")?, state })
    }

    /// Asks the keeper for the budget of a request of `service`.
    pub(crate) async fn open(
        self: &Arc<Self>,
        service: &Name,
        ask: OpenRequest,
    ) -> Result<Held, Shut> {
        let request = ask.request;
        let members = self.directory.serving(service);
        let first = keeper(request, members.iter().map(|member| &member.instance)).cloned();
        let peer_of = |id: &InstanceId| {
            members.iter().find(|member| member.instance == *id).map(|member| member.peer())
        };
        let first = first.as_ref().and_then(peer_of);
        let first = first.ok_or(Shut { kind: ErrorKind::NoTarget, ran: false })?;
        let message = OpenMessage { service: service.clone(), ask, stand_in: false };
        if let Some((keeper, opening)) = self.ask_keeper(first.clone(), &message).await {
            return self.hold(keeper, request, opening);
        }
        // Whoever stands in knows nothing of the id, so it grants no units.
        let ask = OpenRequest { retries: 0, ..message.ask };
        let message = OpenMessage { ask, stand_in: true, ..message };
        let others = members.iter().map(|member| &member.instance);
        let second = keeper(request, others.filter(|id| **id != first.instance));
        let lost = Shut { kind: ErrorKind::Connection, ran: true };
        let second = second.and_then(peer_of).ok_or(lost)?;
        match self.exchange(&second, &message).await {
            Some(OpenReply::Opened(opening)) => self.hold(second, request, opening),
            _ => Err(lost),
        }
    }

    /// Answers an entry.
    pub(crate) fn answer(&self, message: &OpenMessage) -> OpenReply {
        let now = self.clock.now();
        let members = self.directory.serving(&message.service);
        let mut state = self.lock();
        let serving = members.iter().map(|member| member.instance.clone()).collect();
        state.note_gone(now, &self.own.instance, serving);
        let ids = members.iter().map(|member| &member.instance);
        let keeper = keeper(message.ask.request, ids);
        let keeper = keeper.filter(|id| !message.stand_in && **id != self.own.instance);
        match members.iter().find(|member| Some(&member.instance) == keeper) {
            Some(member) => OpenReply::Elsewhere(member.peer()),
            None => OpenReply::Opened(state.ledger.open(now, &message.ask)),
        }
    }

    /// Takes back what a run left.
    pub(crate) fn take_back(&self, message: CloseMessage) {
        let now = self.clock.now();
        self.lock().ledger.close(now, message.request, message.run);
    }

    /// Asks `first`, and the member that it names if that one is the keeper.
    async fn ask_keeper(&self, first: Peer, message: &OpenMessage) -> Option<(Peer, Opening)> {
        match self.exchange(&first, message).await? {
            OpenReply::Opened(opening) => Some((first, opening)),
            OpenReply::Elsewhere(keeper) => match self.exchange(&keeper, message).await? {
                OpenReply::Opened(opening) => Some((keeper, opening)),
                OpenReply::Elsewhere(_) => None,
            },
        }
    }

    async fn exchange(&self, to: &Peer, message: &OpenMessage) -> Option<OpenReply> {
        if to.instance == self.own.instance {
            return Some(self.answer(message));
        }
        let peer: SocketAddr = to.address.parse().ok()?;
        let exchange = self.links.exchange(peer, OPEN_PATH, message);
        tokio::time::timeout(KEEPER_TIMEOUT, exchange).await.ok()?.ok()
    }

    fn hold(
        self: &Arc<Self>,
        keeper: Peer,
        request: RequestId,
        opening: Opening,
    ) -> Result<Held, Shut> {
        let mut run = match opening {
            Opening::Run(run) => run,
            Opening::Running => return Err(Shut { kind: ErrorKind::Overload, ran: true }),
            Opening::Spent { ran } => return Err(Shut { kind: ErrorKind::RetriesSpent, ran }),
            Opening::Full => return Err(Shut { kind: ErrorKind::Overload, ran: false }),
        };
        let ran = run.call.may_have_run();
        let paid = run.prepay();
        let Run { number, budget, call } = run;
        let (budgets, budget) = (self.clone(), Mutex::new(budget));
        let held = Held { budgets, keeper, request, number, call, budget, outcome: None };
        paid.map(|()| held).map_err(|_| Shut { kind: ErrorKind::RetriesSpent, ran })
    }

    /// Sends back what a run left; if that is lost, the run counts as lost at its deadline.
    fn give_back(self: &Arc<Self>, to: Peer, message: CloseMessage) {
        if to.instance == self.own.instance {
            return self.take_back(message);
        }
        let this = self.clone();
        tokio::spawn(async move {
            let Ok(peer) = to.address.parse::<SocketAddr>() else { return };
            let exchange = this.links.exchange::<_, ()>(peer, CLOSE_PATH, &message);
            let _ = tokio::time::timeout(KEEPER_TIMEOUT, exchange).await;
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn note_gone(&mut self, now: Moment, own: &InstanceId, serving: BTreeSet<InstanceId>) {
        for gone in self.serving.difference(&serving) {
            self.ledger.member_gone(now, own, gone.clone());
        }
        self.serving = serving;
    }
}

impl Held {
    /// Budget of the run.
    pub(crate) const fn budget(&self) -> &Mutex<Budget> {
        &self.budget
    }

    /// Ends the run with its outcome.
    pub(crate) fn close(mut self, outcome: &Outcome<Answer>) {
        self.outcome = Some(match outcome {
            Outcome::Done(_) => Outcome::Done(()),
            Outcome::NotRun { kind, retry_after } => {
                Outcome::NotRun { kind: *kind, retry_after: *retry_after }
            }
            Outcome::Unknown { kind } => Outcome::Unknown { kind: *kind },
        });
    }
}

impl Drop for Held {
    /// A run whose caller left is given back as well, as one that may have run.
    fn drop(&mut self) {
        let cancelled = Outcome::Unknown { kind: ErrorKind::Cancelled };
        let outcome = self.outcome.take().unwrap_or(cancelled);
        let budget = self.budget.get_mut().unwrap_or_else(PoisonError::into_inner);
        let budget = std::mem::replace(budget, Budget::grant(0));
        let call = std::mem::take(&mut self.call);
        let mut run = Run { number: self.number, budget, call };
        run.ended(&outcome);
        let message = CloseMessage { request: self.request, run };
        self.budgets.give_back(self.keeper.clone(), message);
    }
}

impl Service for Budgets {
    fn name(&self) -> &'static str {
        "budgets"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "kept": self.lock().ledger.len() })
    }
}
