//! Counters of the bytes that this node sends over links, by kind of message and locality.
//!
//! The traffic between nodes apart from calls must not grow with the fleet; these counters show
//! whether it does. See [membership](../../../../docs/design/membership.md).

use std::sync::atomic::{AtomicU64, Ordering};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use crate::proxy::frame::MessageKind;
use crate::proxy::locality::Locality;

/// Labels of the counters of sent bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SentLabels {
    kind: &'static str,
    zone: &'static str,
}

/// Counters of sent bytes, by kind of message and locality.
pub(crate) type SentFamily = Family<SentLabels, Counter>;

/// Traffic counters of one node.
#[derive(Debug)]
pub(crate) struct Traffic {
    family: SentFamily,
    /// Counters of bytes sent within the availability zone and to others, by kind of message.
    counters: [[Counter; 2]; MessageKind::ALL.len()],
    opened: AtomicU64,
    /// Bytes that are queued but not written to a socket yet.
    unwritten: Gauge,
    /// Answers that were not sent because their link had no room for them.
    not_sent: Counter,
}

impl Default for Traffic {
    fn default() -> Self {
        let family = SentFamily::default();
        let counter = |kind: MessageKind, zone| {
            family.get_or_create(&SentLabels { kind: kind.label(), zone }).clone()
        };
        let counters = MessageKind::ALL.map(|kind| [counter(kind, "own"), counter(kind, "other")]);
        Self {
            family,
            counters,
            opened: AtomicU64::new(0),
            unwritten: Gauge::default(),
            not_sent: Counter::default(),
        }
    }
}

impl Traffic {
    /// Counts the bytes of a message that was queued on a link.
    pub(crate) fn record_queued(&self, kind: MessageKind, locality: Locality, bytes: usize) {
        self.counters[kind as usize][locality as usize].inc_by(bytes as u64);
        self.unwritten.inc_by(bytes as i64);
    }

    /// Records that queued bytes were written, or were dropped with their link.
    pub(crate) fn record_written(&self, bytes: usize) {
        self.unwritten.dec_by(bytes as i64);
    }

    /// Number of bytes that are queued but not written to a socket yet.
    pub(crate) fn unwritten(&self) -> i64 {
        self.unwritten.get()
    }

    /// Gauge of the unwritten bytes, for registration with the metrics.
    pub(crate) fn unwritten_gauge(&self) -> Gauge {
        self.unwritten.clone()
    }

    /// Counts an answer that was not sent because its link had no room for it.
    pub(crate) fn record_not_sent(&self) {
        self.not_sent.inc();
    }

    /// Counter of the answers that were not sent.
    pub(crate) fn not_sent(&self) -> Counter {
        self.not_sent.clone()
    }

    /// Counts a link that this node established.
    pub(crate) fn record_opened(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
    }

    /// Bytes sent to this availability zone and to others since the start of the process, by kind
    /// of message, and the number of links established by this node.
    pub(crate) fn totals(&self) -> ([[u64; 2]; MessageKind::ALL.len()], u64) {
        let totals = self.counters.each_ref().map(|pair| pair.each_ref().map(Counter::get));
        (totals, self.opened.load(Ordering::Relaxed))
    }

    /// Counters of sent bytes, for registration with the metrics.
    pub(crate) fn family(&self) -> SentFamily {
        self.family.clone()
    }
}
