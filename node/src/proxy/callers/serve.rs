//! The HTTP/1.1 end for callers: any method, path and body, on kept or new connections.

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
use poplar_core::{CallerLimits, ErrorKind, Moment, Outcome, Revision, RouteRule};
use poplar_kernel::Clock;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::servers::body_reader::{BodyError, BodyReader};

use crate::proxy::callers::dispatch::{Dispatcher, InboundRequest, SendHistory};
use crate::proxy::callers::entry_stats::EntryStats;
use crate::proxy::callers::reply::{self, Reply};
use crate::proxy::decisions::{Decision, DecisionLog};
use crate::proxy::fields;
use crate::proxy::frame::TargetResponse;
use crate::proxy::in_flight::InFlightGuard;
use crate::proxy::metrics::Metrics;
use crate::proxy::ports::HeaderNames;
use crate::proxy::state::rules::{ActiveRules, Rules};

/// Time to come back for a caller that meets a node without rules: it reads them at its start.
const NO_RULES_RETRY: Duration = Duration::from_millis(300);
/// Time to come back for a caller whose body finds no room.
const BODY_MEMORY_RETRY: Duration = Duration::from_millis(300);
/// Time to come back for a caller that meets a stopping node: about what a restart takes.
const STOPPED_RETRY: Duration = Duration::from_millis(1_000);
/// Largest head that is read while no rules are known, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Smallest read buffer that the HTTP library allows, in bytes.
const BUFFER_MIN_BYTES: usize = 8 << 10;
/// Room in the read buffer beyond the head, so that the limit is the operator's, not the buffer's.
const BUFFER_SLACK_BYTES: usize = 1 << 10;
/// Idle time of a connection while no rules are known.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time beyond the idle limit for which a connection stays open, so that a request which crosses
/// the limit on its way is still read.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// Header fields that one request may have.
const HEADER_FIELDS_MAX: usize = 256;
/// Time within which a body must come in, when neither caller nor route bounds it.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Part of the memory of the process that bodies of callers may take, as a divisor.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// Serves callers.
pub(crate) struct CallerServer {
    pub(crate) clock: Clock,
    pub(crate) dialect: Arc<HeaderNames>,
    pub(crate) rules: Arc<Rules>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stats: Arc<EntryStats>,
    pub(crate) decisions: Arc<DecisionLog>,
    pub(crate) body_reader: BodyReader,
    /// Set when the process stops: each answer then asks the caller to leave the connection.
    pub(crate) closing: AtomicBool,
    /// Set when a stopping process takes no further request.
    pub(crate) refusing: AtomicBool,
    /// Requests without an answer yet.
    pub(crate) in_flight: AtomicUsize,
    /// Connections that are open.
    pub(crate) open_connections: AtomicUsize,
    /// Set when connections are to end, each with the answer that it waits for.
    pub(crate) shutdown: watch::Sender<bool>,
}

impl CallerServer {
    /// Reader of bodies for a process that may use `memory` bytes.
    pub(crate) fn body_reader(memory: u64) -> BodyReader {
        BodyReader::new(usize::try_from(memory / BODY_MEMORY_DIVISOR).unwrap_or(usize::MAX))
    }

    /// Requests without an answer yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Serves one connection until either end closes it.
    pub(crate) async fn serve(self: Arc<Self>, socket: TcpStream) {
        let held = self.rules.current();
        let limits = held.as_ref().map(|held| held.rules.limits);
        // The limits of a connection are set once, so one without the operator's is not kept.
        let provisional = limits.is_none();
        let callers = self.clone();
        let service = service_fn(move |req| {
            let callers = callers.clone();
            async move { Ok::<_, Infallible>(callers.answer(req, provisional).await) }
        });
        let _open = InFlightGuard::begin(&self.open_connections);
        let mut ending = self.shutdown.subscribe();
        let mut connection =
            pin!(http_builder(limits).serve_connection(TokioIo::new(socket), service));
        // How a caller's connection ends is of no consequence here: a call under way is dropped.
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = ending.wait_for(|ending| *ending) => connection.as_mut().graceful_shutdown()
        }
        let _ = connection.await;
    }

    /// Connections that are open; one closes when its last answer has been written.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Acquire)
    }

    /// Answers a request; a `provisional` connection ends with its answer.
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
        let Some(held) = self.rules.current() else {
            return reply::refused(ErrorKind::NoContract, NO_RULES_RETRY);
        };
        let (head, body) = req.into_parts();
        let Some(route) = find_route(&held, &head) else {
            return reply::error(StatusCode::NOT_FOUND, ErrorKind::UnknownClass);
        };
        let Some(request) = head.headers.get(&self.dialect.request_id) else {
            return reply::error(StatusCode::BAD_REQUEST, ErrorKind::BadRequest);
        };
        let request = Bytes::copy_from_slice(request.as_bytes());
        let wait = requested_timeout(&head, &self.dialect.deadline).unwrap_or(route.timeout);
        let deadline = began + wait.min(route.timeout);
        let wait = deadline.since(began).min(BODY_TIMEOUT);
        let body = match self.body_reader.read(body, held.rules.limits.body, wait).await {
            Ok(taken) => taken,
            Err(error) => return body_error_reply(error),
        };
        let taken = self.inbound_request(head, request, body.body.clone(), deadline);
        self.forward(began, held.rules.revision, route, &taken).await
    }

    async fn forward(
        &self,
        began: Moment,
        revision: Revision,
        route: &RouteRule,
        taken: &InboundRequest,
    ) -> Reply {
        let left = taken.deadline.since(self.clock.now());
        let mut spent = SendHistory::default();
        let trip = self.dispatcher.dispatch(route, taken, &mut spent);
        let outcome = tokio::time::timeout(left, trip)
            .await
            .unwrap_or(Outcome::Unknown { kind: ErrorKind::Deadline });
        let took = self.clock.now().since(began);
        self.metrics.record_answer(&route.name, &outcome, took);
        if !spent.begun {
            self.stats.record(&outcome, &spent.work);
            self.record_result(route, &outcome);
        }
        self.decisions.write(&outcome, || {
            let (barrier, passing) = self.dispatcher.graph.barrier(route);
            Decision {
                request: taken.request.clone(),
                route: route.name.clone(),
                fingerprint: self.dispatcher.fingerprint(route, taken),
                place: "entry",
                revision: revision.0,
                tried: spent.tried.iter().map(ToString::to_string).collect::<Vec<_>>().join(" "),
                barrier,
                passing,
                took,
            }
        });
        reply::from_outcome(outcome)
    }

    /// Has the entry learn how a request ended that targets may have worked for.
    fn record_result(&self, route: &RouteRule, outcome: &Outcome<TargetResponse>) {
        match outcome {
            Outcome::Done(whole) => {
                self.dispatcher.graph.record_outcome(&route.name, !whole.is_failure())
            }
            Outcome::Unknown { .. } => self.dispatcher.graph.record_outcome(&route.name, false),
            Outcome::NotRun { .. } => {}
        }
    }

    fn inbound_request(
        &self,
        head: Parts,
        request: Bytes,
        body: Bytes,
        deadline: Moment,
    ) -> InboundRequest {
        let dialect = &self.dialect;
        let set_anew =
            [&dialect.request_id, &dialect.deadline, &dialect.instance, &dialect.caller_service];
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        InboundRequest {
            request,
            method: head.method.to_string(),
            path: path.to_owned(),
            fields: fields::end_to_end(&head.headers, &set_anew),
            body,
            deadline,
        }
    }
}

/// Answer to a request whose body was not taken in, so that no target saw it.
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

/// HTTP server within the operator's limits.
fn http_builder(limits: Option<CallerLimits>) -> http1::Builder {
    let head = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head);
    let idle = limits.map_or(IDLE_TIMEOUT, |limits| limits.idle_time.max(limits.head_time));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library's timer runs from the end of the last answer, so it bounds idling as well.
        .header_read_timeout(idle + IDLE_SLACK)
        .half_close(false)
        .auto_date_header(false)
        .max_headers(HEADER_FIELDS_MAX)
        .max_buf_size((head + BUFFER_SLACK_BYTES).max(BUFFER_MIN_BYTES));
    builder
}

/// Route of a request by its host and path.
fn find_route<'a>(held: &'a ActiveRules, head: &Parts) -> Option<&'a RouteRule> {
    let named = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(named)?;
    held.route(host, head.uri.path())
}

/// Time that the caller waits, by its own word.
fn requested_timeout(head: &Parts, name: &HeaderName) -> Option<Duration> {
    let text = head.headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}
