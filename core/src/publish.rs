//! Publication of one contract, from reading the log to a node's confirmation of the result.
//!
//! The publish id is derived from the customer, the base revision and the contract, so running
//! the same command again finds the result of an earlier run that could not determine it. See
//! [contracts](../../docs/design/contracts.md).

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

/// Time after an append until the record is appended again under the same id, if it has not been
/// read back.
pub const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two queries for the publication's status at the nodes.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// What an operator wants to publish.
#[derive(Debug, Clone)]
pub struct PublishPlan {
    /// Contract to put in force for its customer.
    pub contract: Arc<Contract>,
    /// Canonical encoding of the contract; equal contracts must have equal bytes.
    pub body: Vec<u8>,
    /// Revision that the contract replaces; if `None`, the one in force when the log was read.
    pub base: Option<Revision>,
    /// Time at which the publisher gives up.
    pub deadline: Moment,
    /// Whether to restart the stream if its records expired and no node or snapshot has a state.
    pub restart: bool,
}

/// Next action of the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishAction {
    /// Perform the action on the log or a peer, as for a [`LogReader`].
    Log(ReadAction),
    /// Query the nodes for the status of the publication, then call [`Publisher::on_status`].
    QueryStatus {
        /// Customer of the contract.
        customer: Name,
        /// Id of the publication.
        id: PublishId,
    },
    /// Report the result to the operator; the publisher has ended.
    Done(PublishResult),
}

/// Result that is reported to the operator; its [`Display`](fmt::Display) text is for people.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishResult {
    /// The record was read back from the log as accepted, and a node confirmed it.
    Accepted {
        /// Revision that the publication created.
        revision: Revision,
        /// Revision that is in force now; a later one if the contract was revised since.
        current: Revision,
    },
    /// Another revision after the base was accepted first; this publication was not accepted and
    /// never will be.
    Superseded {
        /// Base of the publication.
        base: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// More than [`MAX_PUBLISHED`] revisions follow the base, so the state no longer shows whether
    /// this publication was among them.
    TooOld {
        /// Base of the publication.
        base: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// The base is later than the revision in force; this run appended nothing.
    UnknownBase {
        /// Base of the publication.
        base: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// Readers reject the record as malformed.
    Refused(RecordFault),
    /// This run appended the record, and its result was not known and confirmed by the deadline.
    NotConfirmed,
    /// This run appended nothing by the deadline: the log could not be read up to its end, or no
    /// node confirmed what it says.
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
                "not accepted: the contract was based on revision {base}, but revision {current} \
                 is in force; look at it and publish again"
            ),
            Self::TooOld { base, current } => write!(
                f,
                "not confirmed: revision {current} is in force, too many revisions after base \
                 revision {base} to tell whether an earlier run was accepted; this run published \
                 nothing"
            ),
            Self::UnknownBase { base, current } => write!(
                f,
                "not sent: the contract was based on revision {base}, which is unknown; revision \
                 {current} is in force"
            ),
            Self::Refused(fault) => write!(f, "not accepted: {fault}"),
            Self::NotConfirmed => {
                f.write_str("not confirmed: run the same command again to find out the result")
            }
            Self::NotSent => f.write_str(
                "not sent: the log of contracts can't be read now, or no node confirms what was \
                 read",
            ),
        }
    }
}

/// Id of the publication of `body` as the successor of revision `base`.
pub fn publish_id(customer: &Name, base: Revision, body: &[u8]) -> PublishId {
    let name = customer.as_str().as_bytes();
    let mut bytes = Vec::with_capacity(16 + name.len() + body.len());
    bytes.extend((name.len() as u64).to_le_bytes());
    bytes.extend(base.0.to_le_bytes());
    bytes.extend(name);
    bytes.extend(body);
    PublishId(xxh3_128(&bytes))
}

/// State machine that publishes one contract; the caller performs its actions.
#[derive(Debug, Clone)]
pub struct Publisher {
    plan: PublishPlan,
    reader: LogReader,
    stage: Stage,
    sent: bool,
}

/// Progress of a publisher.
#[derive(Debug, Clone)]
enum Stage {
    /// Reading the log up to its end.
    CatchUp,
    /// Appending the record and reading it back; the record is appended again at `resend_at`.
    ReadBack { publication: Publication, resend_at: Moment },
    /// Waiting for a node to confirm the result that was read back.
    Confirm { publication: Publication, provisional: ProvisionalResult, next_query: Moment },
    /// The result is known.
    Done(PublishResult),
}

/// Result of a publication as read from the log; it is reported only once a node confirms it.
///
/// The records that it is derived from could expire before any node reads them. A publication
/// reported as accepted would then not be in force, and one reported as superseded would have
/// been superseded by a record that takes no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProvisionalResult {
    /// The publication was accepted as this revision.
    Accepted(Revision),
    /// Another revision after the base was accepted first.
    Superseded,
}

/// Publication of the plan's contract on a chosen base.
#[derive(Debug, Clone, Copy)]
struct Publication {
    id: PublishId,
    base: Revision,
}

impl Publisher {
    /// Publisher that has not read anything yet.
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

    /// Applies the records of a read; `random` is a random number for the backoff.
    pub fn on_read(&mut self, now: Moment, random: u64, batch: &LogBatch) {
        let applied = self.reader.on_read(now, random, batch);
        self.update_stage(now, &applied);
    }

    /// Records that an append was acknowledged.
    pub fn on_append(&mut self, now: Moment) {
        self.reader.on_append(now);
    }

    /// Backs off after an error of the log, such as an append without acknowledgement; `random` is
    /// a random number for the backoff.
    pub fn on_error(&mut self, now: Moment, random: u64) {
        self.reader.on_error(now, random);
    }

    /// Adopts a node's state if it covers more of the log.
    pub fn on_peer(&mut self, now: Moment, peer: &ContractState) {
        self.reader.on_peer(now, peer);
        self.update_stage(now, &[]);
    }

    /// Handles the nodes' answer to a status query; `None` if there was none.
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

    /// Chooses the publication once the whole log has been read.
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

    /// Publication on the base that the operator named; without one, the publication of the same
    /// contract that an earlier run got accepted, or else a new one on the revision in force.
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
        // Keeps the base for the rest of the run: choosing it again could replace a revision that
        // the operator has not seen.
        self.plan.base = Some(base);
        Some(ContractRecord::Publish { id, base, contract: self.plan.contract.clone() })
    }

    /// Moves to the stage that follows from the records `applied`.
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
            (Stage::Confirm { provisional: previous, .. }, Some(provisional))
                if *previous == provisional => {}
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
    /// Result to report if a node's status confirms the provisional one.
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

    /// Result if `current` is in force and the publication is not among those known as accepted.
    fn superseded_by(self, current: Revision) -> PublishResult {
        let base = self.base;
        if current.0.saturating_sub(base.0) > MAX_PUBLISHED as u64 {
            return PublishResult::TooOld { base, current };
        }
        PublishResult::Superseded { base, current }
    }
}
