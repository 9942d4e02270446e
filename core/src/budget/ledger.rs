//! Budgets of requests between two sends of the same id by its caller.
//!
//! Each request id has one keeper: the instance that rendezvous hashing names among the serving
//! members of the class's service. Whichever node a caller sends to asks the keeper for the
//! budget, so a re-send to another entry finds the units that the first send left.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Budget, Call, Units};
use crate::ids::{InstanceId, RequestId, rendezvous_owner, rendezvous_weight};
use crate::time::Moment;

/// Units kept back while a run is out, so that one re-send remains if its entry is lost.
const RESERVE_UNITS: u32 = 1;

/// Largest number of members remembered as gone; with more, no unknown id is vouched for.
const MAX_DEPARTED: usize = 64;

/// Instance that keeps the budget of `request`, among the serving members of the service.
///
/// Every node with the same members names the same keeper; one member's loss moves only the ids
/// it kept.
pub fn budget_owner<'a>(
    request: RequestId,
    members: impl IntoIterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    rendezvous_owner(request.0, members)
}

/// Question of an entry that took a call in from outside.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Request id of the caller's call.
    pub request: RequestId,
    /// Retry bound of the class, in units.
    pub retries: u32,
    /// Whether the caller marked this as the first send of the id.
    pub first: bool,
    /// Time after which a run that was not closed counts as lost: the class's deadline.
    pub deadline: Duration,
}

/// Right to run a request at one entry, with the units for it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLease {
    /// Number of this run within the request id; a close with another number is ignored.
    pub number: u32,
    /// Units of the run.
    pub budget: Budget,
    /// Sends of the request by all its runs so far.
    pub call: Call,
}

/// Answer of the keeper.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OpenReply {
    /// The entry may send, and closes the run when it answers its caller.
    Run(RunLease),
    /// Another run of the id is out; an entry that does not hold it answers `Unknown` at once.
    Running,
    /// Nothing is left to pay for another send.
    Spent {
        /// Whether an earlier send may have run: the answer is `Unknown` then, else `NotRun`.
        ran: bool,
    },
    /// The memory is full, and an id that cannot be remembered is not run.
    Full,
}

#[derive(Debug)]
struct Account {
    units: Units,
    call: Call,
    runs: u32,
    /// Until when the current run counts as out; `None` if no run is out.
    running_until: Option<Moment>,
    expiry: Moment,
}

/// Member that may have kept ids before.
#[derive(Debug)]
struct DepartedMember {
    since: Moment,
    own: InstanceId,
    member: InstanceId,
}

/// Budgets of the request ids that one instance keeps.
///
/// Holds at most `capacity` ids, each of some 100 bytes, for `window` after their last use.
#[derive(Debug)]
pub struct Ledger {
    started: Moment,
    window: Duration,
    capacity: usize,
    departed: Vec<DepartedMember>,
    accounts: HashMap<RequestId, Account>,
    expiries: BTreeSet<(Moment, RequestId)>,
}

/// Inconsistency that [`Ledger::verify`] found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The expiry index and the accounts differ in number.
    #[error("{accounts} accounts but {expiries} expiries")]
    Count {
        /// Number of accounts.
        accounts: usize,
        /// Number of expiries.
        expiries: usize,
    },
    /// An account has no expiry under its own time.
    #[error("request {0} has no expiry")]
    Expiry(RequestId),
}

impl Ledger {
    /// Empty ledger of an instance that became a keeper at `now`.
    pub fn new(now: Moment, window: Duration, capacity: usize) -> Self {
        let (accounts, expiries) = (HashMap::new(), BTreeSet::new());
        Self { started: now, window, capacity, departed: Vec::new(), accounts, expiries }
    }

    /// Number of request ids kept.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no request id is kept.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Tells the keeper `own` that the member `gone` serves no more since `now`.
    ///
    /// For one window, an id that `gone` kept before may have been sent although it is unknown here.
    pub fn member_left(&mut self, now: Moment, own: &InstanceId, departed: InstanceId) {
        self.departed.retain(|past| now.since(past.since) < self.window);
        if self.departed.len() >= MAX_DEPARTED {
            self.started = now;
            self.departed.clear();
            return;
        }
        self.departed.push(DepartedMember { since: now, own: own.clone(), member: departed });
    }

    /// Decides whether an entry may send the request, and with which units.
    pub fn open(&mut self, now: Moment, ask: &OpenRequest) -> OpenReply {
        self.forget_expired(now);
        if !self.accounts.contains_key(&ask.request) && self.accounts.len() >= self.capacity {
            return OpenReply::Full;
        }
        let account = self.account(now, ask);
        let opening = account.open(now, ask.deadline);
        self.update_expiry(now, ask.request);
        opening
    }

    /// Takes back what a run left; ignored if the run was counted as lost before.
    pub fn close(&mut self, now: Moment, request: RequestId, run: RunLease) {
        let Some(account) = self.accounts.get_mut(&request) else { return };
        if account.running_until.is_none() || account.runs != run.number {
            return;
        }
        account.running_until = None;
        account.call = run.call;
        account.units.add(run.budget.held);
        self.update_expiry(now, request);
    }

    /// Checks that the expiry index and the accounts agree.
    pub fn verify(&self) -> Result<(), LedgerError> {
        let (accounts, expiries) = (self.accounts.len(), self.expiries.len());
        if accounts != expiries {
            return Err(LedgerError::Count { accounts, expiries });
        }
        let lost = self.accounts.iter().find(|(id, account)| {
            let key = (account.expiry, **id);
            !self.expiries.contains(&key)
        });
        lost.map_or(Ok(()), |(id, _)| Err(LedgerError::Expiry(*id)))
    }

    fn account(&mut self, now: Moment, ask: &OpenRequest) -> &mut Account {
        let units = Units(if ask.first || self.is_surely_unsent(now, ask.request) {
            ask.retries
        } else {
            0
        });
        let fresh = Account { units, call: Call::new(), runs: 0, running_until: None, expiry: now };
        self.accounts.entry(ask.request).or_insert(fresh)
    }

    /// Whether an id that is unknown here was not sent before within the window.
    fn is_surely_unsent(&self, now: Moment, request: RequestId) -> bool {
        let weight = |id: &InstanceId| (rendezvous_weight(request.0, id.0.as_str()), id.clone());
        let kept = |past: &DepartedMember| weight(&past.member) > weight(&past.own);
        let recent = self.departed.iter().filter(|past| now.since(past.since) < self.window);
        now.since(self.started) >= self.window && !recent.into_iter().any(kept)
    }

    fn update_expiry(&mut self, now: Moment, request: RequestId) {
        let Some(account) = self.accounts.get_mut(&request) else { return };
        self.expiries.remove(&(account.expiry, request));
        account.expiry = now.max(account.running_until.unwrap_or(now)) + self.window;
        self.expiries.insert((account.expiry, request));
    }

    fn forget_expired(&mut self, now: Moment) {
        while let Some(&(expiry, request)) = self.expiries.first() {
            if expiry > now {
                return;
            }
            self.expiries.remove(&(expiry, request));
            self.accounts.remove(&request);
        }
    }
}

impl Account {
    fn open(&mut self, now: Moment, deadline: Duration) -> OpenReply {
        if self.running_until.is_some_and(|until| now < until) {
            return OpenReply::Running;
        }
        if self.call.sends() > 0 && self.units.0 == 0 {
            return OpenReply::Spent { ran: self.call.may_have_run() };
        }
        // A run that was not closed is lost; its call stays counted as sent and possibly run.
        self.runs = self.runs.saturating_add(1);
        self.running_until = Some(now + deadline);
        let kept = if self.units.0 > RESERVE_UNITS { RESERVE_UNITS } else { 0 };
        let held = self.units.split(self.units.0 - kept);
        let assumed = Call { sends: self.call.sends().max(1), ran: true };
        let call = std::mem::replace(&mut self.call, assumed);
        OpenReply::Run(RunLease { number: self.runs, budget: Budget { held, rerun: false }, call })
    }
}
