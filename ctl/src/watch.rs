//! Prints each revision of a contract as it comes into force.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use poplar_core::{Name, PublishId, Revision};
use serde::Serialize;

use crate::error::CtlError;
use crate::http::HttpClient;
use crate::log::{ContractLog, Reader};
use crate::options::{Format, Source};
use crate::output;
use crate::show::{self, ContractInForce};

/// Pause between two reads of a node's state.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Revision that came into force.
#[derive(Debug, Serialize)]
struct Change {
    customer: Name,
    revision: Revision,
    publish_id: PublishId,
}

/// Prints each revision once, up to a number of lines.
#[derive(Debug)]
struct Printer {
    format: Format,
    /// Lines left to print; unlimited if `None`.
    remaining: Option<usize>,
    /// Revision that was printed last for each customer.
    printed: BTreeMap<Name, Revision>,
}

/// Prints changes until interrupted, until `lines` lines are printed, or until reading the source
/// fails.
pub(crate) async fn watch(
    http: &HttpClient,
    source: &Source,
    format: Format,
    lines: Option<usize>,
) -> Result<(), CtlError> {
    let mut printer = Printer { format, remaining: lines, printed: BTreeMap::new() };
    let mut reader = match source {
        Source::Log { log } => Some(Reader::new(ContractLog::new(http.clone(), log))),
        Source::Node { .. } => None,
    };
    while printer.remaining != Some(0) {
        match &mut reader {
            Some(reader) => {
                printer.print(show::in_force(reader.state()))?;
                reader.step().await?;
            }
            None => {
                printer.print(show::all_in_force(http, source).await?)?;
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
    Ok(())
}

impl Printer {
    fn print(&mut self, in_force: Vec<ContractInForce>) -> Result<(), CtlError> {
        for ContractInForce { customer, revision, publish_id, .. } in in_force {
            if self.remaining == Some(0) || self.printed.get(&customer) == Some(&revision) {
                continue;
            }
            self.printed.insert(customer.clone(), revision);
            output::print(self.format, &Change { customer, revision, publish_id })?;
            self.remaining = self.remaining.map(|remaining| remaining - 1);
        }
        Ok(())
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { customer, revision, publish_id } = self;
        write!(f, "customer {customer} revision {revision} published as {publish_id}")
    }
}
