//! Owns the journal of a control host: what it must find again after a crash.
//!
//! Files: `snapshot-N` holds one frame; `journal-N` holds frames. `N` grows;
//! a snapshot of number `N` covers everything in journals below `N`.
//!
//! Invariants:
//! - a frame is synced before anything in it is confirmed;
//! - a torn tail is cut off; a broken frame in the middle is an error;
//! - after the first failed write or sync nothing is confirmed any more.

use std::io;

use model::{HardState, JournalEntry, LogRecord, SnapshotMark};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::disk::DiskFolder;
use crate::journal_frame::{FrameAt, encode_frame, frame_at, whole_frame_after};

const SNAPSHOT_PREFIX: &str = "snapshot-";
const JOURNAL_PREFIX: &str = "journal-";
const UNFINISHED: &str = "unfinished";

/// Why the journal can't be used.
#[derive(Debug, Snafu)]
pub enum JournalError {
    /// The disk refused.
    #[snafu(display("{file}: {source}"))]
    Disk {
        /// The file.
        file: String,
        /// What the disk says.
        source: io::Error,
    },
    /// A frame in the middle of a file is broken.
    #[snafu(display("{file} is broken at offset {offset}, and whole frames follow"))]
    Corrupt {
        /// The file.
        file: String,
        /// Where.
        offset: usize,
    },
    /// A whole frame holds something that can't be read.
    #[snafu(display("{file}: what stands at offset {offset} can't be read: {reason}"))]
    Unreadable {
        /// The file.
        file: String,
        /// Where.
        offset: usize,
        /// Why.
        reason: String,
    },
    /// An earlier write failed.
    #[snafu(display("an earlier write failed; nothing is confirmed any more"))]
    Failed,
}

/// What the journal found.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecoveredJournal {
    /// Latest hard state.
    pub hard: HardState,
    /// Latest snapshot.
    pub mark: SnapshotMark,
    /// Its state as JSON; empty without a snapshot.
    pub state: String,
    /// Records after it.
    pub records: Vec<LogRecord>,
    /// Bytes of a torn tail that were cut off.
    pub torn_bytes: usize,
}

#[derive(Serialize, Deserialize)]
struct SnapshotFile {
    mark: SnapshotMark,
    state: String,
}

/// A journal that is open for writing.
pub struct Journal {
    disk: Box<dyn DiskFolder>,
    number: u64,
    sequence: u64,
    /// Whether the current journal's name may not last yet.
    new_file: bool,
    failed: bool,
}

impl Journal {
    /// Opens the journal in a folder and reads what it holds.
    ///
    /// # Errors
    /// When the disk refuses, or something in the middle is broken.
    pub fn open(
        mut disk: Box<dyn DiskFolder>,
    ) -> Result<(Journal, RecoveredJournal), JournalError> {
        let names = disk.list().context(DiskSnafu { file: "." })?;
        let mut found = RecoveredJournal::default();
        let snapshot = numbers(&names, SNAPSHOT_PREFIX).into_iter().max();
        if let Some(number) = snapshot {
            read_snapshot(disk.as_ref(), number, &mut found)?;
        }
        let first = snapshot.unwrap_or(0);
        let mut journals: Vec<u64> = numbers(&names, JOURNAL_PREFIX);
        journals.retain(|number| *number >= first);
        journals.sort_unstable();
        let mut sequence = 0;
        for number in &journals {
            sequence = read_journal(disk.as_mut(), *number, &mut found)?.max(sequence);
        }
        let number = journals.last().copied().unwrap_or(first);
        let mut journal = Journal { disk, number, sequence, new_file: true, failed: false };
        journal.remove_covered(&names, first)?;
        Ok((journal, found))
    }

    /// Writes entries as one frame and syncs it.
    ///
    /// # Errors
    /// When the disk refuses; nothing is confirmed from then on.
    pub fn write(&mut self, entries: &[JournalEntry]) -> Result<(), JournalError> {
        if self.failed {
            return FailedSnafu.fail();
        }
        let written = self.try_write(entries);
        self.failed = written.is_err();
        written
    }

    fn try_write(&mut self, entries: &[JournalEntry]) -> Result<(), JournalError> {
        let mut plain: Vec<&JournalEntry> = Vec::new();
        for entry in entries {
            match entry {
                JournalEntry::Snapshot { mark, state, rest, hard_state } => {
                    self.append(&std::mem::take(&mut plain))?;
                    self.write_snapshot(mark, state, rest, hard_state)?;
                }
                other => plain.push(other),
            }
        }
        self.append(&plain)
    }

    fn append(&mut self, entries: &[&JournalEntry]) -> Result<(), JournalError> {
        if entries.is_empty() {
            return Ok(());
        }
        let file = format!("{JOURNAL_PREFIX}{}", self.number);
        let payload = serde_json::to_vec(entries)
            .map_err(io::Error::from)
            .context(DiskSnafu { file: file.clone() })?;
        self.sequence += 1;
        let frame = encode_frame(self.sequence, &payload);
        self.disk.append(&file, &frame).context(DiskSnafu { file: file.clone() })?;
        self.disk.sync(&file).context(DiskSnafu { file: file.clone() })?;
        if std::mem::take(&mut self.new_file) {
            self.disk.sync_folder().context(DiskSnafu { file })?;
        }
        Ok(())
    }

    /// Writes the snapshot beside the old one, makes it last, and only then
    /// goes on in a new journal and removes what is covered.
    fn write_snapshot(
        &mut self,
        mark: &SnapshotMark,
        state: &str,
        rest: &[LogRecord],
        hard_state: &HardState,
    ) -> Result<(), JournalError> {
        let number = self.number + 1;
        let file = format!("{SNAPSHOT_PREFIX}{number}");
        let content = SnapshotFile { mark: mark.clone(), state: state.to_owned() };
        let payload = serde_json::to_vec(&content)
            .map_err(io::Error::from)
            .context(DiskSnafu { file: file.clone() })?;
        self.number = number;
        self.new_file = true;
        self.append(&[
            &JournalEntry::HardState { state: hard_state.clone() },
            &JournalEntry::Records { from: mark.index + 1, records: rest.to_vec() },
        ])?;
        self.replace_file(&file, &encode_frame(self.sequence, &payload))?;
        let names = self.disk.list().context(DiskSnafu { file })?;
        self.remove_covered(&names, number)
    }

    fn replace_file(&mut self, file: &str, bytes: &[u8]) -> Result<(), JournalError> {
        let names = self.disk.list().context(DiskSnafu { file })?;
        if names.iter().any(|name| name == UNFINISHED) {
            self.disk.remove(UNFINISHED).context(DiskSnafu { file })?;
        }
        self.disk.append(UNFINISHED, bytes).context(DiskSnafu { file })?;
        self.disk.sync(UNFINISHED).context(DiskSnafu { file })?;
        self.disk.rename(UNFINISHED, file).context(DiskSnafu { file })?;
        self.disk.sync_folder().context(DiskSnafu { file })
    }

    fn remove_covered(&mut self, names: &[String], first: u64) -> Result<(), JournalError> {
        for prefix in [SNAPSHOT_PREFIX, JOURNAL_PREFIX] {
            for number in numbers(names, prefix).into_iter().filter(|number| *number < first) {
                let file = format!("{prefix}{number}");
                self.disk.remove(&file).context(DiskSnafu { file })?;
            }
        }
        Ok(())
    }
}

fn numbers(names: &[String], prefix: &str) -> Vec<u64> {
    let numbers = names.iter().filter_map(|name| name.strip_prefix(prefix)?.parse().ok());
    numbers.collect()
}

fn read_snapshot(
    disk: &dyn DiskFolder,
    number: u64,
    found: &mut RecoveredJournal,
) -> Result<(), JournalError> {
    let file = format!("{SNAPSHOT_PREFIX}{number}");
    let bytes = disk.read(&file).context(DiskSnafu { file: file.clone() })?;
    let FrameAt::Whole { payload, .. } = frame_at(&bytes, 0) else {
        return CorruptSnafu { file, offset: 0_usize }.fail();
    };
    let content: SnapshotFile = read_payload(&file, 0, payload)?;
    found.mark = content.mark;
    found.state = content.state;
    Ok(())
}

/// Reads one journal; gives the last frame's sequence number.
fn read_journal(
    disk: &mut dyn DiskFolder,
    number: u64,
    found: &mut RecoveredJournal,
) -> Result<u64, JournalError> {
    let file = format!("{JOURNAL_PREFIX}{number}");
    let bytes = disk.read(&file).context(DiskSnafu { file: file.clone() })?;
    let mut offset = 0;
    let mut last = 0;
    loop {
        match frame_at(&bytes, offset) {
            FrameAt::Whole { sequence, payload, end } => {
                let entries: Vec<JournalEntry> = read_payload(&file, offset, payload)?;
                entries.into_iter().for_each(|entry| take_entry(entry, found));
                last = sequence;
                offset = end;
            }
            FrameAt::End => return Ok(last),
            FrameAt::Broken if whole_frame_after(&bytes, offset) => {
                return CorruptSnafu { file, offset }.fail();
            }
            FrameAt::Broken => {
                found.torn_bytes += bytes.len() - offset;
                disk.truncate(&file, offset as u64).context(DiskSnafu { file: file.clone() })?;
                disk.sync(&file).context(DiskSnafu { file })?;
                return Ok(last);
            }
        }
    }
}

fn read_payload<T: serde::de::DeserializeOwned>(
    file: &str,
    offset: usize,
    payload: &[u8],
) -> Result<T, JournalError> {
    serde_json::from_slice(payload).map_err(|error| JournalError::Unreadable {
        file: file.to_owned(),
        offset,
        reason: error.to_string(),
    })
}

fn take_entry(entry: JournalEntry, found: &mut RecoveredJournal) {
    match entry {
        JournalEntry::HardState { state } => found.hard = state,
        JournalEntry::Records { from, records } => {
            found.records.retain(|record| record.index < from);
            let covered = found.mark.index;
            found.records.extend(records.into_iter().filter(|record| record.index > covered));
        }
        JournalEntry::Snapshot { .. } => {}
    }
}
