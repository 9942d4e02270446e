//! One link to another node: an upgraded HTTP/1.1 connection that carries frames both ways.
//!
//! All calls between two nodes share a link, and what is pushed while a write is under way goes
//! out in one write, because system calls dominate the cost of a hop. A link that stays silent
//! while something is due is closed by [`Link::check`]; see
//! [silent connections](../../../../docs/design/silent-connections.md).

use std::collections::HashMap;
use std::io::{ErrorKind, Read};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use poplar_core::{CallId, LinkId, Moment};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, oneshot};

use crate::proxy::frame::{self, Call, CallAnswer, CallNumber, FrameError, Message, StateSummary};
use crate::proxy::links::traffic::Traffic;
use crate::proxy::locality::Locality;

/// Time without a byte from the peer after which a waiting link is pinged.
const PING_AFTER: Duration = Duration::from_millis(400);
/// Time within which a ping must be answered; several round trips between availability zones and
/// a slow processor at the other end.
const PONG_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without a byte from the peer after which a link that no call waits on is closed; a peer to
/// which work goes answers far more often, and one that is subscribed to as well.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that may wait for a peer that does not read, before the link is given up.
const BACKLOG_BYTES: usize = 32 << 20;
/// Time between two reads after which this process may have been suspended.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(300);
/// First size of the read buffer; holds several usual calls.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Why a call over a link has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LinkError {
    /// No link came about, so the other node has seen nothing.
    #[error("the node is not reached")]
    Unreachable,
    /// As [`LinkError::Unreachable`], and no process listens there.
    #[error("no node is there")]
    NotListening,
    /// The link broke or went silent after the call was sent.
    #[error("the link broke")]
    Broken,
    /// As [`LinkError::Broken`], and the other node holds the run, if it is alive.
    #[error("the link broke under a held call")]
    Held(CallId),
}

/// Sending side of a link.
#[derive(Debug)]
pub(crate) struct Outbox {
    buffer: Mutex<BytesMut>,
    filled: Notify,
    closed: AtomicBool,
    close_signal: Notify,
    traffic: Arc<Traffic>,
    reach: Locality,
    version: ProtocolVersion,
}

/// Version of the messages that the other end of a link understands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProtocolVersion {
    /// Whole rosters with each ping; no subscriptions.
    FullRosters,
    /// Subscriptions, and digests of the roster.
    Digests,
    /// Calls that outlive their link, and claims.
    Claims,
    /// News of requests that ended targets.
    Crashes,
}

impl Outbox {
    /// Sending side that counts its bytes in `traffic`.
    pub(crate) fn new(traffic: Arc<Traffic>, reach: Locality, version: ProtocolVersion) -> Self {
        let (buffer, closed) = (Mutex::default(), AtomicBool::new(false));
        let (filled, close_signal) = (Notify::new(), Notify::new());
        Self { buffer, filled, closed, close_signal, traffic, reach, version }
    }

    /// Whether the other end stands in the own availability zone.
    pub(crate) fn is_near(&self) -> bool {
        self.reach == Locality::SameZone
    }

    /// How far what came from the other end is passed on: news cross zones once.
    pub(crate) fn forward_reach(&self) -> Locality {
        if self.is_near() { Locality::CrossZone } else { Locality::SameZone }
    }

    /// Whether the other end holds the runs of calls that outlive their link.
    pub(crate) fn supports_claims(&self) -> bool {
        self.version >= ProtocolVersion::Claims
    }

    /// Whether the other end takes news of requests that ended targets.
    pub(crate) fn supports_crashes(&self) -> bool {
        self.version >= ProtocolVersion::Crashes
    }

    /// Whether the other end knows subscriptions and digests.
    pub(crate) fn supports_digests(&self) -> bool {
        self.version >= ProtocolVersion::Digests
    }

    /// Queues a message; false if the link is closed.
    pub(crate) fn push(&self, message: &Message) -> bool {
        if self.closed.load(Ordering::Acquire) {
            return false;
        }
        let mut buffer = lock(&self.buffer);
        let held = buffer.len();
        let written = frame::encode(message, &mut buffer);
        self.traffic.record_queued(message.kind(), self.reach, buffer.len() - held);
        if written.is_err() || buffer.len() > BACKLOG_BYTES {
            // Whoever is told that it was not sent must be able to rely on that.
            self.traffic.record_written(buffer.len() - held);
            buffer.truncate(held);
            drop(buffer);
            self.close();
            return false;
        }
        drop(buffer);
        self.filled.notify_one();
        true
    }

    /// Ends the link.
    pub(crate) fn close(&self) {
        if !self.closed.swap(true, Ordering::AcqRel) {
            self.close_signal.notify_one();
            self.filled.notify_one();
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    async fn write_all(&self, mut socket: OwnedWriteHalf) {
        while !self.is_closed() {
            let pending = lock(&self.buffer).split();
            if pending.is_empty() {
                self.filled.notified().await;
                continue;
            }
            let leaving = WriteGuard { traffic: &self.traffic, bytes: pending.len() };
            if socket.write_all(&pending).await.is_err() {
                self.close();
            }
            drop(leaving);
        }
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.traffic.record_written(lock(&self.buffer).len());
    }
}

/// Bytes that are being written; they count as gone when it is dropped, however the write ended.
struct WriteGuard<'a> {
    traffic: &'a Traffic,
    bytes: usize,
}

impl Drop for WriteGuard<'_> {
    fn drop(&mut self) {
        self.traffic.record_written(self.bytes);
    }
}

/// Moves frames between a socket and its owner until the link ends.
///
/// `unread` is what the upgrade had read beyond its own end.
pub(crate) async fn drive(
    socket: TcpStream,
    unread: &[u8],
    outbox: &Outbox,
    mut take: impl FnMut(Message),
) {
    let (reader, writer) = socket.into_split();
    tokio::select! {
        () = outbox.write_all(writer) => {}
        // The link is torn down for any fault alike; calls on it learn that it broke.
        _ = read_all(reader, unread, &mut take) => {}
        () = outbox.close_signal.notified() => {}
    }
    outbox.close();
}

async fn read_all(
    mut socket: OwnedReadHalf,
    unread: &[u8],
    take: &mut impl FnMut(Message),
) -> Result<(), FrameError> {
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    buffer.extend_from_slice(unread);
    let mut last = Instant::now();
    loop {
        while let Some(message) = frame::decode(&mut buffer)? {
            take(message);
        }
        buffer.reserve(READ_BUFFER_BYTES);
        match socket.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return Ok(()),
            Ok(_) => {}
        }
        // After a pause of this process the link may have ended behind what came meanwhile. Whoever
        // sent calls then does not wait for them here any more; answers are as good as ever.
        let paused = last.elapsed() > SUSPEND_THRESHOLD;
        last = Instant::now();
        if paused && has_ended(&socket, &mut buffer) {
            while let Some(message) = frame::decode(&mut buffer)? {
                if !matches!(message, Message::Call(..) | Message::HeldCall(..)) {
                    take(message);
                }
            }
            return Ok(());
        }
    }
}

/// Reads what has come in so far; true if the link ends after it.
///
/// It asks the system itself, as the runtime learns of the end later than of the bytes before it.
fn has_ended(socket: &OwnedReadHalf, buffer: &mut BytesMut) -> bool {
    let socket = SockRef::from(socket.as_ref());
    let mut piece = [0; READ_BUFFER_BYTES];
    while buffer.len() < BACKLOG_BYTES {
        match (&*socket).read(&mut piece) {
            Ok(0) => return true,
            Ok(len) => buffer.extend_from_slice(&piece[..len]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return error.kind() != ErrorKind::WouldBlock,
        }
    }
    false
}

/// Calling end of a link.
#[derive(Debug)]
pub(crate) struct Link {
    id: LinkId,
    pub(crate) outbox: Arc<Outbox>,
    waiting: Mutex<HashMap<CallNumber, oneshot::Sender<CallAnswer>>>,
    next: AtomicU32,
    liveness: Mutex<Liveness>,
}

/// Signs of life of the other end.
#[derive(Debug, Default, Clone, Copy)]
struct Liveness {
    last_received: Moment,
    ping_sent: Option<Moment>,
}

/// Call that waits for its answer; cancelled at the other end if it is dropped before.
pub(crate) struct PendingCall<'a> {
    link: &'a Link,
    number: CallNumber,
    answer: oneshot::Receiver<CallAnswer>,
}

impl Link {
    pub(crate) fn new(now: Moment, id: LinkId, outbox: Outbox) -> Self {
        let liveness = Mutex::new(Liveness { last_received: now, ping_sent: None });
        let (outbox, waiting) = (Arc::new(outbox), Mutex::default());
        Self { id, outbox, waiting, next: AtomicU32::new(0), liveness }
    }

    /// Sends a call.
    pub(crate) fn send(&self, call: Call) -> Result<PendingCall<'_>, LinkError> {
        self.push(|number| Message::Call(number, Box::new(call)))
    }

    /// Sends a call whose run outlives the link.
    pub(crate) fn send_held(&self, call: Call) -> Result<PendingCall<'_>, LinkError> {
        self.push(|number| Message::HeldCall(number, Box::new(call)))
    }

    /// Asks what became of a call whose link broke.
    pub(crate) fn claim(&self, call: CallId) -> Result<PendingCall<'_>, LinkError> {
        self.push(|number| Message::Claim(number, call))
    }

    fn push(
        &self,
        message: impl FnOnce(CallNumber) -> Message,
    ) -> Result<PendingCall<'_>, LinkError> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        lock(&self.waiting).insert(number, sender);
        let pending = PendingCall { link: self, number, answer };
        if self.outbox.push(&message(number)) {
            return Ok(pending);
        }
        Err(LinkError::Unreachable)
    }

    /// Takes an answer in.
    pub(crate) fn complete(&self, number: CallNumber, answer: CallAnswer) {
        if let Some(sender) = lock(&self.waiting).remove(&number) {
            // A caller that left meanwhile needs no answer.
            let _ = sender.send(answer);
        }
    }

    /// Notes that bytes came from the other end.
    pub(crate) fn record_received(&self, now: Moment) {
        let mut liveness = lock(&self.liveness);
        liveness.last_received = now;
        liveness.ping_sent = None;
    }

    /// Pings a quiet link that calls wait on, and closes one that did not answer or that nobody has
    /// used for a while.
    pub(crate) fn check(&self, now: Moment, known: StateSummary) {
        let mut liveness = lock(&self.liveness);
        if let Some(ping_sent) = liveness.ping_sent {
            if now.since(ping_sent) > PONG_TIMEOUT {
                drop(liveness);
                self.outbox.close();
            }
            return;
        }
        let (busy, quiet) = (!lock(&self.waiting).is_empty(), now.since(liveness.last_received));
        if busy && quiet > PING_AFTER {
            liveness.ping_sent = Some(now);
            drop(liveness);
            self.outbox.push(&Message::Ping(known));
        } else if !busy && quiet > IDLE_TIMEOUT {
            drop(liveness);
            self.outbox.close();
        }
    }

    /// Tells all calls that wait that the link broke.
    pub(crate) fn abandon(&self) {
        self.outbox.close();
        lock(&self.waiting).clear();
    }

    /// Calls without an answer yet.
    pub(crate) fn waiting(&self) -> usize {
        lock(&self.waiting).len()
    }
}

impl PendingCall<'_> {
    /// Call that it is an answer to.
    pub(crate) fn id(&self) -> CallId {
        CallId { link: self.link.id, number: self.number }
    }

    /// Waits for the answer.
    pub(crate) async fn answer(mut self) -> Result<CallAnswer, LinkError> {
        (&mut self.answer).await.map_err(|_| LinkError::Broken)
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if lock(&self.link.waiting).remove(&self.number).is_some() {
            self.link.outbox.push(&Message::Cancel(self.number));
        }
    }
}

/// Locks a mutex; what it guards is left whole by every holder, so a panic of one is no harm.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
