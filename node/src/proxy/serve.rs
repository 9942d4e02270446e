//! The HTTP/1.1 end for callers: any method, path and body, on kept or new connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{HeaderName, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use poplar_core::{CallerLimits, ErrorKind, Moment, Revision, RouteRule};
use poplar_kernel::Clock;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::decisions::{Decision, Decisions};
use super::fields;
use super::metrics::Metrics;
use super::ports::Dialect;
use super::reply::{self, Reply};
use super::rules::{InForce, Rules};
use super::trip::{Spent, Taken, Trips};

/// Time to come back for a caller that meets a node without rules: it reads them at its start.
const NO_RULES_RETRY: Duration = Duration::from_millis(300);
/// Time to come back for a caller whose body finds no room.
const NO_ROOM_RETRY: Duration = Duration::from_millis(300);
/// Time to come back for a caller that meets a stopping node: about what a restart takes.
const STOPPED_RETRY: Duration = Duration::from_millis(1_000);
/// Largest head that is read while no rules are known, in bytes.
const HEAD_BYTES: usize = 16 << 10;
/// Smallest read buffer that the HTTP library allows, in bytes.
const BUFFER_MIN_BYTES: usize = 8 << 10;
/// Room in the read buffer beyond the head, so that the limit is the operator's, not the buffer's.
const BUFFER_SLACK_BYTES: usize = 1 << 10;
/// Idle time of a connection while no rules are known.
const IDLE_TIME: Duration = Duration::from_secs(15);
/// Time beyond the idle limit for which a connection stays open, so that a request which crosses
/// the limit on its way is still read.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// Header fields that one request may have.
const FIELDS_MAX: usize = 256;
/// Time within which a body must come in, when neither caller nor route bounds it.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Part of the memory of the process that bodies of callers may take, as a divisor.
const BODY_MEMORY_PART: u64 = 4;
/// Part of a body that needs no share of that room, in bytes.
const BODY_FREE_BYTES: usize = 16 << 10;

/// Serves callers.
pub(crate) struct Callers {
    pub(crate) clock: Clock,
    pub(crate) dialect: Arc<Dialect>,
    pub(crate) rules: Arc<Rules>,
    pub(crate) trips: Trips,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) decisions: Arc<Decisions>,
    pub(crate) room: Arc<Semaphore>,
    /// Set when the process stops: each answer then asks the caller to leave the connection.
    pub(crate) closing: AtomicBool,
    /// Set when a stopping process takes no further request.
    pub(crate) sealed: AtomicBool,
    /// Requests without an answer yet.
    pub(crate) in_flight: AtomicUsize,
}

/// Request counted as in flight until it is dropped.
pub(crate) struct InFlight<'a>(&'a AtomicUsize);

impl<'a> InFlight<'a> {
    pub(crate) fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Body that came in whole, with its share of the room.
struct WholeBody {
    bytes: Bytes,
    _room: Option<OwnedSemaphorePermit>,
}

impl Callers {
    /// Room for bodies in a process that may use `memory` bytes.
    pub(crate) fn room(memory: u64) -> Arc<Semaphore> {
        let bytes = usize::try_from(memory / BODY_MEMORY_PART).unwrap_or(usize::MAX);
        Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS)))
    }

    /// Requests without an answer yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Serves one connection until either end closes it.
    pub(crate) async fn serve(self: Arc<Self>, socket: TcpStream) {
        let held = self.rules.current();
        let limits = held.as_ref().map(|held| held.rules.limits);
        let callers = self.clone();
        let service = service_fn(move |req| {
            let callers = callers.clone();
            async move { Ok::<_, Infallible>(callers.answer(req).await) }
        });
        // How a caller's connection ends is of no consequence here: a call under way is dropped.
        let _ = builder(limits).serve_connection(TokioIo::new(socket), service).await;
    }

    async fn answer(&self, req: Request<Incoming>) -> Reply {
        let began = self.clock.now();
        let _in_flight = InFlight::begin(&self.in_flight);
        let mut reply = if self.sealed.load(Ordering::Acquire) {
            reply::refused(ErrorKind::Draining, STOPPED_RETRY)
        } else {
            self.route(began, req).await
        };
        if self.closing.load(Ordering::Acquire) {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn route(&self, began: Moment, req: Request<Incoming>) -> Reply {
        let Some(held) = self.rules.current() else {
            return reply::refused(ErrorKind::NoContract, NO_RULES_RETRY);
        };
        let (head, body) = req.into_parts();
        let Some(route) = find(&held, &head) else {
            return reply::own(StatusCode::NOT_FOUND, ErrorKind::UnknownClass);
        };
        let Some(request) = head.headers.get(&self.dialect.request) else {
            return reply::own(StatusCode::BAD_REQUEST, ErrorKind::BadRequest);
        };
        let request = Bytes::copy_from_slice(request.as_bytes());
        let wait = deadline(&head, &self.dialect.deadline).unwrap_or(route.timeout);
        let deadline = began + wait.min(route.timeout);
        let body = match self.body(&held.rules.limits, body, deadline.since(began)).await {
            Ok(body) => body,
            Err(reply) => return *reply,
        };
        let taken = self.taken(head, request, body.bytes.clone(), deadline);
        self.travel(began, held.rules.revision, route, &taken).await
    }

    async fn travel(
        &self,
        began: Moment,
        revision: Revision,
        route: &RouteRule,
        taken: &Taken,
    ) -> Reply {
        let left = taken.deadline.since(self.clock.now());
        let mut spent = Spent::default();
        let trip = self.trips.travel(route, taken, &mut spent);
        let outcome = tokio::time::timeout(left, trip)
            .await
            .unwrap_or(poplar_core::Outcome::Unknown { kind: ErrorKind::Deadline });
        let took = self.clock.now().since(began);
        self.metrics.answered(&route.name, &outcome, took);
        self.decisions.write(&outcome, || Decision {
            request: taken.request.clone(),
            route: route.name.clone(),
            place: "entry",
            revision: revision.0,
            tried: spent.tried.iter().map(ToString::to_string).collect::<Vec<_>>().join(" "),
            level: route.shares.first().map_or(0, |share| self.trips.graph.level(&share.service).0),
            took,
        });
        reply::from_outcome(outcome)
    }

    fn taken(&self, head: Parts, request: Bytes, body: Bytes, deadline: Moment) -> Taken {
        let dialect = &self.dialect;
        let set_anew = [&dialect.request, &dialect.deadline, &dialect.instance, &dialect.caller];
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        Taken {
            request,
            method: head.method.to_string(),
            path: path.to_owned(),
            fields: fields::travelling(&head.headers, &set_anew),
            body,
            deadline,
        }
    }

    /// Reads a whole body within the limits; the error is the answer to the caller.
    async fn body(
        &self,
        limits: &CallerLimits,
        body: Incoming,
        wait: Duration,
    ) -> Result<WholeBody, Box<Reply>> {
        let own = |status| Box::new(reply::own(status, ErrorKind::BadRequest));
        if body.is_end_stream() {
            return Ok(WholeBody { bytes: Bytes::new(), _room: None });
        }
        if body.size_hint().lower() > limits.body as u64 {
            return Err(own(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let collected = self.collect(limits.body, body);
        let collected = tokio::time::timeout(wait.min(BODY_TIMEOUT), collected).await;
        collected.unwrap_or_else(|_| Err(own(StatusCode::REQUEST_TIMEOUT)))
    }

    async fn collect(&self, limit: usize, mut body: Incoming) -> Result<WholeBody, Box<Reply>> {
        let own = |status| Box::new(reply::own(status, ErrorKind::BadRequest));
        let mut whole = bytes::BytesMut::new();
        let mut room: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| own(StatusCode::BAD_REQUEST))?;
            let Ok(data) = frame.into_data() else { continue };
            let len = whole.len() + data.len();
            if len > limit {
                return Err(own(StatusCode::PAYLOAD_TOO_LARGE));
            }
            let needed = len.saturating_sub(BODY_FREE_BYTES.max(whole.len()));
            if needed > 0 {
                let share = self.share(needed)?;
                match room.as_mut() {
                    Some(room) => room.merge(share),
                    None => room = Some(share),
                }
            }
            whole.extend_from_slice(&data);
        }
        Ok(WholeBody { bytes: whole.freeze(), _room: room })
    }

    /// Share of the room for bodies.
    fn share(&self, bytes: usize) -> Result<OwnedSemaphorePermit, Box<Reply>> {
        let full = || Box::new(reply::refused(ErrorKind::Overload, NO_ROOM_RETRY));
        let count = u32::try_from(bytes).map_err(|_| full())?;
        self.room.clone().try_acquire_many_owned(count).map_err(|_| full())
    }
}

/// HTTP server within the operator's limits.
fn builder(limits: Option<CallerLimits>) -> http1::Builder {
    let head = limits.map_or(HEAD_BYTES, |limits| limits.head);
    let idle = limits.map_or(IDLE_TIME, |limits| limits.idle_time.max(limits.head_time));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library's timer runs from the end of the last answer, so it bounds idling as well.
        .header_read_timeout(idle + IDLE_SLACK)
        .half_close(false)
        .auto_date_header(false)
        .max_headers(FIELDS_MAX)
        .max_buf_size((head + BUFFER_SLACK_BYTES).max(BUFFER_MIN_BYTES));
    builder
}

/// Route of a request by its host and path.
fn find<'a>(held: &'a InForce, head: &Parts) -> Option<&'a RouteRule> {
    let named = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(named)?;
    held.route(host, head.uri.path())
}

/// Time that the caller waits, by its own word.
fn deadline(head: &Parts, name: &HeaderName) -> Option<Duration> {
    let text = head.headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}
