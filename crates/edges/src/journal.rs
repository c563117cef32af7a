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
//! - after a failed write or sync the files are taken back to the last synced
//!   frame before anything else is written: what a failed sync left on disk is
//!   unknown, and a later frame must not follow a torn one.

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

/// End of the journal.
#[derive(Debug, Clone, Copy)]
struct JournalEnd {
    /// Number of the current journal file.
    number: u64,
    /// Length of that file in bytes.
    length: u64,
    /// Whether its name may not be synced yet.
    unsynced_name: bool,
}

/// A journal that is open for writing.
pub struct Journal {
    disk: Box<dyn DiskFolder>,
    end: JournalEnd,
    /// End after the latest write that was synced.
    synced_end: JournalEnd,
    /// Sequence number of the last frame.
    sequence: u64,
    /// Whether files may hold more than what is synced, after a failed write.
    needs_repair: bool,
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
        let mut end = JournalEnd { number: oldest, length: 0, unsynced_name: true };
        let mut sequence = 0;
        for number in journals {
            let tail = read_journal(disk.as_mut(), number, &mut recovered)?;
            sequence = tail.sequence.max(sequence);
            end = JournalEnd { number, length: tail.length, unsynced_name: true };
        }
        let mut journal = Journal { disk, end, synced_end: end, sequence, needs_repair: false };
        journal.remove_obsolete(&names, oldest);
        Ok((journal, recovered))
    }

    /// Writes entries as one frame and syncs it. After a failure the same entries may
    /// be written again: they replace what an earlier attempt left.
    ///
    /// # Errors
    /// When an operation on the folder fails. None of the entries counts as written
    /// then, and the next write first undoes what the failed one has done.
    pub fn write(&mut self, entries: &[JournalEntry]) -> Result<(), JournalError> {
        if self.needs_repair {
            self.repair()?;
        }
        self.needs_repair = true;
        self.write_entries(entries)?;
        self.needs_repair = false;
        Ok(())
    }

    /// Takes the files back to the last synced end. The unfinished snapshot goes before
    /// the journal that belongs to it.
    fn repair(&mut self) -> Result<(), JournalError> {
        let JournalEnd { number, length, .. } = self.synced_end;
        let names = self.disk.list().context(IoSnafu { file: "." })?;
        for prefix in [SNAPSHOT_PREFIX, JOURNAL_PREFIX] {
            for later in file_numbers(&names, prefix).into_iter().filter(|later| *later > number) {
                let file = format!("{prefix}{later}");
                self.disk.remove(&file).context(IoSnafu { file: file.clone() })?;
                self.disk.sync_folder().context(IoSnafu { file })?;
            }
        }
        let file = format!("{JOURNAL_PREFIX}{number}");
        if names.contains(&file) {
            self.disk.truncate(&file, length).context(IoSnafu { file })?;
        }
        self.end = self.synced_end;
        self.needs_repair = false;
        Ok(())
    }

    fn write_entries(&mut self, entries: &[JournalEntry]) -> Result<(), JournalError> {
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
        self.append_unfinished(entries)?;
        self.synced_end = self.end;
        Ok(())
    }

    /// Appends and syncs a frame, to which a repair may still go back.
    fn append_unfinished(&mut self, entries: &[&JournalEntry]) -> Result<(), JournalError> {
        let file = format!("{JOURNAL_PREFIX}{}", self.end.number);
        let payload = serde_json::to_vec(entries)
            .map_err(io::Error::from)
            .context(IoSnafu { file: file.clone() })?;
        self.sequence += 1;
        let frame = encode_frame(self.sequence, &payload);
        self.disk.append(&file, &frame).context(IoSnafu { file: file.clone() })?;
        self.disk.sync(&file).context(IoSnafu { file: file.clone() })?;
        if self.end.unsynced_name {
            self.disk.sync_folder().context(IoSnafu { file })?;
            self.end.unsynced_name = false;
        }
        self.end.length += frame.len() as u64;
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
        let number = self.end.number + 1;
        let file = format!("{SNAPSHOT_PREFIX}{number}");
        let content = SnapshotContent { mark: mark.clone(), state: state.to_owned() };
        let payload = serde_json::to_vec(&content)
            .map_err(io::Error::from)
            .context(IoSnafu { file: file.clone() })?;
        self.end = JournalEnd { number, length: 0, unsynced_name: true };
        self.append_unfinished(&[
            &JournalEntry::HardState { state: hard_state.clone() },
            &JournalEntry::Records { from: mark.index + 1, records: rest.to_vec() },
        ])?;
        self.write_atomically(&file, &encode_frame(self.sequence, &payload))?;
        self.synced_end = self.end;
        let names = self.disk.list().context(IoSnafu { file })?;
        self.remove_obsolete(&names, number);
        Ok(())
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

    /// Removes the snapshots and journals with numbers below `oldest`. A file that can't
    /// be removed does no harm, and goes after a later snapshot.
    fn remove_obsolete(&mut self, names: &[String], oldest: u64) {
        for prefix in [SNAPSHOT_PREFIX, JOURNAL_PREFIX] {
            for number in file_numbers(names, prefix).into_iter().filter(|number| *number < oldest)
            {
                let _kept = self.disk.remove(&format!("{prefix}{number}"));
            }
        }
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

/// The end of one journal file.
struct JournalTail {
    /// Sequence number of the last frame.
    sequence: u64,
    /// Length in bytes.
    length: u64,
}

/// Replays one journal and returns its end. A torn tail is truncated.
fn read_journal(
    disk: &mut dyn DiskFolder,
    number: u64,
    recovered: &mut RecoveredJournal,
) -> Result<JournalTail, JournalError> {
    let file = format!("{JOURNAL_PREFIX}{number}");
    let bytes = disk.read(&file).context(IoSnafu { file: file.clone() })?;
    let mut offset = 0;
    let mut last_sequence = 0;
    let tail = |sequence, length| JournalTail { sequence, length: length as u64 };
    loop {
        match read_frame(&bytes, offset) {
            FrameRead::Valid { sequence, payload, end } => {
                let entries: Vec<JournalEntry> = read_payload(&file, offset, payload)?;
                entries.into_iter().for_each(|entry| replay_entry(entry, recovered));
                last_sequence = sequence;
                offset = end;
            }
            FrameRead::End => return Ok(tail(last_sequence, offset)),
            FrameRead::Invalid if has_valid_frame_after(&bytes, offset) => {
                return CorruptSnafu { file, offset }.fail();
            }
            FrameRead::Invalid => {
                recovered.torn_bytes += bytes.len() - offset;
                disk.truncate(&file, offset as u64).context(IoSnafu { file: file.clone() })?;
                disk.sync(&file).context(IoSnafu { file })?;
                return Ok(tail(last_sequence, offset));
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
