//! Retry budgets of requests, kept between sends of the same request id by its caller.
//!
//! Each request id has one owner, the instance that rendezvous hashing selects among the serving
//! members of the class's service. Every entry node requests the budget from the owner, so that a
//! re-send through another entry node gets the units that the first send left.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Budget, Call, Units};
use crate::ids::{InstanceId, RequestId, rendezvous_owner, rendezvous_weight};
use crate::time::Moment;

/// Units kept in the ledger while a run holds the others, so that one re-send remains possible if
/// the entry node of the run is lost.
const RESERVE_UNITS: u32 = 1;

/// Maximum number of departed members remembered. When there are more, no unknown id gets retries
/// for one window, unless its send is marked as the first.
const MAX_DEPARTED: usize = 64;

/// Instance that owns the budget of `request`, among the serving members of the service.
///
/// Nodes with the same members select the same owner. The loss of a member changes the owner only
/// of the ids that it owned.
pub fn budget_owner<'a>(
    request: RequestId,
    members: impl IntoIterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    rendezvous_owner(request.0, members)
}

/// Request of an entry node for the budget of a call that it received from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Request id of the call.
    pub request: RequestId,
    /// Number of retries of the class, in units.
    pub retries: u32,
    /// Whether the caller marked this as the first send of the id.
    pub first: bool,
    /// Deadline of the class, after which a run that was not closed counts as lost.
    pub deadline: Duration,
}

/// Permission for one entry node to run a request until the deadline, with the retry units for it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLease {
    /// Number of this run of the request id; closing an earlier run has no effect.
    pub number: u32,
    /// Retry units of the run.
    pub budget: Budget,
    /// Sends of the request in all its runs so far.
    pub call: Call,
}

/// Reply of the budget's owner to an [`OpenRequest`].
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OpenReply {
    /// The entry node may send the request, and closes the run when it answers its caller.
    Run(RunLease),
    /// Another run of the id has not ended. An entry node that does not hold that run answers
    /// `Unknown` immediately.
    Running,
    /// No units are left for another send.
    Spent {
        /// Whether an earlier send may have run; the entry node then answers `Unknown`, otherwise
        /// `NotRun`.
        ran: bool,
    },
    /// The ledger is full; a request whose id cannot be stored is not run.
    Full,
}

/// Budget and runs of one request id.
#[derive(Debug)]
struct Account {
    units: Units,
    call: Call,
    runs: u32,
    /// When the current run counts as lost; `None` if no run is open.
    running_until: Option<Moment>,
    expiry: Moment,
}

/// Member that has left and may have owned ids that now belong to `own`, this instance.
#[derive(Debug)]
struct DepartedMember {
    since: Moment,
    own: InstanceId,
    member: InstanceId,
}

/// Retry budgets of the request ids that one instance owns.
///
/// Holds at most `capacity` ids of about 100 bytes each, for `window` after their last use.
#[derive(Debug)]
pub struct Ledger {
    started: Moment,
    window: Duration,
    capacity: usize,
    departed: Vec<DepartedMember>,
    accounts: HashMap<RequestId, Account>,
    expiries: BTreeSet<(Moment, RequestId)>,
}

/// Inconsistency found by [`Ledger::verify`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The number of accounts differs from the number of entries in the expiry index.
    #[error("{accounts} accounts but {expiries} expiries")]
    Count {
        /// Number of accounts.
        accounts: usize,
        /// Number of entries in the expiry index.
        expiries: usize,
    },
    /// The expiry index has no entry for an account's expiry time.
    #[error("request {0} has no expiry")]
    Expiry(RequestId),
}

impl Ledger {
    /// Empty ledger of an instance that owns budgets since `now`.
    pub fn new(now: Moment, window: Duration, capacity: usize) -> Self {
        let (accounts, expiries) = (HashMap::new(), BTreeSet::new());
        Self { started: now, window, capacity, departed: Vec::new(), accounts, expiries }
    }

    /// Number of request ids in the ledger.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether the ledger is empty.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Records that the member `departed` stopped serving at `now`; `own` is this instance.
    ///
    /// For one window, an id that `departed` owned may have been sent before although this ledger
    /// does not know it.
    pub fn member_left(&mut self, now: Moment, own: &InstanceId, departed: InstanceId) {
        self.departed.retain(|member| now.since(member.since) < self.window);
        if self.departed.len() >= MAX_DEPARTED {
            self.started = now;
            self.departed.clear();
            return;
        }
        self.departed.push(DepartedMember { since: now, own: own.clone(), member: departed });
    }

    /// Decides whether an entry node may send the request, and with how many units.
    pub fn open(&mut self, now: Moment, ask: &OpenRequest) -> OpenReply {
        self.forget_expired(now);
        if !self.accounts.contains_key(&ask.request) && self.accounts.len() >= self.capacity {
            return OpenReply::Full;
        }
        let account = self.account(now, ask);
        let reply = account.open(now, ask.deadline);
        self.update_expiry(now, ask.request);
        reply
    }

    /// Ends a run and takes back its unspent units. Has no effect if the run is not the current
    /// one, because a later run has been opened since or it has been closed already.
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

    /// Checks that the expiry index and the accounts are consistent.
    pub fn verify(&self) -> Result<(), LedgerError> {
        let (accounts, expiries) = (self.accounts.len(), self.expiries.len());
        if accounts != expiries {
            return Err(LedgerError::Count { accounts, expiries });
        }
        let missing = self.accounts.iter().find(|(id, account)| {
            let key = (account.expiry, **id);
            !self.expiries.contains(&key)
        });
        missing.map_or(Ok(()), |(id, _)| Err(LedgerError::Expiry(*id)))
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

    /// Whether an id that is unknown here cannot have been sent within the last window.
    fn is_surely_unsent(&self, now: Moment, request: RequestId) -> bool {
        let weight = |id: &InstanceId| (rendezvous_weight(request.0, id.0.as_str()), id.clone());
        let was_owner = |gone: &DepartedMember| weight(&gone.member) > weight(&gone.own);
        let recent = self.departed.iter().filter(|member| now.since(member.since) < self.window);
        now.since(self.started) >= self.window && !recent.into_iter().any(was_owner)
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
        // If this run is never closed, its call stays recorded as sent and as possibly run.
        self.runs = self.runs.saturating_add(1);
        self.running_until = Some(now + deadline);
        let reserved = if self.units.0 > RESERVE_UNITS { RESERVE_UNITS } else { 0 };
        let held = self.units.split(self.units.0 - reserved);
        let assumed = Call { sends: self.call.sends().max(1), ran: true };
        let call = std::mem::replace(&mut self.call, assumed);
        OpenReply::Run(RunLease { number: self.runs, budget: Budget { held, rerun: false }, call })
    }
}
