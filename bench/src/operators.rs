//! Measures concurrent publications: two operators revise one contract in a loop while the log
//! loses acknowledgements and truncates its streams and nodes are killed.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use poplar_standins::{HttpClient, LogFaults, LoseAcks};

use crate::deployment::{ARMOR, Deployment, DeploymentError, binary, contract_path};

/// Number of records that the log retains in each stream; older ones are truncated.
const RETAINED_RECORDS: usize = 60;
/// Longest wait until all nodes have the same contract in force.
const AGREE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the nodes are polled for their contract in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Publications of each operator
    #[bpaf(argument("COUNT"), fallback(15), display_fallback)]
    rounds: u64,
    /// One in this many acknowledgements is lost
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    lose: u64,
}

/// Counts of `poplarctl publish` results of one operator, by exit code. Its `Debug` form is
/// printed.
#[derive(Debug, Default)]
struct Told {
    accepted: u64,
    superseded: u64,
    unconfirmed: u64,
    other: u64,
}

/// Contract revision that a node has in force. Its `Debug` form is printed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct InForce {
    revision: u64,
    publication: String,
}

/// Runs the measurement and prints its result.
pub(crate) fn run(options: &Options) {
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        return eprintln!("operators: cannot start the Tokio runtime");
    };
    if let Err(error) = runtime.block_on(measure(options)) {
        eprintln!("operators: {error}");
        std::process::exit(1);
    }
}

async fn measure(options: &Options) -> Result<(), DeploymentError> {
    let mut deployment = Deployment::start(ARMOR, false).await?;
    let lose = Some(LoseAcks::OneIn(options.lose));
    let faults =
        LogFaults { lose_acks: lose, retain: Some(RETAINED_RECORDS), ..LogFaults::default() };
    deployment.set_log_faults(&faults).await?;
    let mut operators = Vec::new();
    for operator in 0..2 {
        let (log, admin) = (deployment.log_address(), deployment.admin_addresses()[0].clone());
        let rounds = options.rounds;
        operators.push(tokio::task::spawn_blocking(move || {
            run_operator(operator, rounds, &log, &admin)
        }));
    }
    for idx in [1, 5, 9] {
        tokio::time::sleep(Duration::from_millis(500)).await;
        deployment.instances[idx].node.signal("KILL");
    }
    let mut total = Told::default();
    for operator in operators {
        let told = operator.await.unwrap_or_default();
        println!("operator: {told:?}");
        total.accepted += told.accepted;
    }
    for idx in [9, 5, 1] {
        deployment.instances.remove(idx);
    }
    let start = Instant::now();
    let views = wait_for_agreement(&deployment).await?;
    let agree_ms = start.elapsed().as_millis();
    let highest = views.iter().map(|view| view.revision).max().unwrap_or(0);
    println!("views: {views:?}");
    // The contract that the deployment started with is revision 1.
    let unique = total.accepted + 1 == highest;
    println!(
        "nodes={} views={} revision={highest} accepted={} each_accepted_is_one_revision={unique} \
         agree_ms={agree_ms}",
        deployment.instances.len(),
        views.len(),
        total.accepted
    );
    Ok(())
}

/// Publishes `rounds` contracts, each based on the revision that the node has in force at that
/// time.
fn run_operator(operator: u64, rounds: u64, log: &str, admin: &str) -> Told {
    let mut told = Told::default();
    for round in 0..rounds {
        let Some(base) = in_force_revision(admin) else { continue };
        let Some(file) = write_contract_variant(operator, round) else { continue };
        let code = publish(&file, log, admin, base);
        match code {
            Some(0) => told.accepted += 1,
            Some(3) => told.superseded += 1,
            Some(5) => told.unconfirmed += 1,
            _ => told.other += 1,
        }
    }
    told
}

fn publish(file: &str, log: &str, admin: &str, base: u64) -> Option<i32> {
    let base = base.to_string();
    let args = ["publish", file, "--log", log, "--node", admin, "--base", &base];
    let output = Command::new(binary("poplarctl").ok()?).args(args).output().ok()?;
    output.status.code()
}

/// Returns the revision in force at a node, read with `poplarctl dump` as an operator would.
fn in_force_revision(admin: &str) -> Option<u64> {
    let args = ["dump", admin, "--format", "json"];
    let output = Command::new(binary("poplarctl").ok()?).args(args).output().ok()?;
    let state: serde_json::Value = serde_json::from_slice(&output.stdout).ok()?;
    state.pointer("/contracts/in_force/0/revision")?.as_u64()
}

/// Writes a contract file whose deadline differs from that of every other publication; returns its
/// path.
fn write_contract_variant(operator: u64, round: u64) -> Option<String> {
    let text = std::fs::read_to_string(contract_path(&ARMOR)).ok()?;
    let deadline = format!("deadline: {} ms", 5_000 + 100 * round + operator);
    let text = text.replacen("deadline: 5 s", &deadline, 1);
    let name = format!("poplar-operator-{}-{operator}.yaml", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&path, text).ok()?;
    Some(path.display().to_string())
}

/// Polls the nodes until they agree and returns the distinct views: one if they agreed, several if
/// [`AGREE_TIMEOUT`] passed before.
async fn wait_for_agreement(deployment: &Deployment) -> Result<BTreeSet<InForce>, DeploymentError> {
    let http = HttpClient::default();
    let start = Instant::now();
    loop {
        let mut views = BTreeSet::new();
        for admin in deployment.admin_addresses() {
            let state: serde_json::Value = http.get(&admin, "/state").await?.json()?;
            let found = &state["contracts"]["in_force"][0];
            views.insert(InForce {
                revision: found["revision"].as_u64().unwrap_or(0),
                publication: found["publish_id"].as_str().unwrap_or_default().to_owned(),
            });
        }
        if views.len() == 1 || start.elapsed() > AGREE_TIMEOUT {
            return Ok(views);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
