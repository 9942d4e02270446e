//! Closing of connections without the loss of what was written to them.
//!
//! The kernel resets a connection whose socket is closed while received bytes are unread, or that
//! receives bytes afterwards, and discards what it has not delivered. [`ClosingStream`] wraps the
//! socket of a server: when the server drops it, for whatever reason, [`Closer`] ends the sending
//! side, discards what still arrives, and closes the socket once the other end has closed its side
//! or [`Linger`] says so. See [closing](../../docs/design/closing.md).

use std::io::{ErrorKind, IoSlice, Read, Result};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use poplar_core::{Linger, LingerLimits, LingerTime, Moment};
use poplar_kernel::{Clock, Service};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use serde_json::{Value, json};
use slog::{Logger, info};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Time limits for connections of clients. A client that reads 7 kB/s takes in the longest time
/// what the kernel holds unsent for it.
const CLIENT_LIMITS: LingerLimits =
    LingerLimits { total: Duration::from_secs(30), quiet: Duration::from_secs(2) };
/// Time limits for connections between nodes, which close their side as soon as they have read all.
const PEER_LIMITS: LingerLimits =
    LingerLimits { total: Duration::from_secs(5), quiet: Duration::from_millis(500) };
/// Longest time that a connection whose descriptor is needed for another one may take to send.
const SEND_LIMIT: Duration = Duration::from_secs(1);
/// Interval between checks whether all bytes are sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes that are discarded in one read.
const DISCARD_BYTES: usize = 8 << 10;
/// Interval between two log lines.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection was closed that had waited for its other end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    end: &'static str,
}

/// What the connections that waited for their other ends came to, since the start.
#[derive(Debug)]
struct Ends {
    family: Family<EndLabels, Counter>,
    /// The other end closed its side, or reset the connection.
    closed: Counter,
    /// A time limit was reached.
    timed_out: Counter,
    /// Its descriptor was needed for another connection.
    replaced: Counter,
}

impl Ends {
    fn new() -> Self {
        let family = Family::<EndLabels, Counter>::default();
        let counter = |end| family.get_or_create(&EndLabels { end }).clone();
        Self {
            closed: counter("closed"),
            timed_out: counter("timed-out"),
            replaced: counter("replaced"),
            family,
        }
    }
}

/// Registration of a connection with limits on the connections of its kind.
pub(crate) trait Registration: Send + Sync + Unpin + 'static {
    /// Records that nothing more will be sent, and returns how long the connection may wait.
    fn begin_linger(&self) -> LingerTime;

    /// Records whether bytes are still to be sent.
    fn record_unsent(&self, unsent: bool);

    /// Waits until the connection must be closed.
    fn closing(&self) -> impl Future<Output = ()> + Send;
}

/// For connections of which there are few.
impl Registration for () {
    fn begin_linger(&self) -> LingerTime {
        LingerTime::Full
    }

    fn record_unsent(&self, _unsent: bool) {}

    async fn closing(&self) {
        std::future::pending().await
    }
}

/// Kernel service that closes connections.
pub struct Closer {
    clock: Clock,
    logger: Logger,
    /// Number of connections that wait for their other end.
    waiting: AtomicUsize,
    stopping: watch::Sender<bool>,
    ends: Ends,
    discarded: Counter,
    /// Gauge of [`Self::waiting`].
    gauge: Gauge,
}

impl Closer {
    /// Closer without connections.
    pub fn new(clock: Clock, logger: Logger) -> Arc<Self> {
        Arc::new(Self {
            clock,
            logger,
            waiting: AtomicUsize::new(0),
            stopping: watch::Sender::new(false),
            ends: Ends::new(),
            discarded: Counter::default(),
            gauge: Gauge::default(),
        })
    }

    /// Number of connections that wait for their other end to close them.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Shortens the wait from now on, as the process is stopping.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Wraps the socket of a client.
    pub fn client(
        self: &Arc<Self>,
        socket: TcpStream,
    ) -> impl AsyncRead + AsyncWrite + Send + Unpin + use<> {
        self.wrap(socket, CLIENT_LIMITS, ())
    }

    /// Wraps the socket of a client that is registered elsewhere.
    pub(crate) fn registered<R: Registration>(
        self: &Arc<Self>,
        socket: TcpStream,
        registration: R,
    ) -> ClosingStream<R> {
        self.wrap(socket, CLIENT_LIMITS, registration)
    }

    /// Wraps the socket of another node.
    pub(crate) fn peer(self: &Arc<Self>, socket: TcpStream) -> ClosingStream {
        self.wrap(socket, PEER_LIMITS, ())
    }

    /// Closes the socket of another node to which bytes were just written.
    pub(crate) fn close_peer(self: &Arc<Self>, socket: TcpStream) {
        self.close(Open { socket, registration: () }, PEER_LIMITS, self.clock.now());
    }

    fn wrap<R: Registration>(
        self: &Arc<Self>,
        socket: TcpStream,
        limits: LingerLimits,
        registration: R,
    ) -> ClosingStream<R> {
        let open = Open { socket, registration };
        let closer = self.clone();
        ClosingStream { open: Some(open), closer, limits, written: None, is_ended: false }
    }

    /// Closes a connection to which bytes were last written at `written`.
    fn close<R: Registration>(
        self: &Arc<Self>,
        open: Open<R>,
        mut limits: LingerLimits,
        written: Moment,
    ) {
        match open.registration.begin_linger() {
            LingerTime::Full => {}
            LingerTime::UntilSent => {
                limits = LingerLimits { total: SEND_LIMIT, quiet: Duration::ZERO };
            }
            LingerTime::None => return,
        }
        // An error is ignored because without this option the bytes only seem to be sent early.
        let _ = SockRef::from(&open.socket).set_tcp_notsent_lowat(1);
        let now = self.clock.now();
        let mut linger = Linger::new(limits, now, written);
        let is_sent = open.check_sent(&mut linger, now);
        // Without a wait nothing is read and the sending side is not ended first, so that a reset
        // tells the other end that what it has sent was not read.
        if now >= linger.deadline(self.is_stopping()) {
            return;
        }
        if is_sent {
            open.end_sending();
            if open.discard_received(&self.discarded) {
                return;
            }
        }
        // Without a runtime the process is about to exit.
        if let Ok(runtime) = Handle::try_current() {
            let waiting = Waiting::begin(self.clone());
            runtime.spawn(async move { waiting.run(open, linger).await });
        }
    }

    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Logs regularly how many connections the other end did not close in time.
    pub async fn report(self: Arc<Self>) {
        let mut logged = 0;
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let timed_out = self.ends.timed_out.get();
            if timed_out > logged {
                info!(self.logger, "listen: connections not closed by their other end in time";
                    "since_last" => timed_out - logged, "waiting" => self.waiting());
                logged = timed_out;
            }
        }
    }

    /// Registers the metrics of the closed connections.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Connections that waited for their other end to close them, by how that ended";
        registry.register("closed_connections", help, self.ends.family.clone());
        let help = "Connections that wait for their other end to close them";
        registry.register("closing_connections", help, self.gauge.clone());
        let help = "Bytes that arrived on closed connections and were discarded";
        registry.register_with_unit("closing_discarded", help, Unit::Bytes, self.discarded.clone());
    }
}

impl Service for Closer {
    fn name(&self) -> &'static str {
        "closing"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({
            "waiting": self.waiting(),
            "stopping": self.is_stopping(),
            "closed": self.ends.closed.get(),
            "timed_out": self.ends.timed_out.get(),
            "replaced": self.ends.replaced.get(),
            "discarded_bytes": self.discarded.get(),
        })
    }
}

/// Counts a connection as waiting until it is dropped.
struct Waiting(Arc<Closer>);

impl Waiting {
    fn begin(closer: Arc<Closer>) -> Self {
        closer.waiting.fetch_add(1, Ordering::AcqRel);
        closer.gauge.inc();
        Self(closer)
    }

    /// Waits for the other end to close the connection, and closes it.
    async fn run<R: Registration>(self, mut open: Open<R>, mut linger: Linger) {
        let Self(closer) = &self;
        let mut stopping = closer.stopping.subscribe();
        let clock = closer.clock;
        if !linger.is_sent() {
            open.registration.record_unsent(true);
        }
        let end = loop {
            let now = clock.now();
            if !linger.is_sent() && open.check_sent(&mut linger, now) {
                open.end_sending();
                open.registration.record_unsent(false);
            }
            let is_stopping = *stopping.borrow_and_update();
            let left = linger.deadline(is_stopping).since(now);
            if left.is_zero() {
                break &closer.ends.timed_out;
            }
            let wait = if linger.is_sent() { left } else { left.min(CHECK_INTERVAL) };
            let Open { socket, registration } = &mut open;
            tokio::select! {
                len = discard(socket) => match len {
                    Ok(1..) => {
                        closer.discarded.inc_by(len.unwrap_or(0) as u64);
                        linger.record_received(clock.now());
                    }
                    // After an error there is no connection to wait for.
                    Ok(0) | Err(_) => break &closer.ends.closed,
                },
                () = registration.closing() => break &closer.ends.replaced,
                () = tokio::time::sleep(wait) => {}
                _ = stopping.changed() => {}
            }
        };
        end.inc();
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let Self(closer) = self;
        closer.waiting.fetch_sub(1, Ordering::AcqRel);
        closer.gauge.dec();
    }
}

/// Reads from a socket and discards what was read; returns its length.
async fn discard(socket: &mut TcpStream) -> Result<usize> {
    std::future::poll_fn(|cx| {
        let mut space = [MaybeUninit::uninit(); DISCARD_BYTES];
        let mut buf = ReadBuf::uninit(&mut space);
        ready!(Pin::new(&mut *socket).poll_read(cx, &mut buf))?;
        Poll::Ready(Ok(buf.filled().len()))
    })
    .await
}

/// Open socket with its registration.
struct Open<R> {
    socket: TcpStream,
    registration: R,
}

impl<R> Open<R> {
    /// Records whether the kernel has sent all bytes; returns whether it has.
    fn check_sent(&self, linger: &mut Linger, now: Moment) -> bool {
        // With a limit of one unsent byte a socket is writable when there is none. That holds only
        // while the sending side is open.
        let mut writable = [PollFd::new(self.socket.as_fd(), PollFlags::POLLOUT)];
        let is_sent = poll(&mut writable, PollTimeout::ZERO).is_ok_and(|count| count > 0);
        if is_sent {
            linger.record_sent(now);
        }
        is_sent
    }

    /// Ends the sending side.
    fn end_sending(&self) {
        // This fails only if the connection has ended already.
        let _ = SockRef::from(&self.socket).shutdown(Shutdown::Write);
    }

    /// Discards the bytes that have arrived so far, up to [`DISCARD_BYTES`]; returns whether the
    /// connection ends after them.
    fn discard_received(&self, discarded: &Counter) -> bool {
        let mut chunk = [0; DISCARD_BYTES];
        // The socket is read directly, since the runtime may not know yet that there are bytes.
        match (&*SockRef::from(&self.socket)).read(&mut chunk) {
            Ok(0) => true,
            Ok(len) => {
                discarded.inc_by(len as u64);
                false
            }
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }
}

/// Socket of a server. When it is dropped, the connection is closed without the loss of what was
/// written to it.
pub(crate) struct ClosingStream<R: Registration = ()> {
    /// None once it was taken out.
    open: Option<Open<R>>,
    closer: Arc<Closer>,
    limits: LingerLimits,
    /// When bytes were last written.
    written: Option<Moment>,
    /// Whether the other end sends nothing more, so that closing the socket cannot reset it.
    is_ended: bool,
}

impl<R: Registration> ClosingStream<R> {
    /// The socket; none once it was taken out.
    pub(crate) fn socket(&self) -> Option<&TcpStream> {
        self.open.as_ref().map(|open| &open.socket)
    }

    /// Takes the socket out, which is then closed like any other.
    pub(crate) fn into_socket(mut self) -> Option<TcpStream> {
        self.open.take().map(|open| open.socket)
    }

    /// The socket as a stream; an error if it was taken out.
    fn stream(&mut self) -> Result<Pin<&mut TcpStream>> {
        let open = self.open.as_mut().ok_or(ErrorKind::NotConnected)?;
        Ok(Pin::new(&mut open.socket))
    }

    fn record_write(&mut self, written: &Poll<Result<usize>>) {
        match written {
            Poll::Ready(Ok(_)) => self.written = Some(self.closer.clock.now()),
            Poll::Ready(Err(_)) => self.is_ended = true,
            Poll::Pending => {}
        }
    }
}

impl<R: Registration> Drop for ClosingStream<R> {
    fn drop(&mut self) {
        if let (Some(open), Some(written), false) = (self.open.take(), self.written, self.is_ended)
        {
            self.closer.close(open, self.limits, written);
        }
    }
}

impl<R: Registration> AsyncRead for ClosingStream<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let (before, room) = (buf.filled().len(), buf.remaining());
        let read = ready!(self.stream()?.poll_read(cx, buf));
        self.is_ended |= read.is_err() || (room > 0 && buf.filled().len() == before);
        Poll::Ready(read)
    }
}

impl<R: Registration> AsyncWrite for ClosingStream<R> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = self.stream()?.poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = self.stream()?.poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket().is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream()?.poll_flush(cx)
    }

    /// Does nothing: the sending side is ended when the stream is dropped.
    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}
