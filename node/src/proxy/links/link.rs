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

use crate::proxy::frame::{self, Call, CallAnswer, CallNumber, FrameError, Known, Message};
use crate::proxy::links::traffic::Traffic;
use crate::proxy::locality::Locality;

/// Time without a byte from the peer after which a waiting link is pinged.
const QUIET_TIME: Duration = Duration::from_millis(400);
/// Time within which a ping must be answered; several round trips between availability zones and
/// a slow processor at the other end.
const PONG_TIME: Duration = Duration::from_millis(900);
/// Time without a byte from the peer after which a link that no call waits on is closed; a peer to
/// which work goes answers far more often, and one that is subscribed to as well.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Bytes that may wait for a peer that does not read, before the link is given up.
const BACKLOG_BYTES: usize = 32 << 20;
/// Time between two reads after which this process may have been suspended.
const PAUSE_TIME: Duration = Duration::from_millis(300);
/// First size of the read buffer; holds several usual calls.
const READ_BYTES: usize = 16 << 10;

/// Why a call over a link has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LinkError {
    /// No link came about, so the other node has seen nothing.
    #[error("the node is not reached")]
    Unreached,
    /// As [`LinkError::Unreached`], and no process listens there.
    #[error("no node is there")]
    Absent,
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
    shut: Notify,
    traffic: Arc<Traffic>,
    reach: Locality,
    version: Version,
}

/// Version of the messages that the other end of a link understands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Version {
    /// Whole rosters with each ping; no subscriptions.
    Whole,
    /// Subscriptions, and digests of the roster.
    Digests,
    /// Calls that outlive their link, and claims.
    Claims,
    /// News of requests that ended targets.
    Crashes,
}

impl Outbox {
    /// Sending side that counts its bytes in `traffic`.
    pub(crate) fn new(traffic: Arc<Traffic>, reach: Locality, version: Version) -> Self {
        let (buffer, closed) = (Mutex::default(), AtomicBool::new(false));
        let (filled, shut) = (Notify::new(), Notify::new());
        Self { buffer, filled, closed, shut, traffic, reach, version }
    }

    /// Whether the other end stands in the own availability zone.
    pub(crate) fn is_near(&self) -> bool {
        self.reach == Locality::SameZone
    }

    /// How far what came from the other end is passed on: news cross zones once.
    pub(crate) fn onward(&self) -> Locality {
        if self.is_near() { Locality::CrossZone } else { Locality::SameZone }
    }

    /// Whether the other end holds the runs of calls that outlive their link.
    pub(crate) fn claims(&self) -> bool {
        self.version >= Version::Claims
    }

    /// Whether the other end takes news of requests that ended targets.
    pub(crate) fn tells_crashes(&self) -> bool {
        self.version >= Version::Crashes
    }

    /// Whether the other end knows subscriptions and digests.
    pub(crate) fn compares(&self) -> bool {
        self.version >= Version::Digests
    }

    /// Queues a message; false if the link is closed.
    pub(crate) fn push(&self, message: &Message) -> bool {
        if self.closed.load(Ordering::Acquire) {
            return false;
        }
        let mut buffer = lock(&self.buffer);
        let held = buffer.len();
        let written = frame::write(message, &mut buffer);
        self.traffic.sent(message.kind(), self.reach, buffer.len() - held);
        if written.is_err() || buffer.len() > BACKLOG_BYTES {
            // Whoever is told that it was not sent must be able to rely on that.
            self.traffic.left(buffer.len() - held);
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
            self.shut.notify_one();
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
            let leaving = Leaving { traffic: &self.traffic, bytes: pending.len() };
            if socket.write_all(&pending).await.is_err() {
                self.close();
            }
            drop(leaving);
        }
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.traffic.left(lock(&self.buffer).len());
    }
}

/// Bytes that are being written; they count as gone when it is dropped, however the write ended.
struct Leaving<'a> {
    traffic: &'a Traffic,
    bytes: usize,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        self.traffic.left(self.bytes);
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
        () = outbox.shut.notified() => {}
    }
    outbox.close();
}

async fn read_all(
    mut socket: OwnedReadHalf,
    unread: &[u8],
    take: &mut impl FnMut(Message),
) -> Result<(), FrameError> {
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    buffer.extend_from_slice(unread);
    let mut last = Instant::now();
    loop {
        while let Some(message) = frame::read(&mut buffer)? {
            take(message);
        }
        buffer.reserve(READ_BYTES);
        match socket.read_buf(&mut buffer).await {
            Ok(0) | Err(_) => return Ok(()),
            Ok(_) => {}
        }
        // After a pause of this process the link may have ended behind what came meanwhile. Whoever
        // sent calls then does not wait for them here any more; answers are as good as ever.
        let paused = last.elapsed() > PAUSE_TIME;
        last = Instant::now();
        if paused && has_ended(&socket, &mut buffer) {
            while let Some(message) = frame::read(&mut buffer)? {
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
    let mut piece = [0; READ_BYTES];
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
    signs: Mutex<Signs>,
}

/// Signs of life of the other end.
#[derive(Debug, Default, Clone, Copy)]
struct Signs {
    heard: Moment,
    pinged: Option<Moment>,
}

/// Call that waits for its answer; cancelled at the other end if it is dropped before.
pub(crate) struct Pending<'a> {
    link: &'a Link,
    number: CallNumber,
    answer: oneshot::Receiver<CallAnswer>,
}

impl Link {
    pub(crate) fn new(now: Moment, id: LinkId, outbox: Outbox) -> Self {
        let signs = Mutex::new(Signs { heard: now, pinged: None });
        let (outbox, waiting) = (Arc::new(outbox), Mutex::default());
        Self { id, outbox, waiting, next: AtomicU32::new(0), signs }
    }

    /// Sends a call.
    pub(crate) fn send(&self, call: Call) -> Result<Pending<'_>, LinkError> {
        self.push(|number| Message::Call(number, Box::new(call)))
    }

    /// Sends a call whose run outlives the link.
    pub(crate) fn send_held(&self, call: Call) -> Result<Pending<'_>, LinkError> {
        self.push(|number| Message::HeldCall(number, Box::new(call)))
    }

    /// Asks what became of a call whose link broke.
    pub(crate) fn claim(&self, call: CallId) -> Result<Pending<'_>, LinkError> {
        self.push(|number| Message::Claim(number, call))
    }

    fn push(&self, message: impl FnOnce(CallNumber) -> Message) -> Result<Pending<'_>, LinkError> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        lock(&self.waiting).insert(number, sender);
        let pending = Pending { link: self, number, answer };
        if self.outbox.push(&message(number)) {
            return Ok(pending);
        }
        Err(LinkError::Unreached)
    }

    /// Takes an answer in.
    pub(crate) fn answered(&self, number: CallNumber, answer: CallAnswer) {
        if let Some(sender) = lock(&self.waiting).remove(&number) {
            // A caller that left meanwhile needs no answer.
            let _ = sender.send(answer);
        }
    }

    /// Notes that bytes came from the other end.
    pub(crate) fn heard(&self, now: Moment) {
        let mut signs = lock(&self.signs);
        signs.heard = now;
        signs.pinged = None;
    }

    /// Pings a quiet link that calls wait on, and closes one that did not answer or that nobody has
    /// used for a while.
    pub(crate) fn check(&self, now: Moment, known: Known) {
        let mut signs = lock(&self.signs);
        if let Some(pinged) = signs.pinged {
            if now.since(pinged) > PONG_TIME {
                drop(signs);
                self.outbox.close();
            }
            return;
        }
        let (busy, quiet) = (!lock(&self.waiting).is_empty(), now.since(signs.heard));
        if busy && quiet > QUIET_TIME {
            signs.pinged = Some(now);
            drop(signs);
            self.outbox.push(&Message::Ping(known));
        } else if !busy && quiet > IDLE_TIME {
            drop(signs);
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

impl Pending<'_> {
    /// Call that it is an answer to.
    pub(crate) fn id(&self) -> CallId {
        CallId { link: self.link.id, number: self.number }
    }

    /// Waits for the answer.
    pub(crate) async fn answer(mut self) -> Result<CallAnswer, LinkError> {
        (&mut self.answer).await.map_err(|_| LinkError::Broken)
    }
}

impl Drop for Pending<'_> {
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
