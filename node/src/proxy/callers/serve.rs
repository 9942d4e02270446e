//! HTTP/1.1 server for callers: accepts any method, path and body, on persistent or new
//! connections.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, HeaderName, Request, StatusCode, Uri};
use http_body_util::Empty;
use hyper::body::Body;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use poplar_core::{
    CallerLimits, ErrorKind, Importance, LimitedWorkspace, Moment, Name, Outcome, PathLevel,
    Revision, RouteRule, WorkspaceHash,
};
use poplar_kernel::Clock;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use crate::closing::Closer;
use crate::proxy::callers::dispatch::{Dispatcher, InboundRequest, SendHistory};
use crate::proxy::callers::end_cause::EndCause;
use crate::proxy::callers::entry_stats::EntryStats;
use crate::proxy::callers::read_ahead::{
    Connection, Reached, ReadAhead, ReadAheadTotals, Unanswered,
};
use crate::proxy::callers::reply::{self, Reply};
use crate::proxy::callers::request_body::RequestBody;
use crate::proxy::callers::watched_stream::WatchedStream;
use crate::proxy::decisions::{ConnectionEnd, Decision, DecisionLog};
use crate::proxy::fields;
use crate::proxy::frame::{Field, TargetResponse};
use crate::proxy::in_flight::InFlightGuard;
use crate::proxy::links::leases;
use crate::proxy::memory::{CallerConnection, CallerMemory};
use crate::proxy::metrics::Metrics;
use crate::proxy::ports::HeaderNames;
use crate::proxy::state::rules::{ActiveRules, Rules};
use crate::servers::body_reader::{BodyError, BodyReader};

/// Retry delay sent to callers while the node has no rules; it reads them when it starts.
const NO_RULES_RETRY: Duration = Duration::from_millis(300);
/// Retry delay sent to a caller whose body does not fit into the memory left for bodies.
const BODY_MEMORY_RETRY: Duration = Duration::from_millis(300);
/// Mean retry delay sent to a caller for whose answer there is no memory; in that time a connection
/// that takes no bytes can be closed.
const ANSWER_MEMORY_RETRY: Duration = Duration::from_millis(1_000);
/// Bytes that the kernel takes from a connection beyond those it can send. A small number makes it
/// tell early that a slow client has taken some.
const UNSENT_BYTES: u32 = 128 << 10;
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
pub(crate) const HEADER_FIELDS_MAX: usize = 256;
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
    /// What the connections have read ahead.
    pub(crate) read_ahead: Arc<ReadAheadTotals>,
    pub(crate) memory: Arc<CallerMemory>,
    pub(crate) closer: Arc<Closer>,
    /// Set when the process begins to stop: no request is started ahead any more, and each response
    /// without such requests behind it carries `Connection: close`.
    pub(crate) closing: AtomicBool,
    /// Set when a stopping process refuses all further requests.
    pub(crate) refusing: AtomicBool,
    /// Number of requests that have no response yet.
    pub(crate) in_flight: AtomicUsize,
    /// Number of connections that are served.
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

    /// Serves one connection until either end closes it, or a limit for callers does.
    pub(crate) fn serve(
        self: Arc<Self>,
        socket: TcpStream,
    ) -> impl Future<Output = ()> + Send + 'static {
        // Before the task begins, so that a refused connection returns its descriptor at once.
        let open = self.memory.open().map(|connection| (Arc::new(connection), socket));
        async move {
            let Some((connection, socket)) = open else { return };
            // An error is ignored because without this option stalls are only noticed later.
            let _ = SockRef::from(&socket).set_tcp_notsent_lowat(UNSENT_BYTES);
            let active = self.rules.current();
            let limits = active.as_ref().map(|active| active.rules.limits);
            // A connection's limits are set once, so one opened without the operator's limits is
            // closed after its first response.
            let state = Arc::new(Connection::new(self.clone(), limits.as_ref()));
            let mut end = ConnectionGuard::new(&self, connection.clone(), state.clone());
            end.cause = tokio::select! {
                // A connection that must be closed begins no further request.
                biased;
                () = connection.closing() => EndCause::Limit,
                cause = self.clone().serve_open(socket, limits, connection.clone(), state) => cause,
            }
        }
    }

    /// Serves an open connection until it ends; returns why it did.
    async fn serve_open(
        self: Arc<Self>,
        socket: TcpStream,
        limits: Option<CallerLimits>,
        caller: Arc<CallerConnection>,
        connection: Arc<Connection>,
    ) -> EndCause {
        let service = service_fn({
            let (callers, connection, caller) = (self.clone(), connection.clone(), caller.clone());
            move |req| {
                let (callers, connection, caller) =
                    (callers.clone(), connection.clone(), caller.clone());
                let reached = connection.reach(&req);
                let req = req.map(|body| RequestBody::new(body, &caller));
                async move {
                    caller.begin_request();
                    let mut reply = callers.answer(req, reached, &connection).await;
                    let share = reply::take_share(&mut reply);
                    caller.end_request(share.as_deref(), connection.started());
                    Ok::<_, Infallible>(reply)
                }
            }
        });
        let _open = InFlightGuard::begin(&self.open_connections);
        let mut shutdown = self.shutdown.subscribe();
        let socket = self.closer.registered(socket, caller.clone());
        let stream = ReadAhead::new(socket, connection.clone());
        let stream = TokioIo::new(WatchedStream::new(stream, caller));
        let mut served = pin!(http_builder(limits).serve_connection(stream, service));
        // If the connection ends, hyper drops the pending request's future, which cancels it, and
        // those that were started ahead are cancelled with `connection`.
        tokio::select! {
            served = served.as_mut() => return end_cause(&served, EndCause::LastAnswer),
            _ = shutdown.wait_for(|shutdown| *shutdown) => {}
        }
        // hyper closes the connection after its pending response, so it must have reached all
        // requests that were started.
        let ended = poll_fn(|cx| match served.as_mut().poll(cx) {
            Poll::Ready(served) => Poll::Ready(Some(served)),
            Poll::Pending if connection.started() == 0 => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        });
        let served = match ended.await {
            Some(served) => served,
            None => {
                served.as_mut().graceful_shutdown();
                served.await
            }
        };
        end_cause(&served, EndCause::Stop)
    }

    /// Number of connections that are served. The last response of each of the others is written,
    /// and [`Closer`] closes it.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Acquire)
    }

    /// Answers a request that the server has reached.
    async fn answer(
        &self,
        req: Request<RequestBody>,
        reached: Reached,
        connection: &Connection,
    ) -> Reply {
        // A request that was started ahead counts itself.
        let in_flight = reached.answer.is_none();
        let _in_flight = in_flight.then(|| InFlightGuard::begin(&self.in_flight));
        let mut reply = match reached.answer {
            // An error means that the request panicked; a target may have run it.
            Some(answer) => answer
                .await
                .unwrap_or_else(|_| reply::error(StatusCode::BAD_GATEWAY, ErrorKind::Connection)),
            None => {
                let began = reached.read_at.unwrap_or_else(|| self.clock.now());
                self.admit(began, req).await
            }
        };
        if connection.finish() {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    /// Starts a request without a body ahead of the server; it is cancelled if the handle is
    /// dropped.
    pub(crate) fn start(self: Arc<Self>, began: Moment, head: Parts) -> AbortOnDropHandle<Reply> {
        let req = Request::from_parts(head, Empty::<Bytes>::new());
        AbortOnDropHandle::new(tokio::spawn(async move {
            let _in_flight = InFlightGuard::begin(&self.in_flight);
            self.admit(began, req).await
        }))
    }

    /// Whether a request with this head matches a route and may run more than once.
    pub(crate) fn is_repeatable(&self, uri: &Uri, headers: &HeaderMap) -> bool {
        let active = self.rules.current();
        let route = active.as_ref().and_then(|active| find_route(active, uri, headers));
        route.is_some_and(RouteRule::is_idempotent)
    }

    async fn admit<B>(&self, began: Moment, req: Request<B>) -> Reply
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if self.refusing.load(Ordering::Acquire) {
            return reply::refused(ErrorKind::Draining, STOPPED_RETRY);
        }
        self.handle(began, req).await
    }

    async fn handle<B>(&self, began: Moment, req: Request<B>) -> Reply
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let Some(active) = self.rules.current() else {
            return reply::refused(ErrorKind::NoContract, NO_RULES_RETRY);
        };
        let (head, body) = req.into_parts();
        let Some(route) = find_route(&active, &head.uri, &head.headers) else {
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
        if !wait.is_zero() && deadline <= self.clock.now() {
            // It was read ahead, and waited behind other requests until its caller was gone.
            let refusal = Refusal { kind: ErrorKind::Deadline, retry_after: Duration::ZERO };
            return self.refuse(began, &active, route, request, origin.name, refusal);
        }
        let wait = deadline.since(began).min(BODY_TIMEOUT);
        let body = match self.body_reader.read(body, active.rules.limits.body, wait).await {
            // A body may stay queued on a link after its caller has left.
            Ok(body) => body.into_shared(),
            Err(error) => return body_error_reply(error),
        };
        // The process may have begun to refuse requests while the body came in.
        if self.refusing.load(Ordering::Acquire) {
            let refusal = Refusal { kind: ErrorKind::Draining, retry_after: STOPPED_RETRY };
            return self.refuse(began, &active, route, request, origin.name, refusal);
        }
        let Some(_expected) = self.memory.expect(&route.name) else {
            let retry_after = ANSWER_MEMORY_RETRY.mul_f64(0.5 + fastrand::f64());
            let refusal = Refusal { kind: ErrorKind::Overload, retry_after };
            return self.refuse(began, &active, route, request, origin.name, refusal);
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
        let request = self.inbound_request(head, request, body, deadline, origin);
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
        let mut forwarding = Forwarding {
            server: self,
            began,
            revision,
            route,
            request,
            history: SendHistory::default(),
            is_recorded: false,
        };
        let dispatched = self.dispatcher.dispatch(route, request, &mut forwarding.history);
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
        forwarding.record(&outcome);
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

/// Why the HTTP server ended a connection; `graceful` if it ended without an error.
fn end_cause(served: &hyper::Result<()>, graceful: EndCause) -> EndCause {
    served.as_ref().err().map_or(graceful, EndCause::of_error)
}

/// Connection that is being served. When it ends with requests unanswered, for whatever reason, the
/// log says which, and which end closed it.
struct ConnectionGuard {
    server: Arc<CallerServer>,
    caller: Arc<CallerConnection>,
    connection: Arc<Connection>,
    opened: Moment,
    cause: EndCause,
}

impl ConnectionGuard {
    fn new(
        server: &Arc<CallerServer>,
        caller: Arc<CallerConnection>,
        connection: Arc<Connection>,
    ) -> Self {
        let (server, opened) = (server.clone(), server.clock.now());
        Self { server, caller, connection, opened, cause: EndCause::Dropped }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let unanswered = self.connection.unanswered();
        if unanswered.is_empty() {
            return;
        }
        let Unanswered { socket_end, begun, unsent, held, answered } = unanswered;
        // What the socket reported goes first, since the server may end for this reason without an
        // error.
        let cause = socket_end.unwrap_or(self.cause);
        self.server.metrics.record_connection_end(cause);
        self.server.decisions.write_end(&ConnectionEnd {
            connection: self.caller.number(),
            cause,
            unanswered: begun,
            unsent,
            held,
            answered,
            stopping: self.server.closing.load(Ordering::Acquire),
            open: self.server.clock.now().since(self.opened),
        });
    }
}

/// Request that is sent to targets. If its future is dropped before it has an outcome, the log says
/// so, with the targets that were tried.
struct Forwarding<'a> {
    server: &'a CallerServer,
    began: Moment,
    revision: Revision,
    route: &'a RouteRule,
    request: &'a InboundRequest,
    history: SendHistory,
    is_recorded: bool,
}

impl Forwarding<'_> {
    /// Records the outcome of the request.
    fn record(&mut self, outcome: &Outcome<TargetResponse>) {
        self.is_recorded = true;
        let Self { server, began, route, history, .. } = self;
        server.metrics.record_answer(&route.name, outcome, server.clock.now().since(*began));
        if !history.internal {
            server.stats.record(outcome, &history.work);
            server.record_result(route, outcome);
        }
        self.log(outcome);
    }

    fn log(&self, outcome: &Outcome<TargetResponse>) {
        let Self { server, began, revision, route, request, history, .. } = self;
        server.decisions.write(outcome, || {
            let (path_level, passing) =
                server.dispatcher.graph.path_level(route, request.importance);
            Decision {
                request: request.id.clone(),
                route: route.name.clone(),
                workspace: request.workspace.clone(),
                fingerprint: Some(server.dispatcher.fingerprint(route, request)),
                place: "entry",
                revision: revision.0,
                tried: history.tried.iter().map(ToString::to_string).collect::<Vec<_>>().join(" "),
                path_level,
                passing,
                took: server.clock.now().since(*began),
            }
        });
    }
}

impl Drop for Forwarding<'_> {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.log(&Outcome::Unknown { kind: ErrorKind::Cancelled });
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
fn find_route<'a>(
    active: &'a ActiveRules,
    uri: &Uri,
    headers: &HeaderMap,
) -> Option<&'a RouteRule> {
    let host_header = headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = uri.host().or(host_header)?;
    active.route(host, uri.path())
}

/// Time for which the caller waits, from the header `name`, which holds milliseconds.
fn requested_timeout(head: &Parts, name: &HeaderName) -> Option<Duration> {
    let text = head.headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}
