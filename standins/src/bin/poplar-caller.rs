//! The caller stand-in as a process.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use poplar_core::Name;
use poplar_standins::{
    CallTerms, CallerSettings, ClassGraph, ContractOptionError, HttpError, parse_mix,
    read_contract, run_caller,
};

/// Stand-in for callers: sends an open-loop load and checks every answer.
///
/// The last line on standard output is a JSON object with the counts.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Caller addresses of the nodes, separated by commas
    #[bpaf(argument("IP:PORT,..."))]
    nodes: String,
    /// Customer whose contract governs the calls
    #[bpaf(argument("NAME"), fallback(String::new()))]
    customer: String,
    /// Calls started per second
    #[bpaf(argument("RATE"), fallback(100.0), display_fallback)]
    rate: f64,
    /// Seconds for which calls are started
    #[bpaf(argument("SECONDS"), fallback(10.0), display_fallback)]
    seconds: f64,
    /// Classes that are called and their weights: CLASS=WEIGHT,CLASS=WEIGHT
    #[bpaf(argument("MIX"))]
    mix: String,
    /// Child calls of each class: CLASS=CHILD+CHILD,CLASS=CHILD
    #[bpaf(argument("GRAPH"), fallback(ClassGraph::default()))]
    children: ClassGraph,
    /// Classes whose requests may run only once, separated by commas
    #[bpaf(argument("CLASS,..."), fallback(String::new()))]
    once: String,
    /// Deadline of each call, in milliseconds
    #[bpaf(argument("MS"), fallback(3000), display_fallback)]
    deadline_ms: u64,
    /// Contract file from which to take the customer, the child calls, the deadlines and the
    /// once-only classes in place of the options
    #[bpaf(argument("FILE"))]
    contract: Option<PathBuf>,
    /// Seed of the request ids and of the mix
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Addresses of the targets whose run counts are compared with the outcomes, separated by
    /// commas
    #[bpaf(argument("IP:PORT,..."), fallback(String::new()))]
    runs_from: String,
}

/// Error that ends the process without a report.
#[derive(Debug, thiserror::Error)]
enum CallerError {
    #[error(transparent)]
    Contract(#[from] ContractOptionError),
    #[error("--mix: {0}")]
    Mix(#[from] poplar_standins::GraphError),
    #[error("--runs-from: {0}")]
    Runs(#[from] HttpError),
    #[error("--rate and --seconds: expected numbers above zero")]
    Rate,
    #[error("report: {0}")]
    Json(#[from] serde_json::Error),
}

/// Parts of a list separated by commas; empty parts are skipped.
fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty())
}

#[tokio::main]
async fn main() -> Result<(), CallerError> {
    let options = options().run();
    let duration = Duration::try_from_secs_f64(options.seconds).map_err(|_| CallerError::Rate)?;
    if !(options.rate.is_finite() && options.rate > 0.0) {
        return Err(CallerError::Rate);
    }
    let deadline = Duration::from_millis(options.deadline_ms);
    let once = CallTerms { repeatable: false, deadline };
    let mut settings = CallerSettings {
        nodes: split_list(&options.nodes).map(str::to_owned).collect(),
        customer: Name::new(&options.customer),
        rate: options.rate,
        duration,
        mix: parse_mix(&options.mix)?,
        graph: options.children,
        classes: split_list(&options.once).map(|class| (Name::new(class), once)).collect(),
        deadline,
        seed: options.seed,
        targets: split_list(&options.runs_from).map(str::to_owned).collect(),
    };
    if let Some(path) = &options.contract {
        let contract = read_contract(path)?;
        settings.graph = ClassGraph::from_contract(&contract);
        let load = contract.classes.iter().map(|(class, terms)| {
            let load = CallTerms { repeatable: terms.repeatable, deadline: terms.deadline };
            (class.clone(), load)
        });
        settings.classes = load.collect::<BTreeMap<_, _>>();
        settings.customer = contract.customer;
    }
    let report = run_caller(settings).await?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}
