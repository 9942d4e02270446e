//! What one read of the log brings.

use crate::contract_state::ContractRecord;
use crate::ids::Offset;

/// Records of one read, with the bounds of the log at that time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogBatch {
    /// First offset that the log still has.
    pub start: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
    /// Records in order, from where the read started or from `start`.
    pub records: Vec<LogEntry>,
}

/// Record at its offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Offset.
    pub offset: Offset,
    /// Record, or nothing if the bytes could not be decoded.
    pub record: Option<ContractRecord>,
}

impl LogBatch {
    /// Whether this can be what the log holds from `from` on: nothing missing in between, and
    /// no end before `asked`.
    pub(crate) fn is_sound(&self, from: Offset) -> bool {
        let mut expected = None;
        for entry in &self.records {
            if expected.is_some_and(|offset| offset != entry.offset) {
                return false;
            }
            expected = Some(Offset(entry.offset.0.saturating_add(1)));
        }
        let first = self.records.first().map_or(self.start, |entry| entry.offset);
        let last = expected.unwrap_or(self.start);
        first <= from.max(self.start) && last <= self.end && from <= self.end
    }
}
