//! One act of publishing a contract, from reading the log to a node's word that it is in force.
//!
//! The publish id is derived from what is published, so the same command run again settles what
//! an earlier run had to leave open. See [contracts](../../docs/design/contracts.md).

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use crate::contract::Contract;
use crate::contract_state::{
    ContractRecord, ContractState, MAX_PUBLISHED, PublishStatus, RecordFault, Verdict,
};
use crate::ids::{InstanceId, Name, PublishId, Revision};
use crate::log_reader::{AppliedRecord, LogBatch, LogReader, ReadAction};
use crate::time::Moment;

/// Time after an append without a sign of it before it is repeated under the same id.
pub const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Pause between two questions to a node.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// What an operator wants to publish.
#[derive(Debug, Clone)]
pub struct PublishPlan {
    /// Contract.
    pub contract: Arc<Contract>,
    /// Canonical encoding of the contract; equal contracts must have equal bytes.
    pub body: Vec<u8>,
    /// Revision that is revised; without it, the one in force when the log was read.
    pub base: Option<Revision>,
    /// When to stop trying.
    pub deadline: Moment,
    /// Whether to start the stream anew if its history expired and no node holds a state.
    pub restart: bool,
}

/// What the shell does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishAction {
    /// Use the log or a peer as for a reader.
    Log(ReadAction),
    /// Ask a node for its word on the act, then call [`Publisher::on_status`].
    QueryStatus {
        /// Customer.
        customer: Name,
        /// Act of publishing.
        id: PublishId,
    },
    /// Tell the operator.
    Done(PublishResult),
}

/// What the operator is told; its text is for people.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishResult {
    /// Read back from the log, and in force at a node.
    Accepted {
        /// Revision that the contract became.
        revision: Revision,
        /// Revision that is in force now; a later one if the contract was revised since.
        current: Revision,
    },
    /// Another revision came first; this one is not in force and will not be.
    Superseded {
        /// Revision that the operator revised.
        base: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// So many revisions came after the base that nobody remembers whether this one was among them.
    TooOld {
        /// Revision that the operator revised.
        base: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// The base lies ahead of what is in force; this run sent nothing.
    UnknownBase {
        /// Revision that the operator revised.
        base: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// The contract is not one that a reader accepts.
    Refused(RecordFault),
    /// The record was sent, and what became of it is not known yet.
    NotConfirmed,
    /// Nothing was sent: the log could not be read up to its end, or no node confirmed it.
    NotSent,
}

impl fmt::Display for PublishResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { revision, current } if revision == current => {
                write!(f, "accepted: revision {revision} is in force")
            }
            Self::Accepted { revision, current } => {
                write!(f, "accepted as revision {revision}; revision {current} has replaced it")
            }
            Self::Superseded { base, current } => write!(
                f,
                "not accepted: you revised revision {base}, but revision {current} is in force; \
                 look at it and publish again"
            ),
            Self::TooOld { base, current } => write!(
                f,
                "not confirmed: revision {current} is in force, too far past revision {base} to \
                 tell whether an earlier run was accepted; this run published nothing"
            ),
            Self::UnknownBase { base, current } => write!(
                f,
                "not sent: you revised revision {base}, which is unknown; revision {current} is in \
                 force"
            ),
            Self::Refused(fault) => write!(f, "not accepted: {fault}"),
            Self::NotConfirmed => {
                f.write_str("not confirmed: run the same command again to learn what became of it")
            }
            Self::NotSent => f.write_str(
                "not sent: the log of contracts can't be read now, or no node confirms what it says",
            ),
        }
    }
}

/// Identifier of the act of publishing `body` as the successor of `base`.
pub fn publish_id(customer: &Name, base: Revision, body: &[u8]) -> PublishId {
    let name = customer.as_str().as_bytes();
    let mut bytes = Vec::with_capacity(16 + name.len() + body.len());
    bytes.extend((name.len() as u64).to_le_bytes());
    bytes.extend(base.0.to_le_bytes());
    bytes.extend(name);
    bytes.extend(body);
    PublishId(xxh3_128(&bytes))
}

/// State of one act of publishing.
#[derive(Debug, Clone)]
pub struct Publisher {
    plan: PublishPlan,
    reader: LogReader,
    stage: Stage,
    sent: bool,
}

/// How far an act of publishing has come.
#[derive(Debug, Clone)]
enum Stage {
    /// Reads the log up to its end.
    CatchUp,
    /// Reads back its own record.
    ReadBack { publication: Publication, resend_at: Moment },
    /// Waits for a node's word on what was read back.
    Confirm { publication: Publication, provisional: ProvisionalResult, next_query: Moment },
    /// Has a result.
    Done(PublishResult),
}

/// What was read back of an act; nobody is told before a node confirms it.
///
/// Without that the records that the claim rests on could expire unread, and with them a winner
/// whose loser was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProvisionalResult {
    /// It was accepted as this revision.
    Accepted(Revision),
    /// Another act came first.
    Superseded,
}

/// Act of publishing on a known base.
#[derive(Debug, Clone, Copy)]
struct Publication {
    id: PublishId,
    base: Revision,
}

impl Publisher {
    /// Act that has not read anything yet.
    pub fn new(now: Moment, plan: PublishPlan) -> Self {
        let reader = LogReader::new(now, InstanceId::from("operator"), Duration::MAX);
        Self { plan, reader, stage: Stage::CatchUp, sent: false }
    }

    /// Next action.
    pub fn poll(&mut self, now: Moment) -> PublishAction {
        self.advance(now);
        if let Stage::Done(result) = &self.stage {
            return PublishAction::Done(result.clone());
        }
        if now >= self.plan.deadline {
            let result =
                if self.sent { PublishResult::NotConfirmed } else { PublishResult::NotSent };
            return PublishAction::Done(result);
        }
        self.next_action(now)
    }

    /// Takes in what a read brought; `draw` is a random number.
    pub fn on_read(&mut self, now: Moment, random: u64, batch: &LogBatch) {
        let applied = self.reader.on_read(now, random, batch);
        self.update_stage(now, &applied);
    }

    /// Notes that an append was acknowledged.
    pub fn on_append(&mut self, now: Moment) {
        self.reader.on_append(now);
    }

    /// Notes an error of the log, an append without acknowledgement included.
    pub fn on_error(&mut self, now: Moment, random: u64) {
        self.reader.on_error(now, random);
    }

    /// Takes in a node's fold.
    pub fn on_peer(&mut self, now: Moment, peer: &ContractState) {
        self.reader.on_peer(now, peer);
        self.update_stage(now, &[]);
    }

    /// Takes in a node's word, or that it gave none.
    pub fn on_status(&mut self, now: Moment, status: Option<PublishStatus>) {
        let Stage::Confirm { publication, provisional, next_query } = &mut self.stage else {
            return;
        };
        *next_query = now + STATUS_INTERVAL;
        let (publication, provisional) = (*publication, *provisional);
        if let Some(result) = status.and_then(|status| publication.result(provisional, status)) {
            self.stage = Stage::Done(result);
        }
    }

    fn customer(&self) -> &Name {
        &self.plan.contract.customer
    }

    /// Chooses the act once the whole log is known.
    fn advance(&mut self, now: Moment) {
        if !matches!(self.stage, Stage::CatchUp) || !self.reader.is_current() {
            return;
        }
        let publication = self.choose_publication();
        let status = self.reader.state().publish_status(self.customer(), publication.id);
        self.stage = match status.accepted {
            Some(revision) => Stage::Confirm {
                publication,
                provisional: ProvisionalResult::Accepted(revision),
                next_query: now,
            },
            None if publication.base < status.current => Stage::Confirm {
                publication,
                provisional: ProvisionalResult::Superseded,
                next_query: now,
            },
            None if publication.base > status.current => Stage::Done(PublishResult::UnknownBase {
                base: publication.base,
                current: status.current,
            }),
            None => Stage::ReadBack { publication, resend_at: now },
        };
    }

    /// Act on the base that the operator named, or one that an earlier run has completed, or a
    /// new one on the revision in force.
    fn choose_publication(&self) -> Publication {
        let customer = self.customer();
        if let Some(base) = self.plan.base {
            return self.publication_for(base);
        }
        let state = self.reader.state();
        if let Some(found) = state.in_force(customer)
            && *found.contract == self.plan.contract
        {
            return Publication {
                id: found.id,
                base: Revision(found.revision.0.saturating_sub(1)),
            };
        }
        let current = state.revision(customer);
        let oldest = current.0.saturating_sub(MAX_PUBLISHED as u64);
        let mut earlier =
            (oldest..current.0).rev().map(|base| self.publication_for(Revision(base)));
        let done = earlier
            .find(|publication| state.publish_status(customer, publication.id).accepted.is_some());
        done.unwrap_or_else(|| self.publication_for(current))
    }

    fn publication_for(&self, base: Revision) -> Publication {
        Publication { id: publish_id(self.customer(), base, &self.plan.body), base }
    }

    fn next_action(&mut self, now: Moment) -> PublishAction {
        if let Some(record) = self.record_to_append(now) {
            return PublishAction::Log(ReadAction::Append(record));
        }
        if let Stage::Confirm { publication, next_query, .. } = &self.stage
            && now >= *next_query
        {
            return PublishAction::QueryStatus {
                customer: self.customer().clone(),
                id: publication.id,
            };
        }
        PublishAction::Log(match self.reader.poll(now, &[]) {
            ReadAction::Read { from, wait } => {
                ReadAction::Read { from, wait: wait.min(STATUS_INTERVAL) }
            }
            ReadAction::Wait(until) => ReadAction::Wait(until.min(now + STATUS_INTERVAL)),
            other => other,
        })
    }

    fn record_to_append(&mut self, now: Moment) -> Option<ContractRecord> {
        if self.plan.restart
            && let Some(record) = self.reader.restart_record(now)
        {
            return Some(record);
        }
        let current = self.reader.is_current();
        let Stage::ReadBack { publication, resend_at } = &mut self.stage else {
            return None;
        };
        if !current || now < *resend_at {
            return None;
        }
        *resend_at = now + RESEND_INTERVAL;
        self.sent = true;
        let Publication { id, base } = *publication;
        // A second choice of base could replace a revision that the operator has not seen.
        self.plan.base = Some(base);
        Some(ContractRecord::Publish { id, base, contract: self.plan.contract.clone() })
    }

    /// Draws the conclusion from what was judged.
    fn update_stage(&mut self, now: Moment, applied: &[AppliedRecord]) {
        let (Stage::ReadBack { publication, .. } | Stage::Confirm { publication, .. }) = self.stage
        else {
            return;
        };
        let status = self.reader.state().publish_status(self.customer(), publication.id);
        let provisional = match status.accepted {
            Some(revision) => Some(ProvisionalResult::Accepted(revision)),
            None if status.current > publication.base => Some(ProvisionalResult::Superseded),
            None => None,
        };
        match (&self.stage, provisional) {
            (Stage::Confirm { provisional: held, .. }, Some(provisional))
                if *held == provisional => {}
            (_, Some(provisional)) => {
                self.stage = Stage::Confirm { publication, provisional, next_query: now }
            }
            (Stage::Confirm { .. }, None) => self.stage = Stage::CatchUp,
            (_, None) => self.check_refused(publication, applied),
        }
    }

    fn check_refused(&mut self, publication: Publication, applied: &[AppliedRecord]) {
        let record = applied.iter().find(|item| item.id == Some(publication.id));
        if let Some(Verdict::Malformed(fault)) = record.map(|item| &item.verdict) {
            self.stage = Stage::Done(PublishResult::Refused(fault.clone()));
        }
    }
}

impl Publication {
    /// Result of a claim that a node's word confirms.
    fn result(
        self,
        provisional: ProvisionalResult,
        status: PublishStatus,
    ) -> Option<PublishResult> {
        let current = status.current;
        match (provisional, status.accepted) {
            (ProvisionalResult::Accepted(revision), Some(accepted)) if revision == accepted => {
                Some(PublishResult::Accepted { revision, current })
            }
            (ProvisionalResult::Superseded, None) if current > self.base => {
                Some(self.superseded_by(current))
            }
            _ => None,
        }
    }

    /// Result when `current` is in force and the act is not remembered as accepted.
    fn superseded_by(self, current: Revision) -> PublishResult {
        let base = self.base;
        if current.0.saturating_sub(base.0) > MAX_PUBLISHED as u64 {
            return PublishResult::TooOld { base, current };
        }
        PublishResult::Superseded { base, current }
    }
}
