//! A link to another node: an upgraded HTTP/1.1 connection that carries frames in both directions.
//!
//! All calls from one node to another share a link. Messages pushed during a write are sent
//! together in the next write, because system calls dominate the cost of a hop. [`Link::check`]
//! closes a link on which the peer sends nothing although an answer is due; see [silent
//! connections](../../../../docs/design/silent-connections.md).

use std::collections::HashMap;
use std::io::{ErrorKind, Read};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use poplar_core::{CallId, LinkId, Moment};
use poplar_kernel::Clock;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, oneshot, watch};

use crate::closing::Closer;
use crate::proxy::frame::{self, Call, CallAnswer, CallNumber, FrameError, Message, StateSummary};
use crate::proxy::links::backlog::{Backlog, NotQueued};
use crate::proxy::links::large_frame::{Intake, LargeFrame, LargeFrames};
use crate::proxy::links::traffic::Traffic;
use crate::proxy::locality::Locality;
use crate::proxy::memory::CallerMemory;

/// Time without a message from the peer after which a link with waiting calls is pinged.
const PING_AFTER: Duration = Duration::from_millis(400);
/// Time after a ping within which the peer must send a message; allows for several round trips
/// between availability zones and a slow processor at the other end.
const PONG_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without a message from the peer after which a link without waiting calls is closed. A peer
/// that receives calls or a subscription sends messages far more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest number of bytes that are read at once after a pause.
const CATCH_UP_BYTES: usize = 32 << 20;
/// Time between two reads from which on this process may have been suspended in between.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(300);
/// Initial size of the read buffer; holds several typical calls.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Error of a call over a link that got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LinkError {
    /// No link could be established, so the other node has received nothing.
    #[error("no link to the node could be established")]
    Unreachable,
    /// As [`LinkError::Unreachable`], because no process listens at the node's address.
    #[error("no process listens at the node's address")]
    NotListening,
    /// The link broke or timed out after the call was sent.
    #[error("the link broke before the answer arrived")]
    Broken,
    /// As [`LinkError::Broken`], for a held call: the other node, if alive, keeps the run for a
    /// claim.
    #[error("the link broke before the answer to a held call arrived")]
    Held(CallId),
    /// The target answered with this many bytes, for which this node had no memory.
    #[error("no memory for the answer of {0} bytes")]
    Discarded(usize),
}

/// Sending side of a link: a buffer of encoded frames that a task writes to the socket.
#[derive(Debug)]
pub(crate) struct Outbox {
    backlog: Mutex<Backlog>,
    filled: Notify,
    closed: AtomicBool,
    close_signal: Notify,
    traffic: Arc<Traffic>,
    locality: Locality,
    version: ProtocolVersion,
}

/// Protocol version that the other end of a link supports, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProtocolVersion {
    /// Whole rosters, sent after pings; no subscriptions.
    FullRosters,
    /// Subscriptions, and roster digests instead of whole rosters.
    Digests,
    /// As `Digests`, with held calls, whose runs outlive their link, and claims of their answers.
    Claims,
    /// As `Claims`, with messages about requests that crashed targets.
    Crashes,
    /// As `Crashes`, with messages about the rate limits of targets.
    Limits,
    /// As `Limits`, with messages about the rate limits of workspaces.
    Leases,
}

impl Outbox {
    /// Creates the sending side of a link that counts its bytes in `traffic` and queues up to
    /// `limit` bytes of bodies.
    pub(crate) fn new(
        traffic: Arc<Traffic>,
        locality: Locality,
        version: ProtocolVersion,
        limit: usize,
    ) -> Self {
        let (backlog, closed) = (Mutex::new(Backlog::new(limit)), AtomicBool::new(false));
        let (filled, close_signal) = (Notify::new(), Notify::new());
        Self { backlog, filled, closed, close_signal, traffic, locality, version }
    }

    /// Whether the other end is in the availability zone of this node.
    pub(crate) fn is_near(&self) -> bool {
        self.locality == Locality::SameZone
    }

    /// How far crash messages from the other end are forwarded. Those from another availability
    /// zone stay within this one, so that they cross zones only once.
    pub(crate) fn forward_locality(&self) -> Locality {
        if self.is_near() { Locality::CrossZone } else { Locality::SameZone }
    }

    /// Whether the other end supports held calls and claims.
    pub(crate) fn supports_claims(&self) -> bool {
        self.version >= ProtocolVersion::Claims
    }

    /// Whether the other end accepts messages about requests that crashed targets.
    pub(crate) fn supports_crashes(&self) -> bool {
        self.version >= ProtocolVersion::Crashes
    }

    /// Whether the other end accepts messages about the rate limit of its target.
    pub(crate) fn supports_limits(&self) -> bool {
        self.version >= ProtocolVersion::Limits
    }

    /// Whether the other end accepts messages about the rate limits of workspaces.
    pub(crate) fn supports_leases(&self) -> bool {
        self.version >= ProtocolVersion::Leases
    }

    /// Whether the other end supports subscriptions and roster digests.
    pub(crate) fn supports_digests(&self) -> bool {
        self.version >= ProtocolVersion::Digests
    }

    /// Queues a message. Returns false if the link is or becomes closed, or if there is no room for
    /// the body of a call; nothing of the message is sent then. An answer without room for its body
    /// is replaced by one without it.
    pub(crate) fn push(&self, message: &Message) -> bool {
        if self.closed.load(Ordering::Acquire) {
            return false;
        }
        let mut backlog = lock(&self.backlog);
        match (backlog.push(message), message) {
            (Ok(size), _) => {
                self.traffic.record_queued(message.kind(), self.locality, size);
                drop(backlog);
                self.filled.notify_one();
                true
            }
            (Err(NotQueued::NoRoom), Message::Answer(number, answer)) => {
                drop(backlog);
                self.traffic.record_not_sent();
                self.push(&Message::Answer(*number, Box::new(answer.without_response())))
            }
            (Err(NotQueued::NoRoom), _) => false,
            (Err(NotQueued::Unusable), _) => {
                drop(backlog);
                self.close();
                false
            }
        }
    }

    /// Closes the link.
    pub(crate) fn close(&self) {
        if !self.closed.swap(true, Ordering::AcqRel) {
            self.close_signal.notify_one();
            self.filled.notify_one();
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    async fn write_all(&self, socket: &mut OwnedWriteHalf) {
        while !self.is_closed() {
            let next = lock(&self.backlog).pop();
            let Some(pending) = next else {
                self.filled.notified().await;
                continue;
            };
            let guard = WriteGuard { traffic: &self.traffic, bytes: pending.len() };
            if socket.write_all(&pending).await.is_err() {
                self.close();
            }
            drop(guard);
            lock(&self.backlog).record_written();
        }
    }

    /// Drops what is queued on a closed link, and with it the memory of the bodies.
    fn discard(&self) {
        self.traffic.record_written(lock(&self.backlog).clear());
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.discard();
    }
}

/// Removes bytes being written from the count of unwritten bytes on drop, whether or not the write
/// succeeds.
struct WriteGuard<'a> {
    traffic: &'a Traffic,
    bytes: usize,
}

impl Drop for WriteGuard<'_> {
    fn drop(&mut self) {
        self.traffic.record_written(self.bytes);
    }
}

/// End of the links when the process stops, and the close of their sockets.
#[derive(Clone)]
pub(crate) struct LinkEnd {
    pub(crate) closer: Arc<Closer>,
    /// Set to end all links.
    pub(crate) shutdown: watch::Receiver<bool>,
}

/// Runs a link until it closes: writes the queued frames of `outbox` to the socket and passes each
/// received message to `handle`, large ones only if `intake` admits them.
///
/// `unread` holds the bytes that were read from the socket together with the upgrade.
pub(crate) async fn drive(
    socket: TcpStream,
    unread: &[u8],
    outbox: &Outbox,
    mut end: LinkEnd,
    mut intake: impl LargeFrames,
    mut handle: impl FnMut(Message),
) {
    let (mut reader, mut writer) = socket.into_split();
    let mut has_ended = false;
    tokio::select! {
        () = outbox.write_all(&mut writer) => {}
        // Any error closes the link, and the calls on it fail with `LinkError::Broken`.
        read = read_all(&mut reader, unread, &mut intake, &mut handle) => has_ended = read.is_ok(),
        () = outbox.close_signal.notified() => {}
        _ = end.shutdown.wait_for(|shutdown| *shutdown) => {}
    }
    outbox.close();
    outbox.discard();
    // What was written reaches the other end, also if it has sent more.
    if !has_ended && let Ok(socket) = reader.reunite(writer) {
        end.closer.close_peer(socket);
    }
}

async fn read_all(
    socket: &mut OwnedReadHalf,
    unread: &[u8],
    intake: &mut impl LargeFrames,
    handle: &mut impl FnMut(Message),
) -> Result<(), FrameError> {
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    buffer.extend_from_slice(unread);
    let mut last = Instant::now();
    loop {
        while let Some(message) = frame::decode(&mut buffer)? {
            handle(message);
        }
        let mut longest_pause = Duration::ZERO;
        if let Some(large) = LargeFrame::begin(&buffer)? {
            let Some(read) = large.read(socket, &mut buffer, intake).await? else {
                return Ok(());
            };
            read.message.into_iter().for_each(&mut *handle);
            longest_pause = read.longest_pause;
        } else {
            buffer.reserve(READ_BUFFER_BYTES);
            match socket.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return Ok(()),
                Ok(_) => {}
            }
        }
        // If this process was suspended, the peer may have closed the link after sending what
        // arrived in the meantime. It no longer waits for calls on a closed link, so these are
        // dropped; other messages, such as answers, are still valid.
        let paused = last.elapsed().max(longest_pause) > SUSPEND_THRESHOLD;
        last = Instant::now();
        if paused && has_ended(socket, &mut buffer) {
            while let Some(message) = frame::decode(&mut buffer)? {
                if !matches!(message, Message::Call(..) | Message::HeldCall(..)) {
                    handle(message);
                }
            }
            return Ok(());
        }
    }
}

/// Reads the bytes that have arrived so far; returns true if the connection ends after them.
///
/// It reads from the socket directly, because the runtime reports the end of the connection later
/// than the bytes before it.
fn has_ended(socket: &OwnedReadHalf, buffer: &mut BytesMut) -> bool {
    let socket = SockRef::from(socket.as_ref());
    let mut chunk = [0; READ_BUFFER_BYTES];
    while buffer.len() < CATCH_UP_BYTES {
        match (&*socket).read(&mut chunk) {
            Ok(0) => return true,
            Ok(len) => buffer.extend_from_slice(&chunk[..len]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return error.kind() != ErrorKind::WouldBlock,
        }
    }
    false
}

/// Answer to a call, or the reason why there is none.
type CallResult = Result<CallAnswer, LinkError>;

/// Calling end of a link: sends calls and matches answers to them.
#[derive(Debug)]
pub(crate) struct Link {
    id: LinkId,
    pub(crate) outbox: Arc<Outbox>,
    waiting: Mutex<HashMap<CallNumber, oneshot::Sender<CallResult>>>,
    next: AtomicU32,
    liveness: Mutex<Liveness>,
}

/// When the other end last sent a message, and when it was pinged since then.
#[derive(Debug, Default, Clone, Copy)]
struct Liveness {
    last_received: Moment,
    ping_sent: Option<Moment>,
}

/// Call that waits for its answer; dropping it earlier cancels the call at the other end.
pub(crate) struct PendingCall<'a> {
    link: &'a Link,
    number: CallNumber,
    answer: oneshot::Receiver<CallResult>,
}

impl Link {
    pub(crate) fn new(now: Moment, id: LinkId, outbox: Outbox) -> Self {
        let liveness = Mutex::new(Liveness { last_received: now, ping_sent: None });
        let (outbox, waiting) = (Arc::new(outbox), Mutex::default());
        Self { id, outbox, waiting, next: AtomicU32::new(0), liveness }
    }

    /// Sends a call, whose run is stopped if the link breaks.
    pub(crate) fn send(&self, call: Call) -> Result<PendingCall<'_>, LinkError> {
        self.push(|number| Message::Call(number, Box::new(call)))
    }

    /// Sends a call whose run outlives the link.
    pub(crate) fn send_held(&self, call: Call) -> Result<PendingCall<'_>, LinkError> {
        self.push(|number| Message::HeldCall(number, Box::new(call)))
    }

    /// Requests the outcome of a held call that was sent over an earlier link, which broke.
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

    /// Passes an answer to the call that waits for it.
    pub(crate) fn complete(&self, number: CallNumber, answer: CallAnswer) {
        if let Some(sender) = lock(&self.waiting).remove(&number) {
            // The send fails only if the caller has stopped waiting.
            let _ = sender.send(Ok(answer));
        }
    }

    /// Fails the call whose answer of `bytes` is discarded.
    fn discard(&self, number: CallNumber, bytes: usize) {
        if let Some(sender) = lock(&self.waiting).remove(&number) {
            // The send fails only if the caller has stopped waiting.
            let _ = sender.send(Err(LinkError::Discarded(bytes)));
        }
    }

    /// Records that a message was received from the other end.
    pub(crate) fn record_received(&self, now: Moment) {
        let mut liveness = lock(&self.liveness);
        liveness.last_received = now;
        liveness.ping_sent = None;
    }

    /// Pings the peer if calls wait and it has sent nothing for a while. Closes the link if the
    /// peer does not react to a ping, or if the link has been idle without waiting calls.
    ///
    /// `stalled` is the time since the last check for which this process did not run. It does not
    /// count as silence of the peer, whose messages may have arrived in it and be unread.
    pub(crate) fn check(&self, now: Moment, stalled: Duration, summary: StateSummary) {
        let mut liveness = lock(&self.liveness);
        liveness.ping_sent = liveness.ping_sent.map(|sent| now.min(sent + stalled));
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
            self.outbox.push(&Message::Ping(summary));
        } else if !busy && quiet > IDLE_TIMEOUT {
            drop(liveness);
            self.outbox.close();
        }
    }

    /// Closes the link and fails all waiting calls with [`LinkError::Broken`].
    pub(crate) fn abandon(&self) {
        self.outbox.close();
        lock(&self.waiting).clear();
    }

    /// Number of calls that wait for an answer.
    pub(crate) fn waiting(&self) -> usize {
        lock(&self.waiting).len()
    }
}

impl PendingCall<'_> {
    /// Identifier of the call, by which it can be claimed over another link.
    pub(crate) fn id(&self) -> CallId {
        CallId { link: self.link.id, number: self.number }
    }

    /// Waits for the answer.
    pub(crate) async fn answer(mut self) -> Result<CallAnswer, LinkError> {
        (&mut self.answer).await.unwrap_or(Err(LinkError::Broken))
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if lock(&self.link.waiting).remove(&self.number).is_some() {
            self.link.outbox.push(&Message::Cancel(self.number));
        }
    }
}

/// Takes in the large answers that are waited for and for which there is memory.
pub(crate) struct AnswerIntake<'a> {
    pub(crate) link: &'a Link,
    pub(crate) memory: &'a Arc<CallerMemory>,
    pub(crate) clock: Clock,
}

impl LargeFrames for AnswerIntake<'_> {
    fn admit(&mut self, answered: Option<CallNumber>, len: usize) -> Intake {
        let Some(number) = answered else { return Intake::Read(None) };
        if !lock(&self.link.waiting).contains_key(&number) {
            return Intake::Discard;
        }
        match self.memory.take(len) {
            Some(share) => Intake::Read(Some(share)),
            None => {
                self.link.discard(number, len);
                Intake::Discard
            }
        }
    }

    /// A large frame may take longer than the time in which a ping must be answered.
    fn record_progress(&mut self) {
        self.link.record_received(self.clock.now());
    }
}

/// Locks a mutex, ignoring poisoning: no holder leaves the guarded data inconsistent when it
/// panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
