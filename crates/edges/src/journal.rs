//! Owns the journal of a control host, a write-ahead log with snapshots: the
//! state of the replicated log that must survive a crash.
//!
//! Files: `snapshot-N` holds one frame, `journal-N` holds any number of frames.
//! `N` only increases; `snapshot-N` replaces all journals below `N`.
//!
//! Invariants:
//! - a frame is synced before any entry in it is acknowledged;
//! - recovery truncates a torn tail; an invalid frame before a valid one is an
//!   error;
//! - after the first failed write or sync nothing is acknowledged any more.

use std::io;

use model::{HardState, JournalEntry, LogRecord, SnapshotMark};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::disk::DiskFolder;
use crate::journal_frame::{FrameRead, encode_frame, has_valid_frame_after, read_frame};

const SNAPSHOT_PREFIX: &str = "snapshot-";
const JOURNAL_PREFIX: &str = "journal-";
const TEMPORARY_FILE: &str = "unfinished";

/// Errors of opening, reading and writing the journal.
#[derive(Debug, Snafu)]
pub enum JournalError {
    /// An operation on the data folder failed.
    #[snafu(display("{file}: {source}"))]
    Io {
        /// Name of the file.
        file: String,
        /// Error of the operation.
        source: io::Error,
    },
    /// A frame is invalid although valid frames follow it, so that it is not a
    /// torn tail.
    #[snafu(display("{file} is corrupt at offset {offset}: valid frames follow"))]
    Corrupt {
        /// Name of the file.
        file: String,
        /// Offset of the frame in bytes.
        offset: usize,
    },
    /// The payload of a valid frame can't be decoded.
    #[snafu(display(
        "{file}: the payload of the frame at offset {offset} can't be decoded: {reason}"
    ))]
    Decode {
        /// Name of the file.
        file: String,
        /// Offset of the frame in bytes.
        offset: usize,
        /// Error of the decoder.
        reason: String,
    },
    /// An earlier write failed.
    #[snafu(display("an earlier write failed; nothing is acknowledged any more"))]
    Failed,
}

/// The state that was recovered from the journal.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecoveredJournal {
    /// Latest hard state of the replica.
    pub hard_state: HardState,
    /// Position of the latest snapshot in the log.
    pub snapshot_mark: SnapshotMark,
    /// State of the latest snapshot as JSON; empty without a snapshot.
    pub snapshot_state: String,
    /// Records after the snapshot.
    pub records: Vec<LogRecord>,
    /// Size of the torn tails that were truncated, in bytes.
    pub torn_bytes: usize,
}

/// Payload of the frame in a snapshot file.
#[derive(Serialize, Deserialize)]
struct SnapshotContent {
    mark: SnapshotMark,
    state: String,
}

/// A journal that is open for writing.
pub struct Journal {
    disk: Box<dyn DiskFolder>,
    /// Number of the current journal file.
    number: u64,
    /// Sequence number of the last frame.
    sequence: u64,
    /// Whether the name of the current journal file may not be synced yet.
    unsynced_name: bool,
    /// Whether a write or sync failed, after which every write is refused.
    failed: bool,
}

impl Journal {
    /// Opens the journal in a folder and recovers its state.
    ///
    /// # Errors
    /// When an operation on the folder fails, a frame before a valid one is
    /// invalid, or a payload can't be decoded.
    pub fn open(
        mut disk: Box<dyn DiskFolder>,
    ) -> Result<(Journal, RecoveredJournal), JournalError> {
        let names = disk.list().context(IoSnafu { file: "." })?;
        let mut recovered = RecoveredJournal::default();
        let snapshot = file_numbers(&names, SNAPSHOT_PREFIX).into_iter().max();
        if let Some(number) = snapshot {
            read_snapshot(disk.as_ref(), number, &mut recovered)?;
        }
        let oldest = snapshot.unwrap_or(0);
        let mut journals: Vec<u64> = file_numbers(&names, JOURNAL_PREFIX);
        journals.retain(|number| *number >= oldest);
        journals.sort_unstable();
        let mut sequence = 0;
        for number in &journals {
            sequence = read_journal(disk.as_mut(), *number, &mut recovered)?.max(sequence);
        }
        let number = journals.last().copied().unwrap_or(oldest);
        let mut journal = Journal { disk, number, sequence, unsynced_name: true, failed: false };
        journal.remove_obsolete(&names, oldest)?;
        Ok((journal, recovered))
    }

    /// Writes entries as one frame and syncs it.
    ///
    /// # Errors
    /// When an operation on the folder fails, or one failed earlier: every later
    /// write fails too.
    pub fn write(&mut self, entries: &[JournalEntry]) -> Result<(), JournalError> {
        if self.failed {
            return FailedSnafu.fail();
        }
        let written = self.try_write(entries);
        self.failed = written.is_err();
        written
    }

    fn try_write(&mut self, entries: &[JournalEntry]) -> Result<(), JournalError> {
        let mut pending: Vec<&JournalEntry> = Vec::new();
        for entry in entries {
            match entry {
                JournalEntry::Snapshot { mark, state, rest, hard_state } => {
                    self.append(&std::mem::take(&mut pending))?;
                    self.write_snapshot(mark, state, rest, hard_state)?;
                }
                entry => pending.push(entry),
            }
        }
        self.append(&pending)
    }

    fn append(&mut self, entries: &[&JournalEntry]) -> Result<(), JournalError> {
        if entries.is_empty() {
            return Ok(());
        }
        let file = format!("{JOURNAL_PREFIX}{}", self.number);
        let payload = serde_json::to_vec(entries)
            .map_err(io::Error::from)
            .context(IoSnafu { file: file.clone() })?;
        self.sequence += 1;
        let frame = encode_frame(self.sequence, &payload);
        self.disk.append(&file, &frame).context(IoSnafu { file: file.clone() })?;
        self.disk.sync(&file).context(IoSnafu { file: file.clone() })?;
        if std::mem::take(&mut self.unsynced_name) {
            self.disk.sync_folder().context(IoSnafu { file })?;
        }
        Ok(())
    }

    /// Starts a new journal, which repeats the hard state and the records after
    /// the snapshot, then writes the snapshot, and removes the older files only
    /// once it is synced.
    fn write_snapshot(
        &mut self,
        mark: &SnapshotMark,
        state: &str,
        rest: &[LogRecord],
        hard_state: &HardState,
    ) -> Result<(), JournalError> {
        let number = self.number + 1;
        let file = format!("{SNAPSHOT_PREFIX}{number}");
        let content = SnapshotContent { mark: mark.clone(), state: state.to_owned() };
        let payload = serde_json::to_vec(&content)
            .map_err(io::Error::from)
            .context(IoSnafu { file: file.clone() })?;
        self.number = number;
        self.unsynced_name = true;
        self.append(&[
            &JournalEntry::HardState { state: hard_state.clone() },
            &JournalEntry::Records { from: mark.index + 1, records: rest.to_vec() },
        ])?;
        self.write_atomically(&file, &encode_frame(self.sequence, &payload))?;
        let names = self.disk.list().context(IoSnafu { file })?;
        self.remove_obsolete(&names, number)
    }

    /// Writes and syncs a temporary file and renames it, so that after a crash the
    /// file is complete or absent.
    fn write_atomically(&mut self, file: &str, bytes: &[u8]) -> Result<(), JournalError> {
        let names = self.disk.list().context(IoSnafu { file })?;
        if names.iter().any(|name| name == TEMPORARY_FILE) {
            self.disk.remove(TEMPORARY_FILE).context(IoSnafu { file })?;
        }
        self.disk.append(TEMPORARY_FILE, bytes).context(IoSnafu { file })?;
        self.disk.sync(TEMPORARY_FILE).context(IoSnafu { file })?;
        self.disk.rename(TEMPORARY_FILE, file).context(IoSnafu { file })?;
        self.disk.sync_folder().context(IoSnafu { file })
    }

    /// Removes the snapshots and journals with numbers below `oldest`.
    fn remove_obsolete(&mut self, names: &[String], oldest: u64) -> Result<(), JournalError> {
        for prefix in [SNAPSHOT_PREFIX, JOURNAL_PREFIX] {
            for number in file_numbers(names, prefix).into_iter().filter(|number| *number < oldest)
            {
                let file = format!("{prefix}{number}");
                self.disk.remove(&file).context(IoSnafu { file })?;
            }
        }
        Ok(())
    }
}

/// The numbers of the files with a prefix.
fn file_numbers(names: &[String], prefix: &str) -> Vec<u64> {
    let numbers = names.iter().filter_map(|name| name.strip_prefix(prefix)?.parse().ok());
    numbers.collect()
}

fn read_snapshot(
    disk: &dyn DiskFolder,
    number: u64,
    recovered: &mut RecoveredJournal,
) -> Result<(), JournalError> {
    let file = format!("{SNAPSHOT_PREFIX}{number}");
    let bytes = disk.read(&file).context(IoSnafu { file: file.clone() })?;
    let FrameRead::Valid { payload, .. } = read_frame(&bytes, 0) else {
        return CorruptSnafu { file, offset: 0_usize }.fail();
    };
    let content: SnapshotContent = read_payload(&file, 0, payload)?;
    recovered.snapshot_mark = content.mark;
    recovered.snapshot_state = content.state;
    Ok(())
}

/// Replays one journal; returns the sequence number of its last frame. A torn
/// tail is truncated.
fn read_journal(
    disk: &mut dyn DiskFolder,
    number: u64,
    recovered: &mut RecoveredJournal,
) -> Result<u64, JournalError> {
    let file = format!("{JOURNAL_PREFIX}{number}");
    let bytes = disk.read(&file).context(IoSnafu { file: file.clone() })?;
    let mut offset = 0;
    let mut last_sequence = 0;
    loop {
        match read_frame(&bytes, offset) {
            FrameRead::Valid { sequence, payload, end } => {
                let entries: Vec<JournalEntry> = read_payload(&file, offset, payload)?;
                entries.into_iter().for_each(|entry| replay_entry(entry, recovered));
                last_sequence = sequence;
                offset = end;
            }
            FrameRead::End => return Ok(last_sequence),
            FrameRead::Invalid if has_valid_frame_after(&bytes, offset) => {
                return CorruptSnafu { file, offset }.fail();
            }
            FrameRead::Invalid => {
                recovered.torn_bytes += bytes.len() - offset;
                disk.truncate(&file, offset as u64).context(IoSnafu { file: file.clone() })?;
                disk.sync(&file).context(IoSnafu { file })?;
                return Ok(last_sequence);
            }
        }
    }
}

fn read_payload<T: serde::de::DeserializeOwned>(
    file: &str,
    offset: usize,
    payload: &[u8],
) -> Result<T, JournalError> {
    serde_json::from_slice(payload).map_err(|error| JournalError::Decode {
        file: file.to_owned(),
        offset,
        reason: error.to_string(),
    })
}

/// Applies one entry to the recovered state; records replace earlier ones from
/// their first index on.
fn replay_entry(entry: JournalEntry, recovered: &mut RecoveredJournal) {
    match entry {
        JournalEntry::HardState { state } => recovered.hard_state = state,
        JournalEntry::Records { from, records } => {
            recovered.records.retain(|record| record.index < from);
            let covered = recovered.snapshot_mark.index;
            recovered.records.extend(records.into_iter().filter(|record| record.index > covered));
        }
        JournalEntry::Snapshot { .. } => {}
    }
}
