//! Stand-in for a target: runs requests in a limited number of slots, makes child calls, and
//! injects the faults of real targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use poplar_core::Name;
use poplar_wire::{Announcement, header};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

use crate::graph::ClassGraph;
use crate::http::{
    CloseConnection, HandlerResult, HttpClient, HttpError, IncomingRequest, json_response, serve,
    text_response,
};

/// Time between two renewals of the announcement; a tenth of it after a failure.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of requests whose runs are counted; beyond it, the request whose id sorts first
/// is forgotten.
const MAX_COUNTED_REQUESTS: usize = 200_000;
/// Time within which the node must answer when the target reports that it drains or leaves.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for which a stop waits for the requests in flight, and then for the server to end.
const MAX_STOP_TIME: Duration = Duration::from_secs(30);

/// Settings of a target.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Address to listen on.
    pub listen: String,
    /// Service that the target offers.
    pub service: Name,
    /// Customer of the child calls of a request that carries no customer header.
    pub customer: Name,
    /// Admin address of its node, `ip:port`; without one the target does not announce itself.
    pub node_admin: Option<String>,
    /// Caller address of its node, `ip:port`, where it makes child calls; without one they fail.
    pub node_caller: Option<String>,
    /// Requests that run at once; the same number may wait, and further ones are shed.
    pub slots: u32,
    /// Number of connections that the target announces it accepts.
    pub connections: u32,
    /// Time that a run takes without its child calls.
    pub service_time: Duration,
    /// Child calls of each class.
    pub graph: ClassGraph,
}

/// Faults of a target, as `POST /control` sets them; an absent key leaves its setting unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetFaults {
    /// Whether every request is shed as not run.
    pub drain: Option<bool>,
    /// Whether requests take a slot and then make no progress until this is unset.
    pub freeze: Option<bool>,
    /// Factor on the service time; a negative one is ignored.
    pub slow: Option<f64>,
    /// Whether the health answer reports a healthy target without load, regardless of the state.
    pub lie: Option<bool>,
    /// Duration of a cold start that begins now, in milliseconds: the service time falls from ten
    /// times its length to its length. Zero is ignored.
    pub cold_ms: Option<u64>,
}

/// Target stand-in that serves requests until it is stopped.
#[derive(Debug)]
pub struct TargetServer {
    /// Address that the target listens on.
    pub address: SocketAddr,
    target: Arc<Target>,
    stop: watch::Sender<bool>,
    server: tokio::task::JoinHandle<()>,
    renewal: tokio::task::JoinHandle<()>,
}

impl TargetServer {
    /// Starts a target, which announces itself to its node and renews the announcement every
    /// second.
    pub async fn start(settings: TargetSettings) -> Result<Self, std::io::Error> {
        let listener = TcpListener::bind(&settings.listen).await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Target::new(settings));
        let (stop, stopped) = watch::channel(false);
        let served = target.clone();
        let handler = move |incoming| handle(served.clone(), incoming);
        let server = tokio::spawn(serve(listener, handler, stopped));
        let renewal = tokio::spawn(keep_announced(target.clone(), address));
        Ok(Self { address, target, stop, server, renewal })
    }

    /// Reports draining to the node, waits for the requests in flight, reports leaving and stops
    /// the server.
    pub async fn stop(self) {
        self.renewal.abort();
        self.target.notify_node("/target/drain").await;
        self.target.state().draining = true;
        let started = Instant::now();
        while self.target.in_flight.load(Ordering::SeqCst) > 0 && started.elapsed() < MAX_STOP_TIME
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.target.notify_node("/target/leave").await;
        let _ = self.stop.send(true);
        let _ = tokio::time::timeout(MAX_STOP_TIME, self.server).await;
    }
}

#[derive(Debug)]
struct Target {
    settings: TargetSettings,
    client: HttpClient,
    slots: Semaphore,
    in_flight: AtomicUsize,
    frozen: watch::Sender<bool>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    draining: bool,
    lying: bool,
    slow: f64,
    cold_start: Option<ColdStart>,
    runs: BTreeMap<String, Run>,
}

/// Cold start, during which the service time is longer than the configured one.
#[derive(Debug, Clone, Copy)]
struct ColdStart {
    started: Instant,
    duration: Duration,
}

/// Number of runs of one request at this target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Run {
    pub(crate) class: String,
    pub(crate) count: u64,
}

/// Body of a request and of its child calls; every part of the answer repeats the nonce.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct RequestBody {
    #[serde(default)]
    pub(crate) nonce: u64,
    /// Service whose target aborts its process when it runs the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) crash: Option<String>,
}

/// Answer of a run, including the answers of its child calls.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AnswerBody {
    pub(crate) service: String,
    pub(crate) class: String,
    pub(crate) request: String,
    pub(crate) nonce: u64,
    pub(crate) children: Vec<Self>,
}

/// Failure of a child call to return a complete answer.
#[derive(Debug, Clone, thiserror::Error)]
#[error("child {class}: {reason}")]
struct ChildError {
    class: Name,
    reason: String,
}

/// Decrements the number of requests in flight when dropped, however the handling of the request
/// ends.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Target {
    fn new(settings: TargetSettings) -> Self {
        let state = State {
            draining: false,
            lying: false,
            slow: 1.0,
            cold_start: None,
            runs: BTreeMap::new(),
        };
        Self {
            slots: Semaphore::new(settings.slots as usize),
            settings,
            client: HttpClient::default(),
            in_flight: AtomicUsize::new(0),
            frozen: watch::Sender::new(false),
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Posts an empty message to the node and ignores errors, since the node may have stopped.
    async fn notify_node(&self, path: &str) {
        if let Some(node) = &self.settings.node_admin {
            let sent = self.client.post(node, path, &Value::Null);
            let _ = tokio::time::timeout(NOTIFY_TIMEOUT, sent).await;
        }
    }

    async fn announce(&self, node: &str, address: SocketAddr) -> Result<u16, HttpError> {
        let announcement = Announcement {
            service: self.settings.service.clone(),
            address: address.to_string(),
            slots: self.settings.slots,
            connections: self.settings.connections,
        };
        Ok(self.client.post(node, "/target/announce", &announcement).await?.status)
    }

    /// Runs a request: waits for a slot, spends the service time, then makes the child calls one
    /// after another.
    async fn run(&self, incoming: &IncomingRequest) -> HandlerResult {
        let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let _guard = InFlightGuard(&self.in_flight);
        if self.state().draining || in_flight >= 2 * self.settings.slots as usize {
            return shed_response();
        }
        let Ok(body) = serde_json::from_slice::<RequestBody>(&incoming.body) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "expected a JSON object with nonce and crash",
            );
        };
        let Ok(_slot) = self.slots.acquire().await else {
            return shed_response();
        };
        let class = incoming.header(header::CLASS).unwrap_or_default().to_owned();
        let request = incoming.header(header::REQUEST_ID).unwrap_or_default().to_owned();
        self.count_run(&request, &class);
        if body.crash.as_deref() == Some(self.settings.service.as_str()) {
            std::process::abort();
        }
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
        tokio::time::sleep(self.work_time()).await;
        match self.call_children(incoming, &class).await {
            Ok(children) => {
                let service = self.settings.service.to_string();
                let nonce = body.nonce;
                json_response(
                    StatusCode::OK,
                    &AnswerBody { service, class, request, nonce, children },
                )
            }
            Err(error) => {
                let (class, request) = (class.as_str(), request.as_str());
                let error = error.to_string();
                let body = json!({ "class": class, "request": request, "error": error });
                json_response(StatusCode::BAD_GATEWAY, &body)
            }
        }
    }

    fn count_run(&self, request: &str, class: &str) {
        let mut state = self.state();
        let run = Run { class: class.to_owned(), count: 0 };
        state.runs.entry(request.to_owned()).or_insert(run).count += 1;
        if state.runs.len() > MAX_COUNTED_REQUESTS {
            state.runs.pop_first();
        }
    }

    fn work_time(&self) -> Duration {
        let state = self.state();
        let cold = state.cold_start.map_or(1.0, |start| {
            let done = start.started.elapsed().as_secs_f64() / start.duration.as_secs_f64();
            10.0 - 9.0 * done.clamp(0.0, 1.0)
        });
        self.settings.service_time.mul_f64(state.slow * cold)
    }

    async fn call_children(
        &self,
        incoming: &IncomingRequest,
        class: &str,
    ) -> Result<Vec<AnswerBody>, ChildError> {
        let started = Instant::now();
        let mut children = Vec::new();
        for child in self.settings.graph.children(class) {
            children.push(self.call_child(incoming, child, started.elapsed()).await?);
        }
        Ok(children)
    }

    async fn call_child(
        &self,
        incoming: &IncomingRequest,
        child: &Name,
        spent: Duration,
    ) -> Result<AnswerBody, ChildError> {
        let fail = |reason: String| ChildError { class: child.clone(), reason };
        let request =
            self.child_request(incoming, child, spent).map_err(|e| fail(e.to_string()))?;
        let reply = self.client.send(request).await.map_err(|e| fail(e.to_string()))?;
        let outcome = reply.headers.get(header::OUTCOME).and_then(|value| value.to_str().ok());
        let done = outcome == Some("done") && reply.status == 200;
        if !done {
            let error = reply.headers.get(header::ERROR).and_then(|value| value.to_str().ok());
            return Err(fail(format!("{outcome:?} {error:?} status {}", reply.status)));
        }
        reply.json().map_err(|error| fail(error.to_string()))
    }

    fn child_request(
        &self,
        incoming: &IncomingRequest,
        child: &Name,
        spent: Duration,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let node = self.settings.node_caller.as_deref().unwrap_or_default();
        let customer = incoming.header(header::CUSTOMER).unwrap_or(self.settings.customer.as_str());
        let mut builder = Request::post(format!("http://{node}/call"))
            .header(header::CUSTOMER, customer)
            .header(header::CLASS, child.as_str());
        if let Some(parent) = incoming.header(header::PARENT) {
            builder = builder.header(header::PARENT, parent);
        }
        if let Some(left) = incoming.header(header::DEADLINE).and_then(|text| text.parse().ok()) {
            let left = Duration::from_millis(left).saturating_sub(spent);
            builder = builder.header(header::DEADLINE, left.as_millis().to_string());
        }
        builder.body(Full::new(incoming.body.clone()))
    }

    fn control(&self, body: &[u8]) -> HandlerResult {
        let Ok(faults) = serde_json::from_slice::<TargetFaults>(body) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "expected drain, freeze, slow, lie, cold_ms",
            );
        };
        let mut state = self.state();
        state.draining = faults.drain.unwrap_or(state.draining);
        state.lying = faults.lie.unwrap_or(state.lying);
        state.slow = faults.slow.filter(|slow| *slow >= 0.0).unwrap_or(state.slow);
        if let Some(millis) = faults.cold_ms.filter(|millis| *millis > 0) {
            let duration = Duration::from_millis(millis);
            state.cold_start = Some(ColdStart { started: Instant::now(), duration });
        }
        if let Some(freeze) = faults.freeze {
            self.frozen.send_replace(freeze);
        }
        text_response(StatusCode::OK, "")
    }

    fn health(&self) -> HandlerResult {
        let in_flight = self.in_flight.load(Ordering::SeqCst) as f64;
        let state = self.state();
        let (healthy, load) = match state.lying {
            true => (true, 0.0),
            false => (!state.draining, in_flight / f64::from(self.settings.slots.max(1))),
        };
        json_response(StatusCode::OK, &json!({ "healthy": healthy, "load": load }))
    }

    fn runs(&self) -> HandlerResult {
        json_response(StatusCode::OK, &self.state().runs)
    }
}

async fn handle(target: Arc<Target>, incoming: IncomingRequest) -> HandlerResult {
    match (incoming.method.clone(), incoming.path.as_str()) {
        (Method::POST, "/") => with_run_token(target.run(&incoming).await, &incoming),
        (Method::POST, "/control") => target.control(&incoming.body),
        (Method::GET, "/control/runs") => target.runs(),
        (Method::GET, "/health") => target.health(),
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Adds the token of the run to the answer, by which the node distinguishes it from the answers of
/// other runs.
fn with_run_token(result: HandlerResult, incoming: &IncomingRequest) -> HandlerResult {
    let mut response = result?;
    if let Some(token) = incoming.headers.get(header::PARENT) {
        response.headers_mut().insert(header::PARENT, token.clone());
    }
    Ok(response)
}

/// Response that signals that the request was shed before it started.
fn shed_response() -> HandlerResult {
    let response = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(header::SHED, HeaderValue::from_static("not-run"));
    response.body(Full::default()).map_err(|_| CloseConnection)
}

/// Announces the target until the node accepts it, then renews the announcement; announces again
/// after a renewal that failed.
async fn keep_announced(target: Arc<Target>, address: SocketAddr) {
    let Some(node) = target.settings.node_admin.clone() else {
        return;
    };
    let mut announced = false;
    loop {
        let status = if announced {
            target.client.post(&node, "/target/renew", &Value::Null).await.map(|reply| reply.status)
        } else {
            target.announce(&node, address).await
        };
        announced = matches!(status, Ok(200..=299));
        tokio::time::sleep(if announced { RENEWAL_INTERVAL } else { RENEWAL_INTERVAL / 10 }).await;
    }
}
