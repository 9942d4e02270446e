//! Prints each contract as it comes into force.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use poplar_core::{Name, PublishId, Revision};
use serde::Serialize;

use crate::error::CtlError;
use crate::http::Http;
use crate::log::{ContractLog, Reader};
use crate::options::{Format, Source};
use crate::output;
use crate::show::{self, Shown};

/// Pause between two looks at a node.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// A revision came into force.
#[derive(Debug, Serialize)]
struct Change {
    customer: Name,
    revision: Revision,
    publish_id: PublishId,
}

/// Revisions that were printed.
#[derive(Debug)]
struct Printer {
    format: Format,
    left: Option<usize>,
    seen: BTreeMap<Name, Revision>,
}

/// Watches until interrupted, until `lines` were printed, or until the source is out of reach.
pub(crate) async fn watch(
    http: &Http,
    source: &Source,
    format: Format,
    lines: Option<usize>,
) -> Result<(), CtlError> {
    let mut printer = Printer { format, left: lines, seen: BTreeMap::new() };
    let mut reader = match source {
        Source::Log { log } => Some(Reader::new(ContractLog::new(http.clone(), log))),
        Source::Node { .. } => None,
    };
    while printer.left != Some(0) {
        match &mut reader {
            Some(reader) => {
                printer.print(show::in_force(reader.fold()))?;
                reader.step().await?;
            }
            None => {
                printer.print(show::all(http, source).await?)?;
                tokio::time::sleep(LOOK_EVERY).await;
            }
        }
    }
    Ok(())
}

impl Printer {
    fn print(&mut self, in_force: Vec<Shown>) -> Result<(), CtlError> {
        for Shown { customer, revision, publish_id, .. } in in_force {
            if self.left == Some(0) || self.seen.get(&customer) == Some(&revision) {
                continue;
            }
            self.seen.insert(customer.clone(), revision);
            output::print(self.format, &Change { customer, revision, publish_id })?;
            self.left = self.left.map(|left| left - 1);
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
