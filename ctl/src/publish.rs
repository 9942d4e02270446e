//! Publishes one contract: performs the I/O that the [`Publisher`] state machine requests.

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

/// Pause in place of each pull that the publisher requests; a command has no peers to pull from.
const PULL_PAUSE: Duration = Duration::from_millis(100);

/// Result of a publication that was accepted.
#[derive(Debug, Serialize)]
pub(crate) struct Accepted {
    customer: Name,
    /// Revision that the publication created.
    revision: Revision,
    /// Revision that is in force now; a later one if the contract was revised since.
    current: Revision,
    /// Admin addresses of the nodes, all of which confirmed the result.
    nodes: Vec<String>,
}

/// Performs the actions of a [`Publisher`] on the log and the nodes.
struct PublishDriver {
    http: HttpClient,
    log: ContractLog,
    nodes: Vec<String>,
    origin: Instant,
    /// Last error of the log or a node, printed if the publication fails.
    last_error: Option<CtlError>,
}

/// Publishes a contract; succeeds only if the log shows the publication as accepted and every node
/// of `nodes` confirms that.
pub(crate) async fn publish(
    http: HttpClient,
    log: ContractLog,
    nodes: Vec<String>,
    plan: PublishPlan,
) -> Result<Accepted, CtlError> {
    let customer = plan.contract.customer.clone();
    let mut driver = PublishDriver { http, log, nodes, origin: Instant::now(), last_error: None };
    let mut publisher = Publisher::new(driver.now(), plan);
    let result = loop {
        match publisher.poll(driver.now()) {
            PublishAction::Done(result) => break result,
            PublishAction::QueryStatus { customer, id } => {
                let status = driver.query_status(&customer, id).await;
                publisher.on_status(driver.now(), status);
            }
            PublishAction::Log(action) => driver.perform(&mut publisher, action).await,
        }
    };
    match result {
        PublishResult::Accepted { revision, current } => {
            Ok(Accepted { customer, revision, current, nodes: driver.nodes })
        }
        result => {
            Err(CtlError::NotPublished { result, last_error: driver.last_error.map(Box::new) })
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

    /// Queries every node for the status of a publication and combines the answers; none if a node
    /// does not answer or if they disagree on the revision as which it was accepted.
    async fn query_status(&mut self, customer: &Name, id: PublishId) -> Option<PublishStatus> {
        let mut combined = None::<PublishStatus>;
        for node in &self.nodes {
            let path = format!("/contracts/{customer}/publications/{id}");
            let status = match self.http.get::<PublishStatus>(node, &path, Duration::ZERO).await {
                Ok(status) => status,
                Err(error) => {
                    self.last_error = Some(error);
                    return None;
                }
            };
            let known = combined.unwrap_or(status);
            if known.accepted != status.accepted {
                return None;
            }
            // The lowest revision is in force at every node, or was replaced by a later one.
            combined = Some(PublishStatus { current: known.current.min(status.current), ..status });
        }
        combined
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
