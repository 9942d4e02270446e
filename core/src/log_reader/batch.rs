//! Result of one read of the log.

use crate::contract_state::ContractRecord;
use crate::ids::Offset;

/// Records of one read, with the bounds of the log at that time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogBatch {
    /// Offset of the oldest record that the log still has.
    pub start: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
    /// Records in the order of their offsets, from the requested offset or, if that record has
    /// expired, from `start`.
    pub records: Vec<LogEntry>,
}

/// Record with its offset in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Offset in the stream of contracts.
    pub offset: Offset,
    /// Record, or `None` if its bytes could not be decoded.
    pub record: Option<ContractRecord>,
}

impl LogBatch {
    /// Whether this is a valid result of a read from offset `from`: no offset is missing between
    /// the records, and the log does not end before `from`.
    pub(crate) fn is_valid(&self, from: Offset) -> bool {
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
