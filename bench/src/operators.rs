//! Two operators who revise one contract in a loop, against a log that loses acknowledgements and
//! truncates, while nodes are killed.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use poplar_standins::{HttpClient, LogFaults, LoseAcks};

use crate::deployment::{ARMOR, Deployment, DeploymentError, binary, contract_path};

/// Records that the log keeps of each stream.
const RETAINED_RECORDS: usize = 60;
/// Time within which all nodes must agree.
const AGREE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of the measure.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Publications of each operator
    #[bpaf(argument("COUNT"), fallback(15), display_fallback)]
    rounds: u64,
    /// One in this many acknowledgements is lost
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    lose: u64,
}

/// What one operator was told.
#[derive(Debug, Default)]
struct Told {
    accepted: u64,
    superseded: u64,
    unconfirmed: u64,
    other: u64,
}

/// What one node has in force.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct InForce {
    revision: u64,
    publication: String,
}

/// Runs the measure and prints its result.
pub(crate) fn run(options: &Options) {
    let Ok(runtime) = tokio::runtime::Runtime::new() else { return eprintln!("no runtime") };
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
    let begun = Instant::now();
    let views = wait_for_agreement(&deployment).await?;
    let agree_ms = begun.elapsed().as_millis();
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

/// Publishes again and again what revises the revision that the operator last saw.
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

/// Revision in force at a node, as an operator would look it up.
fn in_force_revision(admin: &str) -> Option<u64> {
    let args = ["dump", admin, "--format", "json"];
    let output = Command::new(binary("poplarctl").ok()?).args(args).output().ok()?;
    let state: serde_json::Value = serde_json::from_slice(&output.stdout).ok()?;
    state.pointer("/contracts/in_force/0/revision")?.as_u64()
}

/// Contract file that no other publication equals.
fn write_contract_variant(operator: u64, round: u64) -> Option<String> {
    let text = std::fs::read_to_string(contract_path(&ARMOR)).ok()?;
    let deadline = format!("deadline: {} ms", 5_000 + 100 * round + operator);
    let text = text.replacen("deadline: 5 s", &deadline, 1);
    let name = format!("poplar-operator-{}-{operator}.yaml", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&path, text).ok()?;
    Some(path.display().to_string())
}

/// Views of all nodes once they agree, or those that they had at the end of the wait.
async fn wait_for_agreement(deployment: &Deployment) -> Result<BTreeSet<InForce>, DeploymentError> {
    let http = HttpClient::default();
    let begun = Instant::now();
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
        if views.len() == 1 || begun.elapsed() > AGREE_TIMEOUT {
            return Ok(views);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
