//! Command-line tool for operators: publishes contracts and shows the contracts in force.

mod check;
mod dump;
mod error;
mod http;
mod log;
mod node;
mod options;
mod output;
mod publish;
mod show;
mod watch;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use poplar_core::{Contract, Moment, Name, PublishPlan, Revision};
use poplar_wire::parse_contract;

use crate::error::CtlError;
use crate::http::HttpClient;
use crate::log::ContractLog;
use crate::options::{Command, command};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(command().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("poplarctl: {error}");
            ExitCode::from(error.code())
        }
    }
}

async fn run(command: Command) -> Result<(), CtlError> {
    let http = HttpClient::new();
    match command {
        Command::Publish { log, node, base, restart, timeout, format, file } => {
            let contract = read_contract(&file)?;
            let log = ContractLog::new(http.clone(), &log);
            let plan = PublishPlan {
                body: serde_json::to_vec(&contract).map_err(std::io::Error::from)?,
                contract: Arc::new(contract),
                base: Some(Revision(base)),
                deadline: Moment::default() + Duration::from_secs(timeout),
                restart,
            };
            output::print(format, &publish::publish(http, log, node, plan).await?)
        }
        Command::Check { target, format, file } => {
            let contract = read_contract(&file)?;
            output::print(format, &check::derive_limits(&contract, target)?)
        }
        Command::Show { source, format, customer } => {
            let shown = show::show(&http, &source, &Name::new(&customer)).await?;
            output::print(format, &shown)
        }
        Command::History { log, format, customer } => {
            let log = ContractLog::new(http, &log);
            output::print(format, &show::history(log, &Name::new(&customer)).await?)
        }
        Command::Dump { format, node } => {
            output::print(format, &dump::Dump(node::read_state(&http, &node).await?.dump))
        }
        Command::Watch { source, format, lines } => {
            watch::watch(&http, &source, format, lines).await
        }
    }
}

fn read_contract(path: &Path) -> Result<Contract, CtlError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| CtlError::File { file: file.clone(), source })?;
    parse_contract(&text).map_err(|fault| CtlError::Contract { file, fault })
}
