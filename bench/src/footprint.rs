//! Measures the processor time and memory of the nodes of an idle deployment, which is the base
//! cost of running nodes.

use std::time::Duration;

use bpaf::Bpaf;
use poplar_standins::Usage;

use crate::deployment::{ARMOR, Deployment, DeploymentError, DeploymentPlan, VATUVALE};

/// Wait between the start of a deployment and the measurement, which excludes the startup cost.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Deployment: armor or vatuvale
    #[bpaf(argument("NAME"), fallback("armor".to_owned()), display_fallback)]
    deployment: String,
    /// Length of the measurement in seconds
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    seconds: u64,
}

/// Runs the measurement and prints its result.
pub(crate) fn run(options: &Options) {
    let plan = if options.deployment == "vatuvale" { VATUVALE } else { ARMOR };
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        return eprintln!("footprint: cannot start the Tokio runtime");
    };
    if let Err(error) = runtime.block_on(measure(plan, options.seconds)) {
        eprintln!("footprint: {error}");
        std::process::exit(1);
    }
}

async fn measure(plan: DeploymentPlan, seconds: u64) -> Result<(), DeploymentError> {
    let deployment = Deployment::start(plan, false).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = usages(&deployment);
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = usages(&deployment);
    let share = |(before, after): (&Usage, &Usage)| {
        100.0 * (after.cpu_time.saturating_sub(before.cpu_time)).as_secs_f64() / seconds as f64
    };
    let shares: Vec<f64> = before.iter().zip(&after).map(share).collect();
    let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    let largest = shares.iter().copied().fold(0.0, f64::max);
    let resident = after.iter().map(|usage| usage.resident_kib).max().unwrap_or(0);
    println!(
        "nodes={} cpu_mean_percent={mean:.2} cpu_max_percent={largest:.2} resident_max_kib={resident}",
        after.len()
    );
    Ok(())
}

fn usages(deployment: &Deployment) -> Vec<Usage> {
    let pids = deployment.instances.iter().map(|instance| instance.node.id());
    pids.map(|pid| Usage::of(pid).unwrap_or_default()).collect()
}
