//! Bounds the records that a control host keeps between two snapshots, by their number and
//! by their size: both its disk and its memory hold them.
//!
//! Invariant: the records since a snapshot take no more than one applied batch above
//! [`MIN_LOG_BYTES`] or, if that is more, the size of the snapshot.

use model::LogRecord;

/// Encoded size of the records that are always kept without another snapshot, in bytes; an
/// eighth of the disk of the smallest control host.
const MIN_LOG_BYTES: usize = 16 * 1024 * 1024;

/// What to do after a record was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogStep {
    /// Keep the records.
    Keep,
    /// Replace them by a snapshot.
    TakeSnapshot,
}

/// The records that were applied since the latest snapshot.
#[derive(Debug, Clone)]
pub struct LogBudget {
    max_records: u64,
    records: u64,
    bytes: usize,
    /// Size of the latest snapshot in bytes; 0 if this process has not seen it.
    snapshot_bytes: usize,
}

impl LogBudget {
    /// Creates the budget of a host that has applied nothing since its latest snapshot.
    pub fn new(max_records: u64) -> LogBudget {
        LogBudget { max_records, records: 0, bytes: 0, snapshot_bytes: 0 }
    }

    /// Handles an applied record.
    pub fn on_applied(&mut self, record: &LogRecord) {
        self.records += 1;
        self.bytes += record.encoded_len();
    }

    /// Returns what to do with the records applied so far. Of a large state a snapshot is
    /// taken only after as many bytes of records, so that it does not slow their writes.
    pub fn next_step(&self) -> LogStep {
        let max_bytes = self.snapshot_bytes.max(MIN_LOG_BYTES);
        match self.records >= self.max_records || self.bytes >= max_bytes {
            true => LogStep::TakeSnapshot,
            false => LogStep::Keep,
        }
    }

    /// Handles a snapshot of this size that replaces all applied records.
    pub fn on_snapshot(&mut self, bytes: usize) {
        *self = LogBudget { snapshot_bytes: bytes, ..LogBudget::new(self.max_records) };
    }
}
