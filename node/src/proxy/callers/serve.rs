//! HTTP/1.1 server for callers: accepts any method, path and body, on persistent or new
//! connections.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{HeaderName, Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use poplar_core::{
    CallerLimits, ErrorKind, Importance, LimitedWorkspace, Moment, Name, Outcome, PathLevel,
    Revision, RouteRule, WorkspaceHash,
};
use poplar_kernel::Clock;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::proxy::callers::dispatch::{Dispatcher, InboundRequest, SendHistory};
use crate::proxy::callers::entry_stats::EntryStats;
use crate::proxy::callers::reply::{self, Reply};
use crate::proxy::decisions::{Decision, DecisionLog};
use crate::proxy::fields;
use crate::proxy::frame::{Field, TargetResponse};
use crate::proxy::in_flight::InFlightGuard;
use crate::proxy::links::leases;
use crate::proxy::metrics::Metrics;
use crate::proxy::ports::HeaderNames;
use crate::proxy::state::rules::{ActiveRules, Rules};
use crate::servers::body_reader::{BodyError, BodyReader};

/// Retry delay sent to callers while the node has no rules; it reads them when it starts.
const NO_RULES_RETRY: Duration = Duration::from_millis(300);
/// Retry delay sent to a caller whose body does not fit into the memory left for bodies.
const BODY_MEMORY_RETRY: Duration = Duration::from_millis(300);
/// Retry delay sent to callers of a stopping node; a restart takes about this long.
const STOPPED_RETRY: Duration = Duration::from_millis(1_000);
/// Largest request head accepted while no rules are known, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Smallest read buffer that hyper accepts, in bytes.
const BUFFER_MIN_BYTES: usize = 8 << 10;
/// Bytes of the read buffer beyond the largest head, so that the operator's limit applies rather
/// than the buffer size.
const BUFFER_SLACK_BYTES: usize = 1 << 10;
/// Idle timeout of a connection while no rules are known.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which a connection stays open beyond the idle timeout, so that a request sent just
/// before the timeout is still read.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// Largest number of header fields of a request.
const HEADER_FIELDS_MAX: usize = 256;
/// Time limit for reading a request body; the caller's deadline and the route's timeout may set a
/// shorter one.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Divisor of the memory of the process that gives the memory for request bodies.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// HTTP server that receives requests from callers and dispatches them to targets.
pub(crate) struct CallerServer {
    pub(crate) clock: Clock,
    pub(crate) header_names: Arc<HeaderNames>,
    pub(crate) rules: Arc<Rules>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stats: Arc<EntryStats>,
    pub(crate) decisions: Arc<DecisionLog>,
    pub(crate) body_reader: BodyReader,
    /// Set when the process begins to stop: each response then carries `Connection: close`.
    pub(crate) closing: AtomicBool,
    /// Set when a stopping process refuses all further requests.
    pub(crate) refusing: AtomicBool,
    /// Number of requests that have no response yet.
    pub(crate) in_flight: AtomicUsize,
    /// Number of open connections.
    pub(crate) open_connections: AtomicUsize,
    /// Set to shut all connections down gracefully, each after its pending response.
    pub(crate) shutdown: watch::Sender<bool>,
    /// Set to answer all requests in flight with an unknown outcome, because the process is about
    /// to exit.
    pub(crate) given_up: watch::Sender<bool>,
}

impl CallerServer {
    /// Body reader for a process that may use `memory` bytes.
    pub(crate) fn body_reader(memory: u64) -> BodyReader {
        BodyReader::new(usize::try_from(memory / BODY_MEMORY_DIVISOR).unwrap_or(usize::MAX))
    }

    /// Number of requests that have no response yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Serves one connection until either end closes it.
    pub(crate) async fn serve(self: Arc<Self>, socket: TcpStream) {
        let active = self.rules.current();
        let limits = active.as_ref().map(|active| active.rules.limits);
        // A connection's limits are set once, so one opened without the operator's limits is closed
        // after its first response.
        let provisional = limits.is_none();
        let callers = self.clone();
        let service = service_fn(move |req| {
            let callers = callers.clone();
            async move { Ok::<_, Infallible>(callers.answer(req, provisional).await) }
        });
        let _open = InFlightGuard::begin(&self.open_connections);
        let mut shutdown = self.shutdown.subscribe();
        let mut connection =
            pin!(http_builder(limits).serve_connection(TokioIo::new(socket), service));
        // Connection errors are ignored: if the connection ends, hyper drops the pending request's
        // future, which cancels it.
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = shutdown.wait_for(|shutdown| *shutdown) => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    /// Number of open connections; a connection closes only after its last response is written.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Acquire)
    }

    /// Answers a request; a `provisional` connection closes after the response.
    async fn answer(&self, req: Request<Incoming>, provisional: bool) -> Reply {
        let began = self.clock.now();
        let _in_flight = InFlightGuard::begin(&self.in_flight);
        let mut reply = if self.refusing.load(Ordering::Acquire) {
            reply::refused(ErrorKind::Draining, STOPPED_RETRY)
        } else {
            self.handle(began, req).await
        };
        if provisional || self.closing.load(Ordering::Acquire) {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn handle(&self, began: Moment, req: Request<Incoming>) -> Reply {
        let Some(active) = self.rules.current() else {
            return reply::refused(ErrorKind::NoContract, NO_RULES_RETRY);
        };
        let (head, body) = req.into_parts();
        let Some(route) = find_route(&active, &head) else {
            return reply::error(StatusCode::NOT_FOUND, ErrorKind::UnknownClass);
        };
        let Some(request) = head.headers.get(&self.header_names.request_id) else {
            return reply::error(StatusCode::BAD_REQUEST, ErrorKind::BadRequest);
        };
        let request = Bytes::copy_from_slice(request.as_bytes());
        let Ok(origin) = self.origin(&active, route, &head) else {
            let refusal = Refusal { kind: ErrorKind::UnknownKey, retry_after: Duration::ZERO };
            return self.refuse(began, &active, route, request, None, refusal);
        };
        let wait = requested_timeout(&head, &self.header_names.deadline).unwrap_or(route.timeout);
        let deadline = began + wait.min(route.timeout);
        let wait = deadline.since(began).min(BODY_TIMEOUT);
        let body = match self.body_reader.read(body, active.rules.limits.body, wait).await {
            Ok(body) => body,
            Err(error) => return body_error_reply(error),
        };
        let limited = origin.limited;
        let token = match (&origin.name, limited) {
            (Some(name), Some(workspace)) => {
                match leases::take(&self.dispatcher.peers, name, workspace).await {
                    Ok(token) => Some((workspace.hash, token)),
                    Err(retry_after) => {
                        let refusal = Refusal { kind: ErrorKind::WorkspaceLimit, retry_after };
                        return self.refuse(began, &active, route, request, origin.name, refusal);
                    }
                }
            }
            _ => None,
        };
        let request = self.inbound_request(head, request, body.body.clone(), deadline, origin);
        let outcome = self.forward(began, active.rules.revision, route, &request).await;
        if let (Outcome::NotRun { .. }, Some((workspace, token))) = (&outcome, token) {
            self.dispatcher.peers.quotas.put_back(workspace, token);
        }
        reply::from_outcome(outcome)
    }

    /// Refuses a request before its dispatch and records the refusal.
    fn refuse(
        &self,
        began: Moment,
        active: &ActiveRules,
        route: &RouteRule,
        request: Bytes,
        workspace: Option<Name>,
        refusal: Refusal,
    ) -> Reply {
        let Refusal { kind, retry_after } = refusal;
        let outcome = Outcome::NotRun { kind, retry_after };
        let took = self.clock.now().since(began);
        self.metrics.record_answer(&route.name, &outcome, took);
        self.decisions.write(&outcome, || Decision {
            request,
            route: route.name.clone(),
            workspace,
            fingerprint: None,
            place: "entry",
            revision: active.rules.revision.0,
            tried: String::new(),
            path_level: PathLevel::default(),
            passing: 1.0,
            took,
        });
        reply::from_outcome(outcome)
    }

    async fn forward(
        &self,
        began: Moment,
        revision: Revision,
        route: &RouteRule,
        request: &InboundRequest,
    ) -> Outcome<TargetResponse> {
        let left = request.deadline.since(self.clock.now());
        let mut history = SendHistory::default();
        let dispatched = self.dispatcher.dispatch(route, request, &mut history);
        let mut given_up = self.given_up.subscribe();
        let outcome = tokio::select! {
            // An answer that is ready is delivered, also at the end of the grace time.
            biased;
            outcome = tokio::time::timeout(left, dispatched) => {
                outcome.unwrap_or(Outcome::Unknown { kind: ErrorKind::Deadline })
            }
            _ = given_up.wait_for(|given_up| *given_up) => {
                Outcome::Unknown { kind: ErrorKind::Draining }
            }
        };
        let took = self.clock.now().since(began);
        self.metrics.record_answer(&route.name, &outcome, took);
        if !history.internal {
            self.stats.record(&outcome, &history.work);
            self.record_result(route, &outcome);
        }
        self.decisions.write(&outcome, || {
            let (path_level, passing) = self.dispatcher.graph.path_level(route, request.importance);
            Decision {
                request: request.id.clone(),
                route: route.name.clone(),
                workspace: request.workspace.clone(),
                fingerprint: Some(self.dispatcher.fingerprint(route, request)),
                place: "entry",
                revision: revision.0,
                tried: history.tried.iter().map(ToString::to_string).collect::<Vec<_>>().join(" "),
                path_level,
                passing,
                took,
            }
        });
        outcome
    }

    /// Reports to the call graph whether a request that a target may have run completed.
    fn record_result(&self, route: &RouteRule, outcome: &Outcome<TargetResponse>) {
        match outcome {
            Outcome::Done(response) => {
                self.dispatcher.graph.record_outcome(&route.name, !response.is_failure())
            }
            Outcome::Unknown { .. } => self.dispatcher.graph.record_outcome(&route.name, false),
            Outcome::NotRun { .. } => {}
        }
    }

    /// Origin of a request with this head; an error if its route needs a key and the request has
    /// no valid one.
    ///
    /// A key that is sent although the route needs none still names the workspace, but has no
    /// influence otherwise if it is unknown.
    fn origin(
        &self,
        active: &ActiveRules,
        route: &RouteRule,
        head: &Parts,
    ) -> Result<Origin, UnknownKey> {
        let key = head.headers.get(&self.header_names.credential);
        let workspace = key.and_then(|key| active.workspace(key.as_bytes()));
        if workspace.is_none() && active.needs_key(route) {
            return Err(UnknownKey);
        }
        Ok(Origin {
            workspaces: active.rules.workspaces.is_some(),
            name: workspace.map(|workspace| workspace.name.clone()),
            limited: workspace.and_then(|workspace| {
                let hash = WorkspaceHash::of(&workspace.name);
                Some(LimitedWorkspace { hash, rate: workspace.rate? })
            }),
            importance: workspace
                .and_then(|workspace| workspace.importance)
                .unwrap_or(route.importance),
        })
    }

    fn inbound_request(
        &self,
        head: Parts,
        request: Bytes,
        body: Bytes,
        deadline: Moment,
        origin: Origin,
    ) -> InboundRequest {
        let header_names = &self.header_names;
        let mut replaced = vec![
            &header_names.request_id,
            &header_names.deadline,
            &header_names.instance,
            &header_names.caller_service,
        ];
        if origin.workspaces {
            replaced.extend([&header_names.credential, &header_names.workspace]);
        }
        let mut fields = fields::end_to_end(&head.headers, &replaced);
        fields.extend(origin.name.as_ref().map(|name| {
            let field = header_names.workspace.as_str();
            Field(Bytes::copy_from_slice(field.as_bytes()), name.as_str().to_owned().into())
        }));
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        InboundRequest {
            id: request,
            method: head.method.to_string(),
            path: path.to_owned(),
            fields,
            body,
            workspace: origin.name,
            importance: origin.importance,
            deadline,
        }
    }
}

/// Who sent a request, as proved by its key.
struct Origin {
    /// Whether the rules define workspaces, so that the headers that name them belong to the node.
    workspaces: bool,
    /// Name of the workspace.
    name: Option<Name>,
    /// Workspace, if it has a rate limit.
    limited: Option<LimitedWorkspace>,
    /// Importance of the request.
    importance: Importance,
}

/// Reason for which a request is refused before its dispatch, and when the caller may retry.
struct Refusal {
    kind: ErrorKind,
    retry_after: Duration,
}

/// The request carries no valid key although its route needs one.
struct UnknownKey;

/// Response to a request whose body could not be read; no target received the request.
fn body_error_reply(error: BodyError) -> Reply {
    match error {
        BodyError::TooLarge(_) => {
            reply::error(StatusCode::PAYLOAD_TOO_LARGE, ErrorKind::BadRequest)
        }
        BodyError::Timeout => reply::error(StatusCode::REQUEST_TIMEOUT, ErrorKind::BadRequest),
        BodyError::Incomplete => reply::error(StatusCode::BAD_REQUEST, ErrorKind::BadRequest),
        BodyError::NoMemory => reply::refused(ErrorKind::Overload, BODY_MEMORY_RETRY),
    }
}

/// Builder of the HTTP server with the operator's limits, or with defaults while none are known.
fn http_builder(limits: Option<CallerLimits>) -> http1::Builder {
    let head = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head);
    let idle = limits.map_or(IDLE_TIMEOUT, |limits| limits.idle_time.max(limits.head_time));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // hyper's timer runs from the end of the last response, so it also limits idle time.
        .header_read_timeout(idle + IDLE_SLACK)
        .half_close(false)
        .auto_date_header(false)
        .max_headers(HEADER_FIELDS_MAX)
        .max_buf_size((head + BUFFER_SLACK_BYTES).max(BUFFER_MIN_BYTES));
    builder
}

/// Finds the route of a request by its host and path.
fn find_route<'a>(active: &'a ActiveRules, head: &Parts) -> Option<&'a RouteRule> {
    let host_header = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(host_header)?;
    active.route(host, head.uri.path())
}

/// Time for which the caller waits, from the header `name`, which holds milliseconds.
fn requested_timeout(head: &Parts, name: &HeaderName) -> Option<Duration> {
    let text = head.headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}
