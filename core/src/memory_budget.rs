//! Memory for answers that are held for callers, and the connections that callers may keep open.
//!
//! A caller that does not read its answer makes its node hold it. All such answers share one
//! budget, and a caller whose connection takes no bytes gives way to others when the budget is used
//! up. See [memory](../../docs/design/memory.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::time::Moment;

/// Weight of the last answer in the usual answer size of a route.
const SIZE_WEIGHT: f64 = 0.125;
/// Maximum number of routes whose usual answer size is kept; bounds the memory after many revisions
/// of the rules.
const ROUTES_MAX: usize = 4_096;
/// Maximum number of connections that may be on their way to be closed in favour of new ones.
/// Beyond it new connections are refused, so that a burst does not exceed the descriptors.
const REPLACED_MAX: usize = 8;

/// Limits of a [`MemoryBudget`].
#[derive(Debug, Clone, Copy)]
pub struct MemoryLimits {
    /// Bytes of answers that may be held for callers.
    pub bytes: u64,
    /// Time without progress after which a connection may be closed in favour of other answers, and
    /// age of an incomplete request from which its connection may be closed in favour of another.
    pub yield_after: Duration,
    /// Time without progress after which a connection is closed in any case.
    pub write_timeout: Duration,
}

/// Number of a caller's connection in its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

impl ConnectionId {
    /// The number, as it appears in logs.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Whether there is room for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Room {
    /// There is room.
    Granted,
    /// There is room once these connections, which have stalled longest, are closed.
    Closing(Vec<ConnectionId>),
    /// There is no room, and no connection has stalled long enough to be closed.
    Refused,
}

/// Whether a new connection may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accepted {
    /// The connection may be served.
    Opened(ConnectionId),
    /// The first connection may be served if the second one is closed.
    Replaces(ConnectionId, ConnectionId),
    /// The connection must be closed at once.
    Refused,
}

/// How long a connection that will send nothing more may wait for its caller to close it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LingerTime {
    /// As long as any connection.
    Full,
    /// Until its bytes are sent, as another connection needs its descriptor.
    UntilSent,
    /// Not at all, as its caller takes no bytes.
    None,
}

/// Sums over the connections and answers of a [`MemoryBudget`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Bytes of answers that are held.
    pub held: u64,
    /// Bytes of answers that are expected for requests in progress.
    pub expected: u64,
    /// Number of open connections.
    pub connections: usize,
    /// Number of connections that take no bytes although there are some to send.
    pub stalled: usize,
    /// Number of connections that will send nothing more and wait for their caller to close them.
    pub lingering: usize,
}

/// Memory for the answers held for callers, by connection.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: MemoryLimits,
    held: u64,
    expected: u64,
    next: u64,
    connections: HashMap<ConnectionId, Connection>,
    /// Number of connections that are being closed to make room for others.
    replaced: usize,
    usual_sizes: HashMap<Name, f64>,
}

#[derive(Debug)]
struct Connection {
    /// Bytes of answers that are held for this connection.
    held: u64,
    /// Time since which it has no request in progress; none if it has one.
    idle_since: Option<Moment>,
    /// Time since which the body of its request is coming in.
    receiving_since: Option<Moment>,
    /// Time since which it takes no bytes although there are some to send.
    stalled_since: Option<Moment>,
    /// Whether it will send nothing more and waits for its caller to close it.
    lingering: bool,
    /// Why it is being closed.
    closing: Option<Closing>,
}

/// Idle connection, in the order in which they give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Idle {
    /// Whether a further request may arrive on it.
    open: bool,
    since: Moment,
    id: ConnectionId,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closing {
    /// To make room for another connection.
    Replaced,
    /// It has stalled.
    Stalled,
}

impl MemoryBudget {
    /// Creates a budget without connections and answers.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            held: 0,
            expected: 0,
            next: 0,
            connections: HashMap::new(),
            replaced: 0,
            usual_sizes: HashMap::new(),
        }
    }

    /// Adds a new connection, of which at most `connections_max` may be open.
    ///
    /// At that limit a connection that only waits for its caller to close it gives way, or else the
    /// one that has been idle longest, or else the one that has stalled longest, or else the one whose
    /// request has been incomplete longest.
    pub fn open(&mut self, now: Moment, connections_max: usize) -> Accepted {
        let open = self.connections.len() - self.replaced;
        let given_up = if open < connections_max {
            None
        } else if self.replaced >= REPLACED_MAX {
            return Accepted::Refused;
        } else {
            let idle = self.idle().min().map(|idle| idle.id);
            let Some(id) =
                idle.or_else(|| self.longest_stalled(now)).or_else(|| self.longest_receiving(now))
            else {
                return Accepted::Refused;
            };
            Some(id)
        };
        if let Some(given_up) = given_up {
            self.replace(given_up);
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        let connection = Connection {
            held: 0,
            idle_since: Some(now),
            receiving_since: None,
            stalled_since: None,
            lingering: false,
            closing: None,
        };
        self.connections.insert(id, connection);
        given_up.map_or(Accepted::Opened(id), |given_up| Accepted::Replaces(id, given_up))
    }

    /// Idle connections that must be closed because fewer than before may be open.
    pub fn trim(&mut self, connections_max: usize) -> Vec<ConnectionId> {
        let excess = (self.connections.len() - self.replaced).saturating_sub(connections_max);
        let mut idle: Vec<_> = self.idle().collect();
        idle.sort_unstable();
        let trimmed: Vec<_> = idle.into_iter().take(excess).map(|idle| idle.id).collect();
        trimmed.iter().for_each(|id| self.replace(*id));
        trimmed
    }

    /// Removes a connection that was closed. Its answers count until they are released.
    pub fn close(&mut self, id: ConnectionId) {
        let closed = self.connections.remove(&id);
        if closed.is_some_and(|closed| closed.closing == Some(Closing::Replaced)) {
            self.replaced -= 1;
        }
    }

    /// Records that a request on a connection has begun.
    pub fn begin_request(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.idle_since = None;
        }
    }

    /// Records that the body of the request on a connection is coming in.
    pub fn begin_receiving(&mut self, now: Moment, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.receiving_since = Some(now);
        }
    }

    /// Records that the body of the request on a connection is complete, or is not read any more.
    pub fn end_receiving(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.receiving_since = None;
        }
    }

    /// Records that the request on a connection has its answer.
    pub fn end_request(&mut self, now: Moment, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.idle_since = Some(now);
        }
    }

    /// Records that nothing more will be sent on a connection, and returns how long it may wait for
    /// its caller to close it.
    pub fn begin_linger(&mut self, now: Moment, id: ConnectionId) -> LingerTime {
        let Some(connection) = self.connections.get_mut(&id) else { return LingerTime::None };
        connection.lingering = true;
        connection.idle_since.get_or_insert(now);
        let is_stalled = connection.stalled_since.take().is_some();
        match connection.closing {
            None => LingerTime::Full,
            Some(Closing::Replaced) if !is_stalled => LingerTime::UntilSent,
            Some(Closing::Replaced | Closing::Stalled) => LingerTime::None,
        }
    }

    /// Records that a connection took none of the bytes that there are to send.
    pub fn record_stall(&mut self, now: Moment, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stalled_since.get_or_insert(now);
        }
    }

    /// Records that a connection took bytes.
    pub fn record_progress(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stalled_since = None;
        }
    }

    /// Reserves room for the answer to a request that has not been sent yet. The room is returned
    /// with [`MemoryBudget::cancel_expected`] when the request has ended, at which time its answer,
    /// if any, is held.
    ///
    /// One request is granted however large its answer is expected to be, if nothing else is held.
    pub fn expect(&mut self, now: Moment, bytes: u64) -> Room {
        let room = self.make_room(now, bytes.min(self.limits.bytes), self.expected);
        if room != Room::Refused {
            self.expected += bytes;
        }
        room
    }

    /// Returns the room of [`MemoryBudget::expect`].
    pub fn cancel_expected(&mut self, bytes: u64) {
        self.expected = self.expected.saturating_sub(bytes);
    }

    /// Takes room for an answer that has arrived. What is only expected does not count, since an
    /// answer that exists is worth more than one that may come.
    pub fn take(&mut self, now: Moment, bytes: u64) -> Room {
        let room = self.make_room(now, bytes, 0);
        if room != Room::Refused {
            self.held += bytes;
        }
        room
    }

    /// Records on which connection an answer is sent. Its bytes are released for the same one.
    pub fn assign(&mut self, id: ConnectionId, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held += bytes;
        }
    }

    /// Releases the room of an answer that was written or dropped.
    pub fn release(&mut self, id: Option<ConnectionId>, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
        if let Some(connection) = id.and_then(|id| self.connections.get_mut(&id)) {
            connection.held = connection.held.saturating_sub(bytes);
        }
    }

    /// Connections that must be closed now because they have taken no bytes for too long. Those that
    /// will send nothing more have a time limit of their own.
    pub fn expire(&mut self, now: Moment) -> Vec<ConnectionId> {
        let timeout = self.limits.write_timeout;
        let expired = self.connections.iter_mut().filter(|(_, connection)| {
            connection.closing.is_none()
                && !connection.lingering
                && connection.stalled_since.is_some_and(|since| now.since(since) >= timeout)
        });
        let expired = expired.map(|(id, connection)| {
            connection.closing = Some(Closing::Stalled);
            *id
        });
        expired.collect()
    }

    /// Records the size of an answer on `route`.
    pub fn record_size(&mut self, route: &Name, bytes: u64) {
        if let Some(usual) = self.usual_sizes.get_mut(route) {
            *usual += (bytes as f64 - *usual) * SIZE_WEIGHT;
        } else if self.usual_sizes.len() < ROUTES_MAX {
            self.usual_sizes.insert(route.clone(), bytes as f64);
        }
    }

    /// Usual size of an answer on `route`, a moving mean; zero before the first answer.
    pub fn usual_size(&self, route: &Name) -> u64 {
        self.usual_sizes.get(route).map_or(0, |usual| *usual as u64)
    }

    /// What is in use now.
    pub fn usage(&self) -> MemoryUse {
        let stalled = self.connections.values().filter(|it| it.stalled_since.is_some()).count();
        let lingering = self.connections.values().filter(|it| it.lingering).count();
        MemoryUse {
            held: self.held,
            expected: self.expected,
            connections: self.connections.len(),
            stalled,
            lingering,
        }
    }

    /// Finds room for `bytes` beside `expected` and what is held, apart from what connections that
    /// are being closed will release. Closes connections only if that makes enough room.
    fn make_room(&mut self, now: Moment, bytes: u64, expected: u64) -> Room {
        if self.held + expected + bytes <= self.limits.bytes {
            return Room::Granted;
        }
        let closing = self.connections.values().filter(|it| it.closing.is_some());
        let released: u64 = closing.map(|connection| connection.held).sum();
        let used = self.held.saturating_sub(released) + expected;
        let mut missing = (used + bytes).saturating_sub(self.limits.bytes);
        if missing == 0 {
            return Room::Granted;
        }
        let mut stalled: Vec<_> = self.stalled(now).filter(|(_, held, _)| *held > 0).collect();
        stalled.sort_unstable();
        let mut chosen = Vec::new();
        for (_, held, id) in stalled {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(held);
            chosen.push(id);
        }
        if missing > 0 {
            return Room::Refused;
        }
        for id in &chosen {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.closing = Some(Closing::Stalled);
            }
        }
        Room::Closing(chosen)
    }

    /// Connections that have stalled long enough to give way, with the time since which they have
    /// and the bytes held for them.
    fn stalled(&self, now: Moment) -> impl Iterator<Item = (Moment, u64, ConnectionId)> + '_ {
        let yield_after = self.limits.yield_after;
        self.connections.iter().filter_map(move |(id, connection)| {
            let since =
                connection.stalled_since.filter(|since| now.since(*since) >= yield_after)?;
            connection.closing.is_none().then_some((since, connection.held, *id))
        })
    }

    fn longest_stalled(&self, now: Moment) -> Option<ConnectionId> {
        self.stalled(now).min().map(|(_, _, id)| id)
    }

    /// Connection whose request has been incomplete longest, and for long enough to give way.
    fn longest_receiving(&self, now: Moment) -> Option<ConnectionId> {
        let receiving = self.connections.iter().filter_map(|(id, connection)| {
            let since = connection.receiving_since?;
            let gives_way = now.since(since) >= self.limits.yield_after;
            (gives_way && connection.closing.is_none()).then_some((since, *id))
        });
        receiving.min().map(|(_, id)| id)
    }

    /// Connections without a request in progress and with nothing to send.
    fn idle(&self) -> impl Iterator<Item = Idle> + '_ {
        self.connections.iter().filter_map(|(id, connection)| {
            let sent = connection.held == 0 && connection.stalled_since.is_none();
            let since = connection.idle_since?;
            (sent && connection.closing.is_none()).then_some(Idle {
                open: !connection.lingering,
                since,
                id: *id,
            })
        })
    }

    /// Marks a connection as one that is being closed to make room for another.
    fn replace(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.closing = Some(Closing::Replaced);
            self.replaced += 1;
        }
    }
}
