//! Measures the latency that two nodes add to a call, compared with direct calls to the target in
//! the same run.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::Full;
use poplar_standins::HttpClient;
use poplar_wire::header;
use tokio::task::JoinSet;

use crate::deployment::{Deployment, DeploymentError, DeploymentPlan, ServicePlan};

/// Called service; its two targets complete 3,200 calls per second together.
const CALLED_SERVICE: ServicePlan =
    ServicePlan { service: "archives", targets: 2, slots: 8, connections: 64, service_ms: 5 };
/// Service whose node is the entry node, so that each forwarded call passes through two nodes.
const ENTRY_SERVICE: ServicePlan =
    ServicePlan { service: "reminders", targets: 1, slots: 8, connections: 64, service_ms: 5 };
/// Deployment with two of the services in Armor's contract.
const PLAN: DeploymentPlan = DeploymentPlan {
    customer: "armor",
    zones: &["rennes"],
    mix: "",
    services: &[CALLED_SERVICE, ENTRY_SERVICE],
};
/// Largest latency that the histograms record, in microseconds; longer ones count as this value.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Number of calls before the measured ones.
const WARM_UP_CALLS: u64 = 400;

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Calls per second, half of them direct and half through the nodes
    #[bpaf(argument("RATE"), fallback(1600.0), display_fallback)]
    rate: f64,
    /// Number of measured calls
    #[bpaf(argument("CALLS"), fallback(16_000), display_fallback)]
    calls: u64,
}

/// Path of a call to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallPath {
    /// Straight to the target.
    Direct,
    /// Through the entry node and the node beside the target.
    Through,
}

/// Result of one call; it succeeded if its status was 200.
struct Sample {
    via: CallPath,
    elapsed: Duration,
    succeeded: bool,
}

/// Runs the measurement and prints the table.
pub(crate) fn run(options: &Options) {
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        return eprintln!("latency: cannot start the Tokio runtime");
    };
    if let Err(error) = runtime.block_on(measure(options)) {
        eprintln!("latency: {error}");
        std::process::exit(1);
    }
}

async fn measure(options: &Options) -> Result<(), DeploymentError> {
    let deployment = Deployment::start(PLAN, false).await?;
    let targets: Vec<String> = deployment
        .instances
        .iter()
        .filter(|instance| instance.service == CALLED_SERVICE.service)
        .map(|instance| instance.target.field("address"))
        .collect();
    let entry = deployment.instances.iter().find(|i| i.service == ENTRY_SERVICE.service);
    let entry = entry.map(|instance| instance.node.field("caller")).unwrap_or_default();
    let http = HttpClient::default();
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let mut samples = Vec::new();
    for number in 0..WARM_UP_CALLS + options.calls {
        let due = start + Duration::from_secs_f64(number as f64 / options.rate);
        tokio::time::sleep_until(due.into()).await;
        let via = if number % 2 == 0 { CallPath::Direct } else { CallPath::Through };
        let address = match via {
            CallPath::Direct => targets[number as usize / 2 % targets.len()].clone(),
            CallPath::Through => entry.clone(),
        };
        let (http, warm) = (http.clone(), number < WARM_UP_CALLS);
        calls.spawn(async move { (call(&http, &address, via).await, warm) });
        while let Some(done) = calls.try_join_next() {
            samples.extend(done.ok().filter(|(_, warm)| !warm).map(|(sample, _)| sample));
        }
    }
    while let Some(done) = calls.join_next().await {
        samples.extend(done.ok().filter(|(_, warm)| !warm).map(|(sample, _)| sample));
    }
    print(&samples);
    Ok(())
}

async fn call(http: &HttpClient, address: &str, via: CallPath) -> Sample {
    let path = if via == CallPath::Direct { "/" } else { "/call" };
    let request = Request::post(format!("http://{address}{path}"))
        .header(header::CUSTOMER, PLAN.customer)
        .header(header::CLASS, "read-archive")
        .header(header::DEADLINE, "2000")
        .body(Full::new(Bytes::from_static(b"{}")));
    let start = Instant::now();
    let succeeded = match request {
        Ok(request) => http.send(request).await.is_ok_and(|reply| reply.status == 200),
        Err(_) => false,
    };
    Sample { via, elapsed: start.elapsed(), succeeded }
}

fn print(samples: &[Sample]) {
    let direct = histogram(samples, CallPath::Direct);
    let through = histogram(samples, CallPath::Through);
    let (Some(direct), Some(through)) = (direct, through) else {
        return eprintln!("latency: no successful calls on the direct path or through the nodes");
    };
    let failed = samples.iter().filter(|sample| !sample.succeeded).count();
    println!("latency: {} calls, {failed} not whole; times in ms", samples.len());
    println!("{:<9} {:>8} {:>8} {:>8}", "way", "p50", "p99", "p99.9");
    let millis = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    for (name, histogram) in [("direct", &direct), ("through", &through)] {
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| millis(histogram, quantile));
        println!("{name:<9} {p50:>8.3} {p99:>8.3} {p999:>8.3}");
    }
    let added = |quantile| millis(&through, quantile) - millis(&direct, quantile);
    println!("p50_ms={:.3} p99_ms={:.3} p999_ms={:.3}", added(0.5), added(0.99), added(0.999));
}

fn histogram(samples: &[Sample], via: CallPath) -> Option<Histogram<u64>> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).ok()?;
    for sample in samples.iter().filter(|sample| sample.via == via && sample.succeeded) {
        histogram.saturating_record(sample.elapsed.as_micros() as u64);
    }
    (!histogram.is_empty()).then_some(histogram)
}
