//! Owns what the journal of a control host is given to write.
//!
//! Invariant: every message that asks for an answer carries the reserved room
//! for it, so that an answer is never refused by a full ring.

use kernel::Reservation;
use serde::Deserialize;
use serde::Serialize;

use crate::control_messages::LogMessage;
use crate::ids::{LogIndex, Term};
use crate::replica::{HardState, LogRecord, SnapshotMark};

/// What a sync of the journal covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncMark {
    /// The hard state.
    HardState(HardState),
    /// Records up to a position.
    Records {
        /// The position.
        index: LogIndex,
        /// Its term when it was written.
        term: Term,
    },
}

/// Something to write, with room for the word that it is synced.
#[derive(Debug)]
pub struct JournalMessage {
    /// What to write.
    pub entry: JournalEntry,
    /// Room for the word.
    pub reply: Reservation<LogMessage>,
}

/// What the journal writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalEntry {
    /// Writes the hard state.
    HardState {
        /// The state.
        state: HardState,
    },
    /// Drops records from a position on, then writes these.
    Records {
        /// First position to drop; none are dropped when it is past the end.
        from: LogIndex,
        /// The records.
        records: Vec<LogRecord>,
    },
    /// Replaces all records up to the mark by a snapshot.
    Snapshot {
        /// Where it stands.
        mark: SnapshotMark,
        /// The replicated state as JSON.
        state: String,
        /// Records after the mark.
        rest: Vec<LogRecord>,
        /// The hard state.
        hard_state: HardState,
    },
}

impl JournalEntry {
    /// What its sync covers.
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
