//! Stand-in for callers as a process.

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
    /// Calls a second
    #[bpaf(argument("RATE"), fallback(100.0), display_fallback)]
    rate: f64,
    /// Seconds for which calls are started
    #[bpaf(argument("SECONDS"), fallback(10.0), display_fallback)]
    seconds: f64,
    /// Classes and their shares: CLASS=WEIGHT,CLASS=WEIGHT
    #[bpaf(argument("MIX"))]
    mix: String,
    /// Child calls of each class: CLASS=CHILD+CHILD,CLASS=CHILD
    #[bpaf(argument("GRAPH"), fallback(ClassGraph::default()))]
    children: ClassGraph,
    /// Classes that may not be repeated, separated by commas
    #[bpaf(argument("CLASS,..."), fallback(String::new()))]
    once: String,
    /// Time within which each answer is wanted
    #[bpaf(argument("MS"), fallback(3000), display_fallback)]
    deadline_ms: u64,
    /// Contract file that gives customer, child calls, deadlines and what may not be repeated
    #[bpaf(argument("FILE"))]
    contract: Option<PathBuf>,
    /// Seed of the request ids and of the mix
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Addresses of the targets whose counts of runs are compared with the outcomes
    #[bpaf(argument("IP:PORT,..."), fallback(String::new()))]
    runs_from: String,
}

/// Why no report could be made.
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

fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty())
}

#[tokio::main]
async fn main() -> Result<(), CallerError> {
    let options = options().run();
    let span = Duration::try_from_secs_f64(options.seconds).map_err(|_| CallerError::Rate)?;
    if !(options.rate.is_finite() && options.rate > 0.0) {
        return Err(CallerError::Rate);
    }
    let deadline = Duration::from_millis(options.deadline_ms);
    let once = CallTerms { repeatable: false, deadline };
    let mut settings = CallerSettings {
        nodes: split_list(&options.nodes).map(str::to_owned).collect(),
        customer: Name::new(&options.customer),
        rate: options.rate,
        duration: span,
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
