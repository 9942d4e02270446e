//! Injects faults into running processes under load and reports the outcomes of the calls.

use std::collections::BTreeMap;
use std::time::Duration;

use bpaf::Bpaf;
use poplar_client::{Call, Client};
use poplar_core::Name;
use poplar_standins::{
    CallTerms, CallerSettings, ClassGraph, HttpClient, LogFaults, Report, TargetFaults, parse_mix,
    run_caller,
};

use crate::deployment::{ARMOR, Deployment, DeploymentError, DeploymentPlan, VATUVALE};

/// Time during which calls are started in each scenario.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Time from the start of the load to the fault.
const FAULT_DELAY: Duration = Duration::from_secs(2);
/// Duration of a freeze, and pause after each stall of the connections in the silence scenario.
const FREEZE_TIME: Duration = Duration::from_secs(3);

/// Number of times that the crashing request is sent, each time under a new id.
const CRASH_SENDS: u32 = 4;
/// Pause after each crashing request.
const CRASH_PAUSE: Duration = Duration::from_millis(500);
/// Deadline of each crashing request.
const CRASH_DEADLINE: Duration = Duration::from_secs(2);

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Deployment: armor or vatuvale
    #[bpaf(argument("NAME"), fallback("armor".to_owned()), display_fallback)]
    deployment: String,
    /// Calls per second
    #[bpaf(argument("RATE"), fallback(300.0), display_fallback)]
    rate: f64,
    /// Seed of the request ids and of the choice of classes
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Run only this scenario
    #[bpaf(argument("NAME"))]
    only: Option<String>,
}

/// Fault injected in one scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    KillNode,
    KillInstance,
    FreezeNode,
    FreezeTarget,
    Silence,
    LogOutage,
    Drain,
    SlowTarget,
    Crash,
}

/// Scenarios in the order in which they run, by the names of the option `--only`.
const SCENARIOS: &[(&str, Fault)] = &[
    ("calm", Fault::None),
    ("kill-node", Fault::KillNode),
    ("kill-instance", Fault::KillInstance),
    ("freeze-node", Fault::FreezeNode),
    ("freeze-target", Fault::FreezeTarget),
    ("silence", Fault::Silence),
    ("log-outage", Fault::LogOutage),
    ("drain", Fault::Drain),
    ("slow-target", Fault::SlowTarget),
    ("crash", Fault::Crash),
];

/// Runs every scenario and prints the table.
pub(crate) fn run(options: &Options) {
    let runtime = tokio::runtime::Runtime::new();
    let Ok(runtime) = runtime else { return eprintln!("faults: cannot start the Tokio runtime") };
    if let Err(error) = runtime.block_on(run_all(options)) {
        eprintln!("faults: {error}");
        std::process::exit(1);
    }
}

async fn run_all(options: &Options) -> Result<(), DeploymentError> {
    let plan = if options.deployment == "vatuvale" { VATUVALE } else { ARMOR };
    println!("faults: {} processes as in the brief, {} calls/s", plan.customer, options.rate);
    println!(
        "{:<14} {:>6} {:>6} {:>7} {:>7} {:>6} {:>5} {:>6} {:>9} {:>11}  kinds",
        "scenario",
        "sent",
        "whole",
        "refused",
        "unknown",
        "failed",
        "cut",
        "wrong",
        "ran_twice",
        "refused_ran"
    );
    let mut total = Report::default();
    for (name, fault) in SCENARIOS {
        if options.only.as_deref().is_some_and(|only| only != *name) {
            continue;
        }
        let report = run_scenario(options, plan, *fault).await?;
        println!(
            "{name:<14} {:>6} {:>6} {:>7} {:>7} {:>6} {:>5} {:>6} {:>9} {:>11}  {:?} {:?}",
            report.sent,
            report.whole,
            report.refused,
            report.unknown,
            report.failed,
            report.cut,
            report.wrong,
            report.ran_twice,
            report.refused_ran,
            report.kinds,
            report.failures
        );
        total.wrong += report.wrong;
        total.ran_twice += report.ran_twice;
        total.refused_ran += report.refused_ran;
        total.sent += report.sent;
        total.whole += report.whole;
    }
    println!(
        "sent={} whole={} wrong={} ran_twice={} refused_ran={} seed={}",
        total.sent, total.whole, total.wrong, total.ran_twice, total.refused_ran, options.seed
    );
    Ok(())
}

async fn run_scenario(
    options: &Options,
    plan: DeploymentPlan,
    fault: Fault,
) -> Result<Report, DeploymentError> {
    let mut deployment = Deployment::start(plan, fault == Fault::Silence).await?;
    let load = tokio::spawn(run_caller(caller_settings(options, &deployment)));
    tokio::time::sleep(FAULT_DELAY).await;
    inject(&mut deployment, fault).await?;
    match load.await {
        Ok(report) => Ok(report?),
        Err(_) => Err(DeploymentError::NotReady { what: "caller".into() }),
    }
}

fn caller_settings(options: &Options, deployment: &Deployment) -> CallerSettings {
    let contract = &deployment.contract;
    let classes: BTreeMap<Name, CallTerms> = contract
        .classes
        .iter()
        .map(|(class, terms)| {
            let load = CallTerms { repeatable: terms.repeatable, deadline: terms.deadline };
            (class.clone(), load)
        })
        .collect();
    CallerSettings {
        nodes: deployment.caller_addresses(),
        customer: Name::new(deployment.plan.customer),
        rate: options.rate,
        duration: LOAD_TIME,
        mix: parse_mix(deployment.plan.mix).unwrap_or_default(),
        graph: ClassGraph::from_contract(contract),
        classes,
        deadline: Duration::from_secs(3),
        seed: options.seed,
        targets: deployment.target_addresses(),
    }
}

/// Injects the fault; faults of instances affect the first instance of every service.
async fn inject(deployment: &mut Deployment, fault: Fault) -> Result<(), DeploymentError> {
    let services: Vec<_> =
        deployment.plan.services.iter().map(|service_plan| service_plan.service).collect();
    let first = |service: &&str| {
        deployment.instances.iter().position(|instance| instance.service == *service)
    };
    let victims: Vec<usize> = services.iter().filter_map(first).collect();
    match fault {
        Fault::None => {}
        Fault::KillNode => for_each_victim(deployment, &victims, |i| i.node.signal("KILL")),
        Fault::KillInstance => for_each_victim(deployment, &victims, |i| {
            i.node.signal("KILL");
            i.target.signal("KILL");
        }),
        Fault::FreezeNode => freeze_victims(deployment, &victims, true).await,
        Fault::FreezeTarget => freeze_victims(deployment, &victims, false).await,
        Fault::Silence => {
            for _ in 0..2 {
                deployment.instances.iter().for_each(|instance| instance.relay.stall_connections());
                tokio::time::sleep(FREEZE_TIME).await;
            }
        }
        Fault::LogOutage => start_during_outage(deployment).await?,
        Fault::Drain => drain_victims(deployment, &victims),
        Fault::SlowTarget => slow_targets(deployment, &victims).await?,
        Fault::Crash => send_crashing_request(deployment).await,
    }
    Ok(())
}

fn for_each_victim(
    deployment: &mut Deployment,
    victims: &[usize],
    mut action: impl FnMut(&mut crate::deployment::Instance),
) {
    for idx in victims {
        action(&mut deployment.instances[*idx]);
    }
}

async fn freeze_victims(deployment: &mut Deployment, victims: &[usize], node: bool) {
    let signal = |instance: &crate::deployment::Instance, name| match node {
        true => instance.node.signal(name),
        false => instance.target.signal(name),
    };
    for_each_victim(deployment, victims, |i| signal(i, "STOP"));
    tokio::time::sleep(FREEZE_TIME).await;
    for_each_victim(deployment, victims, |i| signal(i, "CONT"));
}

/// Takes the log down and starts one more instance, which must join through its peers.
async fn start_during_outage(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    let down = LogFaults { outage: Some(true), ..LogFaults::default() };
    deployment.set_log_faults(&down).await?;
    let service_plan = deployment.plan.services[0];
    let instance = deployment.start_instance(&service_plan, service_plan.targets, false).await?;
    deployment.instances.push(instance);
    Ok(())
}

/// Ends instances gracefully: signals the targets first, then their nodes.
fn drain_victims(deployment: &mut Deployment, victims: &[usize]) {
    for_each_victim(deployment, victims, |i| i.target.signal("TERM"));
    for_each_victim(deployment, victims, |i| i.node.signal("TERM"));
    for idx in victims {
        let instance = &mut deployment.instances[*idx];
        let codes = (instance.target.wait(), instance.node.wait());
        if codes != (Some(0), Some(0)) {
            println!("drain: {} ended with {codes:?}", instance.service);
        }
    }
}

async fn slow_targets(
    deployment: &mut Deployment,
    victims: &[usize],
) -> Result<(), DeploymentError> {
    let http = HttpClient::default();
    let faults = TargetFaults { slow: Some(10.0), ..TargetFaults::default() };
    for idx in victims {
        let address = deployment.instances[*idx].target.field("address");
        http.post(&address, "/control", &faults).await?;
    }
    Ok(())
}

/// Sends a request that crashes each target that runs it, [`CRASH_SENDS`] times.
async fn send_crashing_request(deployment: &mut Deployment) {
    let (service, class) = match deployment.plan.customer {
        "vatuvale" => ("parts-counter", "find-part"),
        _ => ("listings", "read-listing"),
    };
    let client = Client::new(deployment.caller_addresses());
    let body = serde_json::json!({ "nonce": 1, "crash": service }).to_string();
    for _ in 0..CRASH_SENDS {
        let call = Call::new(deployment.plan.customer, class, CRASH_DEADLINE);
        let outcome = client.call(call.with_body(body.clone())).await;
        println!("crash: told {outcome:?}");
        tokio::time::sleep(CRASH_PAUSE).await;
    }
    let targets = deployment.instances.iter_mut().filter(|i| i.service == service);
    let ended = targets.map(|i| i.target.is_ended()).filter(|ended| *ended).count();
    println!("crash: {ended} targets of {service} crashed");
}
