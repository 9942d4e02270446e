//! HTTP pipelining: reads requests ahead of the one that a connection is answering, and starts
//! those that may run more than once.
//!
//! hyper answers the requests of a connection one after the other and stays the only parser whose
//! result counts. [`ReadAhead`] stands between it and the socket and passes it the bytes of one
//! head at a time. While an answer is pending and hyper has consumed all bytes that it was given,
//! the next byte is certainly the first one of the next request; only then are heads parsed here.
//! The decisions are in [`Pipeline`]. See
//! [pipelining](../../../../docs/design/pipelining.md).

use std::collections::VecDeque;
use std::io::{IoSlice, Result};
use std::pin::{Pin, pin};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use http::header::{self, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Uri, Version};
use hyper::body::{Body, Incoming};
use poplar_core::{
    CallerLimits, HeadEnd, HeadSearch, Moment, Pipeline, PipelineBudget, PipelineLimits,
    PipelinedHead, StartDecision,
};
use poplar_kernel::Service;
use prometheus_client::metrics::counter::Counter;
use serde_json::{Value, json};
use slog::{Logger, warn};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::time::{Instant, Sleep};
use tokio_util::task::AbortOnDropHandle;

use crate::closing::ClosingStream;
use crate::proxy::callers::end_cause::EndCause;
use crate::proxy::callers::reply::Reply;
use crate::proxy::callers::serve::{CallerServer, HEADER_FIELDS_MAX};
use crate::proxy::memory::CallerConnection;

/// Interval at which a connection is checked for its end while a limit stops the reading. Runs are
/// given up within half a second after the caller disconnects.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of reads whose times a connection keeps; the bytes of a client that sends them one
/// by one get the time of a later read.
const READS_MAX: usize = 64;

/// What all connections have read ahead, with its counters; a kernel service for the state dump.
pub(crate) struct ReadAheadTotals {
    budget: Mutex<PipelineBudget>,
    started: Counter,
    cancelled: Counter,
    limited: Counter,
    logger: Logger,
}

impl ReadAheadTotals {
    /// Totals of a process that may use `memory` bytes.
    pub(crate) fn new(memory: u64, logger: Logger) -> Self {
        Self {
            budget: Mutex::new(PipelineBudget::new(PipelineLimits::for_memory(memory))),
            started: Counter::default(),
            cancelled: Counter::default(),
            limited: Counter::default(),
            logger,
        }
    }

    /// Counter of the requests that were started ahead.
    pub(crate) fn started(&self) -> Counter {
        self.started.clone()
    }

    /// Counter of the requests that were started ahead and cancelled before the server reached
    /// them, because their connection ended.
    pub(crate) fn cancelled(&self) -> Counter {
        self.cancelled.clone()
    }

    /// Counter of the times that a limit stopped the reading ahead on a connection.
    pub(crate) fn limited(&self) -> Counter {
        self.limited.clone()
    }

    fn budget(&self) -> MutexGuard<'_, PipelineBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for ReadAheadTotals {
    fn name(&self) -> &'static str {
        "read_ahead"
    }

    fn dump(&self, _now: Moment) -> Value {
        let budget = self.budget();
        json!({
            "requests": budget.requests(),
            "bytes": budget.bytes(),
            "started": self.started.get(),
            "cancelled": self.cancelled.get(),
            "limited": self.limited.get(),
        })
    }
}

/// What one connection has read ahead, shared between its stream and its service. Requests that
/// were started are cancelled when it is dropped.
pub(crate) struct Connection {
    server: Arc<CallerServer>,
    state: Mutex<State>,
}

/// Request that the server has reached.
pub(crate) struct Reached {
    /// When its head was read; none if that is now.
    pub(crate) read_at: Option<Moment>,
    /// Its answer, if it was started ahead.
    pub(crate) answer: Option<AbortOnDropHandle<Reply>>,
}

struct State {
    totals: Arc<ReadAheadTotals>,
    pipeline: Pipeline,
    phase: Phase,
    /// Bytes that were read and not yet passed to hyper.
    held: BytesMut,
    /// Number of bytes that were ever passed to hyper from [`Self::held`].
    passed: u64,
    /// For each read into [`Self::held`], the value that [`Self::passed`] has after its last byte,
    /// and its time.
    reads: VecDeque<(u64, Moment)>,
    /// Bytes passed from [`Self::held`] since hyper reached the last request.
    passed_since: usize,
    /// Whether the last bytes that hyper got were held before.
    passed_last: bool,
    next: NextHead,
    started: VecDeque<Started>,
    /// Identifier of the request that hyper reached last, until its answer is ready.
    current: Option<RequestLabel>,
    /// Identifiers of the requests whose answers are ready and not written yet.
    unsent: Vec<RequestLabel>,
    /// Number of answers that were written.
    answered: u64,
    /// How the socket ended, if it did.
    socket_end: Option<EndCause>,
    /// Whether an answer is ready and not yet written. hyper would break it off at the end of the
    /// caller's sending side.
    is_writing: bool,
    /// Whether the caller's sending side has ended while an answer was written.
    is_ended: bool,
    /// Whether a limit was reached since hyper reached the last request.
    is_limited: bool,
}

/// Identifier that a caller assigned to a request; none if it sent none.
type RequestLabel = Option<HeaderValue>;

/// Requests of a connection that have no answer, for the log.
#[derive(Debug)]
pub(crate) struct Unanswered {
    /// How the socket ended, if it did.
    pub(crate) socket_end: Option<EndCause>,
    /// Identifiers of the requests that were begun and have no answer, separated by spaces.
    pub(crate) begun: String,
    /// Identifiers of the requests whose answers were not written whole, separated by spaces.
    pub(crate) unsent: String,
    /// Bytes that were read and not passed to the server.
    pub(crate) held: usize,
    /// Answers that were written.
    pub(crate) answered: u64,
}

impl Unanswered {
    /// Whether every request that was begun has its whole answer.
    pub(crate) fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.unsent.is_empty()
    }
}

/// What hyper does with the bytes that it asks for.
#[derive(Debug)]
enum Phase {
    /// It reads the head of a request. With an `end` finder, its buffer was empty at the begin of
    /// the head; without one, its buffer may hold the begin of further requests, and bytes are
    /// passed on as they come.
    Head { end: Option<HeadEnd> },
    /// It reads the body of a request, and then waits for the answer.
    Body,
    /// It waits for the answer to a request without a body. It asks for bytes only if its buffer
    /// is empty, from which follows that the next request begins at the next byte, which is noted
    /// in `aligned`.
    Answer { aligned: bool },
}

/// First held head that was not started, by offsets into the held bytes.
#[derive(Debug, Default)]
struct NextHead {
    begin: usize,
    scanned: usize,
    finder: HeadEnd,
    /// Its end, if it is complete.
    end: Option<usize>,
}

/// Request that was started ahead.
struct Started {
    bytes: usize,
    method: Method,
    uri: Uri,
    id: Option<HeaderValue>,
    read_at: Moment,
    answer: AbortOnDropHandle<Reply>,
}

impl Connection {
    /// State of a new connection; `limits` are the operator's, if they are known.
    pub(crate) fn new(server: Arc<CallerServer>, limits: Option<&CallerLimits>) -> Self {
        let totals = server.read_ahead.clone();
        let pipeline = Pipeline::new(totals.budget().limits(), limits);
        let state = State {
            totals,
            pipeline,
            phase: Phase::Head { end: Some(HeadEnd::default()) },
            held: BytesMut::new(),
            passed: 0,
            reads: VecDeque::new(),
            passed_since: 0,
            passed_last: false,
            next: NextHead::default(),
            started: VecDeque::new(),
            current: None,
            unsent: Vec::new(),
            answered: 0,
            socket_end: None,
            is_writing: false,
            is_ended: false,
            is_limited: false,
        };
        Self { server, state: Mutex::new(state) }
    }

    /// Records that hyper has read a request, and returns what is known of it.
    pub(crate) fn reach(&self, req: &Request<Incoming>) -> Reached {
        let mut state = self.state();
        let state = &mut *state;
        state.is_limited = false;
        state.current = Some(req.headers().get(&self.server.header_names.request_id).cloned());
        let passed = std::mem::take(&mut state.passed_since);
        let read_at = if state.passed_last { state.read_time(state.passed) } else { None };
        let id = req.headers().get(&self.server.header_names.request_id);
        let has_body = !req.body().is_end_stream();
        if let Some(started) = state.started.pop_front() {
            let matches = started.bytes == passed
                && started.method == *req.method()
                && started.uri == *req.uri()
                && started.id.as_ref() == id
                && !has_body;
            if matches {
                state.pipeline.take_over(&mut state.totals.budget());
                state.phase = Phase::Answer { aligned: false };
                return Reached { read_at: Some(started.read_at), answer: Some(started.answer) };
            }
            warn!(state.totals.logger, "listen: request differs from the one read ahead";
                "ahead" => started.uri.path(), "read" => req.uri().path());
            state.started.push_front(started);
            state.cancel_started();
        }
        let (plain, last) = framing(req.method(), req.version(), req.headers());
        let repeatable = self.server.is_repeatable(req.uri(), req.headers());
        let plain = plain && !has_body;
        state.pipeline.begin(PipelinedHead { repeatable, plain, last, bytes: 0 });
        state.next = NextHead::default();
        state.phase = if has_body { Phase::Body } else { Phase::Answer { aligned: false } };
        Reached { read_at, answer: None }
    }

    /// Records that the answer to the request that hyper reached last is ready, and returns
    /// whether it closes the connection.
    pub(crate) fn finish(&self) -> bool {
        let mut state = self.state();
        let is_aligned = matches!(state.phase, Phase::Answer { aligned: true });
        state.is_writing = true;
        let answered = state.current.take();
        state.unsent.extend(answered);
        state.phase = Phase::Head { end: is_aligned.then(HeadEnd::default) };
        state.pipeline.may_close(self.is_stopping())
    }

    /// Number of requests that were started ahead and that hyper has not reached yet.
    pub(crate) fn started(&self) -> usize {
        self.state().pipeline.started()
    }

    /// What has no answer yet.
    pub(crate) fn unanswered(&self) -> Unanswered {
        let state = self.state();
        let begun = state.current.iter().chain(state.started.iter().map(|started| &started.id));
        Unanswered {
            socket_end: state.socket_end,
            begun: join_labels(begun),
            unsent: join_labels(&state.unsent),
            held: state.held.len(),
            answered: state.answered,
        }
    }

    /// Starts the complete heads among the held bytes that may be started now.
    fn start_heads(&self, state: &mut State) {
        while state.pipeline.is_open() {
            let Some(end) = state.next.find_end(&state.held) else { return };
            let bytes = end - state.next.begin;
            let head = &state.held[state.next.begin..end];
            let Some(head) = parse(head) else {
                state.pipeline.stop();
                return;
            };
            let (plain, last) = framing(&head.method, head.version, &head.headers);
            let repeatable = self.server.is_repeatable(&head.uri, &head.headers);
            let described = PipelinedHead { repeatable, plain, last, bytes };
            let stopping = self.is_stopping();
            let decision = state.pipeline.decide(described, stopping, &mut state.totals.budget());
            match decision {
                StartDecision::InSequence => return,
                StartDecision::Wait => {
                    if !stopping {
                        state.note_limit();
                    }
                    return;
                }
                StartDecision::Start => {}
            }
            let read_at = state.read_time(state.passed + end as u64);
            let read_at = read_at.unwrap_or_else(|| self.server.clock.now());
            let (method, uri) = (head.method.clone(), head.uri.clone());
            let id = head.headers.get(&self.server.header_names.request_id).cloned();
            let answer = self.server.clone().start(read_at, head);
            state.started.push_back(Started { bytes, method, uri, id, read_at, answer });
            state.next = NextHead { begin: end, scanned: end, ..NextHead::default() };
            state.totals.started.inc();
        }
    }

    fn is_stopping(&self) -> bool {
        self.server.closing.load(Ordering::Acquire)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Passes held bytes to hyper: up to the end of the head if that is known.
    fn pass_held(&mut self, buf: &mut ReadBuf<'_>) {
        let mut len = self.held.len().min(buf.remaining());
        if let Phase::Head { end } = &mut self.phase {
            match end.as_mut().map(|finder| finder.find(&self.held[..len])) {
                Some(HeadSearch::At(end)) => len = end,
                Some(HeadSearch::Not) | None => {}
                Some(HeadSearch::Before) => {
                    // hyper does not take the head that it got as complete.
                    *end = None;
                    self.cancel_started();
                }
            }
        }
        buf.put_slice(&self.held[..len]);
        self.held.advance(len);
        if self.held.is_empty() {
            self.held = BytesMut::new();
        }
        self.totals.budget().change_bytes(len, 0);
        self.passed += len as u64;
        self.passed_since += len;
        self.passed_last = true;
        self.next.advance(len);
        while self.reads.front().is_some_and(|(end, _)| *end < self.passed) {
            self.reads.pop_front();
        }
    }

    /// Holds `bytes`, which were read from the socket at `now`.
    fn hold(&mut self, now: Moment, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
        self.totals.budget().change_bytes(0, bytes.len());
        let end = self.passed + self.held.len() as u64;
        if self.reads.len() == READS_MAX {
            self.reads.pop_back();
        }
        self.reads.push_back((end, now));
    }

    /// When the byte before `offset` was read, if it was held.
    fn read_time(&self, offset: u64) -> Option<Moment> {
        self.reads.iter().find(|(end, _)| *end >= offset).map(|(_, time)| *time)
    }

    /// Records that all answers that are ready were written.
    fn record_written(&mut self) {
        self.is_writing = false;
        self.answered += self.unsent.len() as u64;
        self.unsent.clear();
    }

    fn cancel_started(&mut self) {
        self.totals.cancelled.inc_by(self.started.len() as u64);
        self.started.clear();
        self.pipeline.cancel(&mut self.totals.budget());
    }

    fn note_limit(&mut self) {
        if !std::mem::replace(&mut self.is_limited, true) {
            self.totals.limited.inc();
        }
    }
}

impl Drop for State {
    fn drop(&mut self) {
        self.cancel_started();
        self.totals.budget().change_bytes(self.held.len(), 0);
    }
}

impl NextHead {
    /// End of the head in `held`, if it is complete.
    fn find_end(&mut self, held: &[u8]) -> Option<usize> {
        if self.end.is_none() {
            match self.finder.find(&held[self.scanned..]) {
                HeadSearch::At(end) => self.end = Some(self.scanned + end),
                HeadSearch::Not | HeadSearch::Before => {}
            }
            self.scanned = held.len();
        }
        self.end
    }

    /// Accounts for `len` bytes that were removed from the begin of the held bytes.
    fn advance(&mut self, len: usize) {
        self.begin = self.begin.saturating_sub(len);
        self.scanned = self.scanned.saturating_sub(len);
        self.end = self.end.map(|end| end.saturating_sub(len));
    }
}

/// Socket of a caller.
pub(crate) type CallerSocket = ClosingStream<Arc<CallerConnection>>;

/// Socket of a connection that reads ahead, as hyper reads and writes it.
pub(crate) struct ReadAhead {
    socket: CallerSocket,
    connection: Arc<Connection>,
    /// Next check for the end of the connection while a limit stops the reading.
    end_check: Option<Pin<Box<Sleep>>>,
}

impl ReadAhead {
    pub(crate) fn new(socket: CallerSocket, connection: Arc<Connection>) -> Self {
        Self { socket, connection, end_check: None }
    }

    /// Reads the head of a request into the buffer of hyper, and holds what follows it.
    fn poll_head(
        socket: Pin<&mut CallerSocket>,
        now: impl FnOnce() -> Moment,
        state: &mut State,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(socket.poll_read(cx, buf))?;
        state.passed_last = false;
        let Phase::Head { end } = &mut state.phase else { return Poll::Ready(Ok(())) };
        let Some(finder) = end else { return Poll::Ready(Ok(())) };
        let bytes = &buf.filled()[before..];
        match finder.find(bytes) {
            HeadSearch::Not => {}
            HeadSearch::At(len) if len == bytes.len() => {}
            HeadSearch::At(len) if state.totals.budget().has_room(bytes.len() - len) => {
                state.hold(now(), &bytes[len..]);
                buf.set_filled(before + len);
            }
            HeadSearch::At(_) => {
                state.note_limit();
                state.phase = Phase::Head { end: None };
            }
            HeadSearch::Before => state.phase = Phase::Head { end: None },
        }
        Poll::Ready(Ok(()))
    }

    /// Reads ahead while hyper waits for an answer. Ready only at the end of the connection, or
    /// with bytes that the process has no room to hold.
    fn poll_ahead(
        &mut self,
        state: &mut State,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        loop {
            self.connection.start_heads(state);
            let room = state.pipeline.read_room(state.held.len(), &state.totals.budget());
            if room == 0 {
                state.note_limit();
                if !state.held.is_empty() {
                    return self.poll_end(cx);
                }
                ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
                state.passed_last = false;
                state.phase = Phase::Answer { aligned: false };
                return Poll::Ready(Ok(()));
            }
            self.end_check = None;
            // The buffer of hyper serves as scratch memory; nothing stays in it.
            let mut part = buf.take(room);
            ready!(Pin::new(&mut self.socket).poll_read(cx, &mut part))?;
            if part.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            state.hold(self.connection.server.clock.now(), part.filled());
        }
    }

    /// Waits for the end of the connection without reading from it.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let check =
            self.end_check.get_or_insert_with(|| Box::pin(tokio::time::sleep(END_CHECK_INTERVAL)));
        loop {
            ready!(check.as_mut().poll(cx));
            let mut is_ended = false;
            if let Some(socket) = self.socket.socket()
                && let Poll::Ready(readiness) = pin!(socket.ready(Interest::READABLE)).poll(cx)
            {
                is_ended = readiness?.is_read_closed();
            }
            if is_ended {
                return Poll::Ready(Ok(()));
            }
            check.as_mut().reset(Instant::now() + END_CHECK_INTERVAL);
        }
    }
}

impl AsyncRead for ReadAhead {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = self.get_mut();
        let connection = this.connection.clone();
        let mut state = connection.state();
        let before = buf.filled().len();
        let read = this.poll_read_state(&mut state, cx, buf);
        match &read {
            Poll::Ready(Err(_)) => state.socket_end = Some(EndCause::Reset),
            Poll::Ready(Ok(())) if buf.filled().len() == before => {
                state.socket_end.get_or_insert(EndCause::Closed);
            }
            Poll::Ready(Ok(())) | Poll::Pending => {}
        }
        read
    }
}

impl ReadAhead {
    fn poll_read_state(
        &mut self,
        state: &mut State,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if let Phase::Answer { aligned } = &mut state.phase {
            *aligned = true;
            return self.poll_ahead(state, cx, buf);
        }
        if !state.held.is_empty() {
            state.pass_held(buf);
            return Poll::Ready(Ok(()));
        }
        let clock = self.connection.server.clock;
        if !state.is_ended {
            let before = buf.filled().len();
            let socket = Pin::new(&mut self.socket);
            ready!(Self::poll_head(socket, || clock.now(), state, cx, buf))?;
            state.is_ended = buf.filled().len() == before;
        }
        // hyper reads again when it has written the answer.
        if state.is_ended && state.is_writing { Poll::Pending } else { Poll::Ready(Ok(())) }
    }
}

impl AsyncWrite for ReadAhead {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    /// hyper flushes the stream once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.connection.state().record_written();
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// Identifiers of requests, separated by spaces.
fn join_labels<'a>(labels: impl IntoIterator<Item = &'a RequestLabel>) -> String {
    let texts = labels.into_iter().map(|label| match label {
        Some(label) => String::from_utf8_lossy(label.as_bytes()),
        None => "-".into(),
    });
    texts.collect::<Vec<_>>().join(" ")
}

/// Parses a complete head with the parser and the conversions that hyper uses; none if it is not
/// exactly one head.
fn parse(head: &[u8]) -> Option<Parts> {
    let mut fields = [httparse::EMPTY_HEADER; HEADER_FIELDS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    if parsed.parse(head) != Ok(httparse::Status::Complete(head.len())) {
        return None;
    }
    let mut req = Request::new(());
    *req.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *req.uri_mut() = Uri::try_from(parsed.path?.as_bytes()).ok()?;
    *req.version_mut() = if parsed.version? == 1 { Version::HTTP_11 } else { Version::HTTP_10 };
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(field.value).ok()?;
        req.headers_mut().append(name, value);
    }
    Some(req.into_parts().0)
}

/// Whether a request consists of its head alone, as far as the head shows, and whether the
/// connection closes after its answer. Anything unusual counts as neither plain nor lasting.
fn framing(method: &Method, version: Version, headers: &header::HeaderMap) -> (bool, bool) {
    let has_unusual = [header::TRANSFER_ENCODING, header::UPGRADE, header::EXPECT]
        .iter()
        .any(|name| headers.contains_key(name));
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let is_empty = lengths.next().is_none_or(|length| length == "0") && lengths.next().is_none();
    let plain = *method != Method::CONNECT && !has_unusual && is_empty;
    let mut options = headers.get_all(header::CONNECTION).iter();
    let stays = options.all(|option| option.as_bytes().eq_ignore_ascii_case(b"keep-alive"));
    (plain, version != Version::HTTP_11 || !stays)
}
