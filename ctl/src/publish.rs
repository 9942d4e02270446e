//! Performs one act of publishing; the decisions are those of [`Publisher`].

use std::fmt;
use std::time::{Duration, Instant};

use poplar_core::{
    Moment, Name, PublishAction, PublishId, PublishPlan, PublishResult, PublishStatus, Publisher,
    ReadAction, Revision,
};
use serde::Serialize;

use crate::error::CtlError;
use crate::http::HttpClient;
use crate::log::ContractLog;

/// Pause after a pull, for which a command has no peers.
const PULL_PAUSE: Duration = Duration::from_millis(100);

/// Publication that was accepted.
#[derive(Debug, Serialize)]
pub(crate) struct Accepted {
    customer: Name,
    /// Revision that the contract became.
    revision: Revision,
    /// Revision that is in force now.
    current: Revision,
    /// Nodes whose word was given.
    nodes: Vec<String>,
}

/// Shell around one act of publishing.
struct PublishDriver {
    http: HttpClient,
    log: ContractLog,
    nodes: Vec<String>,
    origin: Instant,
    /// Last error of log or nodes, for the operator.
    last_error: Option<CtlError>,
}

/// Publishes, and returns only what the log gave back and every node of `nodes` has accepted.
pub(crate) async fn publish(
    http: HttpClient,
    log: ContractLog,
    nodes: Vec<String>,
    plan: PublishPlan,
) -> Result<Accepted, CtlError> {
    let customer = plan.contract.customer.clone();
    let mut shell = PublishDriver { http, log, nodes, origin: Instant::now(), last_error: None };
    let mut publisher = Publisher::new(shell.now(), plan);
    let result = loop {
        match publisher.poll(shell.now()) {
            PublishAction::Done(result) => break result,
            PublishAction::QueryStatus { customer, id } => {
                let word = shell.query_status(&customer, id).await;
                publisher.on_status(shell.now(), word);
            }
            PublishAction::Log(action) => shell.perform(&mut publisher, action).await,
        }
    };
    match result {
        PublishResult::Accepted { revision, current } => {
            Ok(Accepted { customer, revision, current, nodes: shell.nodes })
        }
        result => {
            Err(CtlError::NotPublished { result, last_error: shell.last_error.map(Box::new) })
        }
    }
}

impl PublishDriver {
    fn now(&self) -> Moment {
        Moment::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    async fn perform(&mut self, publisher: &mut Publisher, action: ReadAction) {
        let draw = self.origin.elapsed().subsec_nanos().into();
        let done = match action {
            ReadAction::Read { from, wait } => self.log.read(from, wait).await.map(Some),
            ReadAction::Append(record) => self.log.append(&record).await.map(|()| None),
            ReadAction::Pull => return tokio::time::sleep(PULL_PAUSE).await,
            ReadAction::Wait(until) => {
                return tokio::time::sleep(until.since(self.now())).await;
            }
        };
        match done {
            Ok(Some(batch)) => publisher.on_read(self.now(), draw, &batch),
            Ok(None) => publisher.on_append(self.now()),
            Err(error) => {
                publisher.on_error(self.now(), draw);
                self.last_error = Some(error);
            }
        }
    }

    /// Word of all nodes together; none as long as they do not say the same of the act.
    async fn query_status(&mut self, customer: &Name, id: PublishId) -> Option<PublishStatus> {
        let mut together = None::<PublishStatus>;
        for node in &self.nodes {
            let path = format!("/contracts/{customer}/publications/{id}");
            let word = match self.http.get::<PublishStatus>(node, &path, Duration::ZERO).await {
                Ok(word) => word,
                Err(error) => {
                    self.last_error = Some(error);
                    return None;
                }
            };
            let known = together.unwrap_or(word);
            if known.accepted != word.accepted {
                return None;
            }
            // The node that is furthest behind speaks for all.
            together = Some(PublishStatus { current: known.current.min(word.current), ..word });
        }
        together
    }
}

impl fmt::Display for Accepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { customer, revision, current, nodes } = self;
        let (revision, current) = (*revision, *current);
        let result = PublishResult::Accepted { revision, current };
        write!(f, "customer {customer}: {result}; nodes asked: {}", nodes.len())
    }
}
