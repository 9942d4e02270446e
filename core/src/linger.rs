//! How long a connection that will send nothing more waits for the other end to close it.
//!
//! A socket that is closed while bytes of the other end are unread, or before further ones arrive,
//! resets its connection, and the kernel then discards what it has not delivered. So the sending
//! side ends first, what still arrives is discarded, and the socket is closed when the other end
//! has closed its side or a time limit is reached. See
//! [closing](../../docs/design/closing.md).

use std::time::Duration;

use crate::time::Moment;

/// Time limits of a [`Linger`].
#[derive(Debug, Clone, Copy)]
pub struct LingerLimits {
    /// Longest time from the decision to close until the socket is closed.
    pub total: Duration,
    /// Longest time without anything sent or received, counted once all bytes have been sent.
    pub quiet: Duration,
}

/// Connection that waits for the other end to close it.
#[derive(Debug)]
pub struct Linger {
    limits: LingerLimits,
    began: Moment,
    /// Last time at which bytes were written to the socket.
    written: Moment,
    /// Time from which all written bytes are known to have been sent.
    sent: Option<Moment>,
    /// Last time at which bytes were received.
    received: Moment,
}

impl Linger {
    /// Begins to wait at `now`, after bytes were last written to the socket at `written`.
    pub fn new(limits: LingerLimits, now: Moment, written: Moment) -> Self {
        Self { limits, began: now, written, sent: None, received: written }
    }

    /// Records that the kernel has sent all bytes. Those that it had sent before the wait began
    /// count as sent when they were written.
    pub fn record_sent(&mut self, now: Moment) {
        let at = if now == self.began { self.written } else { now };
        self.sent.get_or_insert(at);
    }

    /// Records that bytes of the other end were received and discarded.
    pub fn record_received(&mut self, now: Moment) {
        self.received = now;
    }

    /// Whether all bytes have been sent.
    pub fn is_sent(&self) -> bool {
        self.sent.is_some()
    }

    /// Time at which the socket is closed unless more is received or the other end closes first.
    ///
    /// While the process is `stopping`, received bytes do not extend the wait, so that a client
    /// that sends without end does not hold up the stop.
    pub fn deadline(&self, stopping: bool) -> Moment {
        let latest = self.began + self.limits.total;
        let Some(sent) = self.sent else { return latest };
        let last = if stopping { sent } else { sent.max(self.received) };
        latest.min(last + self.limits.quiet)
    }
}
