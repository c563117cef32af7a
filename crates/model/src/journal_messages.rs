//! Owns the entries of a control host's journal (write-ahead log) and the
//! messages to the duty that writes them.
//!
//! Invariant: every message that expects a reply carries a reserved ring slot
//! for it, so that a full ring never refuses a reply.

use kernel::Reservation;
use serde::Deserialize;
use serde::Serialize;

use crate::control_messages::LogMessage;
use crate::ids::{LogIndex, Term};
use crate::replica::{HardState, LogRecord, SnapshotMark};

/// The data that a sync of the journal made durable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncMark {
    /// A hard state.
    HardState(HardState),
    /// All records up to a log position.
    Records {
        /// The log position, inclusive; 0 for an empty log.
        index: LogIndex,
        /// Term of the record at that position when it was written.
        term: Term,
    },
}

/// A journal entry to write.
#[derive(Debug)]
pub struct JournalMessage {
    /// The entry to write and sync.
    pub entry: JournalEntry,
    /// Ring slot reserved for the confirmation that it is synced.
    pub reply: Reservation<LogMessage>,
}

/// An entry of the journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalEntry {
    /// Replaces the hard state.
    HardState {
        /// The new hard state.
        state: HardState,
    },
    /// Truncates the log, then appends records.
    Records {
        /// First log position to drop; nothing is dropped when it is past the
        /// end.
        from: LogIndex,
        /// The records to append.
        records: Vec<LogRecord>,
    },
    /// Replaces all records up to the mark by a snapshot (log compaction).
    Snapshot {
        /// Log position of the snapshot.
        mark: SnapshotMark,
        /// The replicated state, as JSON.
        state: String,
        /// Records after the mark, which are kept.
        rest: Vec<LogRecord>,
        /// The hard state to store with the snapshot.
        hard_state: HardState,
    },
}

impl JournalEntry {
    /// What is durable once this entry is synced.
    pub fn sync_mark(&self) -> SyncMark {
        match self {
            JournalEntry::HardState { state } => SyncMark::HardState(state.clone()),
            JournalEntry::Records { from, records } => match records.last() {
                Some(last) => SyncMark::Records { index: last.index, term: last.term },
                None => SyncMark::Records { index: from.saturating_sub(1), term: 0 },
            },
            JournalEntry::Snapshot { mark, rest, .. } => {
                let last = rest.last().map(|record| (record.index, record.term));
                let (index, term) = last.unwrap_or((mark.index, mark.term));
                SyncMark::Records { index, term }
            }
        }
    }
}
