//! Bytes that this node hands to its links, by kind of message and by how far they go.
//!
//! What nodes tell each other apart from calls must not grow with the fleet; these counters show
//! whether it does. See [membership](../../../../docs/design/membership.md).

use std::sync::atomic::{AtomicU64, Ordering};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::proxy::frame::MessageKind;
use crate::proxy::locality::Locality;

/// Labels of sent bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SentLabels {
    kind: &'static str,
    zone: &'static str,
}

/// Sent bytes by kind and reach.
pub(crate) type SentFamily = Family<SentLabels, Counter>;

/// Counters of one node.
#[derive(Debug)]
pub(crate) struct Traffic {
    family: SentFamily,
    /// Counters of near and far bytes, by kind.
    counters: [[Counter; 2]; MessageKind::ALL.len()],
    opened: AtomicU64,
    /// Bytes that wait to be written.
    unwritten: AtomicU64,
}

impl Default for Traffic {
    fn default() -> Self {
        let family = SentFamily::default();
        let counter = |kind: MessageKind, zone| {
            family.get_or_create(&SentLabels { kind: kind.label(), zone }).clone()
        };
        let counters = MessageKind::ALL.map(|kind| [counter(kind, "own"), counter(kind, "other")]);
        Self { family, counters, opened: AtomicU64::new(0), unwritten: AtomicU64::new(0) }
    }
}

impl Traffic {
    /// Counts a message.
    pub(crate) fn record_queued(&self, kind: MessageKind, reach: Locality, bytes: usize) {
        self.counters[kind as usize][reach as usize].inc_by(bytes as u64);
        self.unwritten.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Takes in that bytes were written, or never will be.
    pub(crate) fn record_written(&self, bytes: usize) {
        self.unwritten.fetch_sub(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes that wait to be written.
    pub(crate) fn unwritten(&self) -> u64 {
        self.unwritten.load(Ordering::Relaxed)
    }

    /// Counts a link that was opened.
    pub(crate) fn record_opened(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
    }

    /// Bytes to the own and to other zones since the start, by kind, and links opened.
    pub(crate) fn totals(&self) -> ([[u64; 2]; MessageKind::ALL.len()], u64) {
        let totals = self.counters.each_ref().map(|pair| pair.each_ref().map(Counter::get));
        (totals, self.opened.load(Ordering::Relaxed))
    }

    /// Counters for the metrics.
    pub(crate) fn family(&self) -> SentFamily {
        self.family.clone()
    }
}
