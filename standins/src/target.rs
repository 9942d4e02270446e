//! Stand-in for a target: slots, service time, child calls, and the faults of real targets.

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
use serde_json::{Value, json as document};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

use crate::graph::ClassGraph;
use crate::http::{
    CloseConnection, HandlerResult, HttpClient, HttpError, IncomingRequest, json_response, serve,
    text_response,
};

/// Time between two renewals of the announcement.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Requests whose runs are counted; older ones are forgotten.
const MAX_COUNTED_REQUESTS: usize = 200_000;
/// Time for which a target waits for its node's word when it leaves.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest stop: time for which requests in flight are waited for.
const MAX_STOP_TIME: Duration = Duration::from_secs(30);

/// What a target is started with.
#[derive(Debug, Clone)]
pub struct TargetSettings {
    /// Address to listen on.
    pub listen: String,
    /// Service that it offers.
    pub service: Name,
    /// Customer for child calls, if the node does not tell one.
    pub customer: Name,
    /// Admin address of its node, `ip:port`; without one it announces itself to nobody.
    pub node_admin: Option<String>,
    /// Caller address of its node, `ip:port`; without one it makes no child calls.
    pub node_caller: Option<String>,
    /// Requests that it runs at once; as many again wait, and more are shed.
    pub slots: u32,
    /// Connections that it announces.
    pub connections: u32,
    /// Time that a run takes, child calls not counted.
    pub service_time: Duration,
    /// Child calls of each class.
    pub graph: ClassGraph,
}

/// Faults of a target, as `POST /control` sets them; a key that is absent stays as it was.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetFaults {
    /// Whether it sheds everything as not run.
    pub drain: Option<bool>,
    /// Whether it takes requests and never goes on with them.
    pub freeze: Option<bool>,
    /// Factor on the service time.
    pub slow: Option<f64>,
    /// Whether its health and load say that all is well, whatever is the case.
    pub lie: Option<bool>,
    /// Time over which the service time falls from ten times to once its length, from now on.
    pub cold_ms: Option<u64>,
}

/// Running target.
#[derive(Debug)]
pub struct TargetServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    target: Arc<Target>,
    stop: watch::Sender<bool>,
    server: tokio::task::JoinHandle<()>,
    renewal: tokio::task::JoinHandle<()>,
}

impl TargetServer {
    /// Starts a target, which announces itself to its node and renews every second.
    pub async fn start(settings: TargetSettings) -> Result<Self, std::io::Error> {
        let listener = TcpListener::bind(&settings.listen).await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Target::new(settings));
        let (stop, stopped) = watch::channel(false);
        let served = target.clone();
        let handler = move |asked| handle(served.clone(), asked);
        let server = tokio::spawn(serve(listener, handler, stopped));
        let renewal = tokio::spawn(keep_announced(target.clone(), address));
        Ok(Self { address, target, stop, server, renewal })
    }

    /// Drains through its node, finishes what is in flight, leaves and ends.
    pub async fn stop(self) {
        self.renewal.abort();
        self.target.notify_node("/target/drain").await;
        self.target.state().draining = true;
        let begun = Instant::now();
        while self.target.in_flight.load(Ordering::SeqCst) > 0 && begun.elapsed() < MAX_STOP_TIME {
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

/// Time of a cold start.
#[derive(Debug, Clone, Copy)]
struct ColdStart {
    started: Instant,
    duration: Duration,
}

/// Runs of one request here.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Run {
    pub(crate) class: String,
    pub(crate) count: u64,
}

/// Body that a caller sends; the nonce comes back in every part of the answer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct RequestBody {
    #[serde(default)]
    pub(crate) nonce: u64,
    /// Service whose target the request crashes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) crash: Option<String>,
}

/// Answer of a run with the answers of its child calls.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AnswerBody {
    pub(crate) service: String,
    pub(crate) class: String,
    pub(crate) request: String,
    pub(crate) nonce: u64,
    pub(crate) children: Vec<Self>,
}

/// Child call that brought no whole answer.
#[derive(Debug, Clone, thiserror::Error)]
#[error("child {class}: {reason}")]
struct ChildError {
    class: Name,
    reason: String,
}

/// Counts a request as inside while it lives, however its handling ends.
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

    /// Tells the node something without a body; a node that is gone is no error.
    async fn notify_node(&self, path: &str) {
        if let Some(node) = &self.settings.node_admin {
            let told = self.client.post(node, path, &Value::Null);
            let _ = tokio::time::timeout(NOTIFY_TIMEOUT, told).await;
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

    /// Runs a request: waits for a slot, works, makes the child calls one after another.
    async fn run(&self, asked: &IncomingRequest) -> HandlerResult {
        let inside = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let _inside = InFlightGuard(&self.in_flight);
        if self.state().draining || inside >= 2 * self.settings.slots as usize {
            return shed_response();
        }
        let Ok(order) = serde_json::from_slice::<RequestBody>(&asked.body) else {
            return text_response(StatusCode::BAD_REQUEST, "the body is not an order");
        };
        let Ok(_slot) = self.slots.acquire().await else {
            return shed_response();
        };
        let class = asked.header(header::CLASS).unwrap_or_default().to_owned();
        let request = asked.header(header::REQUEST_ID).unwrap_or_default().to_owned();
        self.count_run(&request, &class);
        if order.crash.as_deref() == Some(self.settings.service.as_str()) {
            std::process::abort();
        }
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
        tokio::time::sleep(self.work_time()).await;
        match self.call_children(asked, &class).await {
            Ok(children) => {
                let service = self.settings.service.to_string();
                let nonce = order.nonce;
                json_response(
                    StatusCode::OK,
                    &AnswerBody { service, class, request, nonce, children },
                )
            }
            Err(error) => {
                let (class, request) = (class.as_str(), request.as_str());
                let error = error.to_string();
                let body = document!({ "class": class, "request": request, "error": error });
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
        let cold = state.cold_start.map_or(1.0, |warming| {
            let done = warming.started.elapsed().as_secs_f64() / warming.duration.as_secs_f64();
            10.0 - 9.0 * done.clamp(0.0, 1.0)
        });
        self.settings.service_time.mul_f64(state.slow * cold)
    }

    async fn call_children(
        &self,
        asked: &IncomingRequest,
        class: &str,
    ) -> Result<Vec<AnswerBody>, ChildError> {
        let begun = Instant::now();
        let mut children = Vec::new();
        for child in self.settings.graph.children(class) {
            children.push(self.call_child(asked, child, begun.elapsed()).await?);
        }
        Ok(children)
    }

    async fn call_child(
        &self,
        asked: &IncomingRequest,
        child: &Name,
        spent: Duration,
    ) -> Result<AnswerBody, ChildError> {
        let fail = |why: String| ChildError { class: child.clone(), reason: why };
        let request = self.child_request(asked, child, spent).map_err(|e| fail(e.to_string()))?;
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
        asked: &IncomingRequest,
        child: &Name,
        spent: Duration,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let node = self.settings.node_caller.as_deref().unwrap_or_default();
        let customer = asked.header(header::CUSTOMER).unwrap_or(self.settings.customer.as_str());
        let mut builder = Request::post(format!("http://{node}/call"))
            .header(header::CUSTOMER, customer)
            .header(header::CLASS, child.as_str());
        if let Some(parent) = asked.header(header::PARENT) {
            builder = builder.header(header::PARENT, parent);
        }
        if let Some(left) = asked.header(header::DEADLINE).and_then(|text| text.parse().ok()) {
            let left = Duration::from_millis(left).saturating_sub(spent);
            builder = builder.header(header::DEADLINE, left.as_millis().to_string());
        }
        builder.body(Full::new(asked.body.clone()))
    }

    fn control(&self, body: &[u8]) -> HandlerResult {
        let Ok(switches) = serde_json::from_slice::<TargetFaults>(body) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "expected drain, freeze, slow, lie, cold_ms",
            );
        };
        let mut state = self.state();
        state.draining = switches.drain.unwrap_or(state.draining);
        state.lying = switches.lie.unwrap_or(state.lying);
        state.slow = switches.slow.filter(|slow| *slow >= 0.0).unwrap_or(state.slow);
        if let Some(millis) = switches.cold_ms.filter(|millis| *millis > 0) {
            let span = Duration::from_millis(millis);
            state.cold_start = Some(ColdStart { started: Instant::now(), duration: span });
        }
        if let Some(freeze) = switches.freeze {
            self.frozen.send_replace(freeze);
        }
        text_response(StatusCode::OK, "")
    }

    fn health(&self) -> HandlerResult {
        let inside = self.in_flight.load(Ordering::SeqCst) as f64;
        let state = self.state();
        let (healthy, load) = match state.lying {
            true => (true, 0.0),
            false => (!state.draining, inside / f64::from(self.settings.slots.max(1))),
        };
        json_response(StatusCode::OK, &document!({ "healthy": healthy, "load": load }))
    }

    fn runs(&self) -> HandlerResult {
        json_response(StatusCode::OK, &self.state().runs)
    }
}

async fn handle(target: Arc<Target>, asked: IncomingRequest) -> HandlerResult {
    match (asked.method.clone(), asked.path.as_str()) {
        (Method::POST, "/") => with_run_token(target.run(&asked).await, &asked),
        (Method::POST, "/control") => target.control(&asked.body),
        (Method::GET, "/control/runs") => target.runs(),
        (Method::GET, "/health") => target.health(),
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// The answer with the token of its run, by which the node knows it from any other answer.
fn with_run_token(handled: HandlerResult, asked: &IncomingRequest) -> HandlerResult {
    let mut response = handled?;
    if let Some(token) = asked.headers.get(header::PARENT) {
        response.headers_mut().insert(header::PARENT, token.clone());
    }
    Ok(response)
}

/// The signal that a request was shed before it started.
fn shed_response() -> HandlerResult {
    let response = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(header::SHED, HeaderValue::from_static("not-run"));
    response.body(Full::default()).map_err(|_| CloseConnection)
}

/// Announces the target until the node takes it, then renews; announces again when refused.
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
