//! In-memory log of a replica, starting after its latest snapshot.
//!
//! Invariants:
//! - indexes are consecutive;
//! - the group is that of the latest record that changed it, committed or not.

use std::collections::VecDeque;

use model::{Command, ControlPeer, LogIndex, LogRecord, SnapshotMark, Term};

/// A snapshot's mark and the records after it.
#[derive(Debug, Clone, Default)]
pub struct LogStore {
    mark: SnapshotMark,
    records: VecDeque<LogRecord>,
    group: Vec<ControlPeer>,
}

impl LogStore {
    /// Creates a log from the records that follow a snapshot.
    pub fn new(mark: SnapshotMark, records: Vec<LogRecord>) -> LogStore {
        let mut log = LogStore { mark, records: records.into(), group: Vec::new() };
        log.restore_group();
        log
    }

    /// Derives the group in force from the records and the snapshot.
    fn restore_group(&mut self) {
        let latest_change = self.records.iter().rev().find_map(|record| match &record.command {
            Command::ChangeGroup { group } => Some(group.clone()),
            _ => None,
        });
        self.group = latest_change.unwrap_or_else(|| self.mark.group.clone());
    }

    /// Last index and term that the snapshot covers, and the group there.
    pub fn mark(&self) -> &SnapshotMark {
        &self.mark
    }

    /// The group in force. A change takes effect when it is appended, as in Raft,
    /// not when it is committed.
    pub fn group(&self) -> &[ControlPeer] {
        &self.group
    }

    /// Index of the latest record that changed the group, or of the snapshot if no
    /// record after it did.
    pub fn group_index(&self) -> LogIndex {
        let change = self.records.iter().rev();
        let mut changes =
            change.filter(|record| matches!(record.command, Command::ChangeGroup { .. }));
        changes.next().map_or(self.mark.index, |record| record.index)
    }

    /// Index of the last record; that of the snapshot if there is none.
    pub fn last_index(&self) -> LogIndex {
        self.mark.index + self.records.len() as LogIndex
    }

    /// Term of the last index.
    pub fn last_term(&self) -> Term {
        self.records.back().map_or(self.mark.term, |record| record.term)
    }

    /// Term of the record at `index`. `None` if `index` is before the snapshot or
    /// after the last record.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.mark.index {
            return Some(self.mark.term);
        }
        self.record(index).map(|record| record.term)
    }

    /// The record at `index`, unless it was compacted or does not exist yet.
    pub fn record(&self, index: LogIndex) -> Option<&LogRecord> {
        let offset = index.checked_sub(self.mark.index + 1)?;
        self.records.get(offset as usize)
    }

    /// Up to `max` records starting at `from`; none if `from` is compacted.
    pub fn slice(&self, from: LogIndex, max: usize) -> Vec<LogRecord> {
        let Some(offset) = from.checked_sub(self.mark.index + 1) else { return Vec::new() };
        self.records.iter().skip(offset as usize).take(max).cloned().collect()
    }

    /// Appends the next record, and puts its group in force if it changes it.
    pub(super) fn push(&mut self, record: LogRecord) {
        debug_assert_eq!(record.index, self.last_index() + 1, "indexes are consecutive");
        if let Command::ChangeGroup { group } = &record.command {
            self.group = group.clone();
        }
        self.records.push_back(record);
    }

    /// Drops the records at `index` and after it, with their changes of the group.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        let kept_len = index.saturating_sub(self.mark.index + 1) as usize;
        self.records.truncate(kept_len);
        self.restore_group();
    }

    /// Drops the records up to and including `index`, which a snapshot covers.
    pub(super) fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        let group = self.group_at(index);
        while self.records.front().is_some_and(|record| record.index <= index) {
            self.records.pop_front();
        }
        self.mark = SnapshotMark { index, term, group };
    }

    /// The group in force at `index`.
    pub(super) fn group_at(&self, index: LogIndex) -> Vec<ControlPeer> {
        let covered = self.records.iter().rev().skip_while(|record| record.index > index);
        let mut changes = covered.filter_map(|record| match &record.command {
            Command::ChangeGroup { group } => Some(group.clone()),
            _ => None,
        });
        changes.next().unwrap_or_else(|| self.mark.group.clone())
    }

    /// Replaces the log with a snapshot. If the log has the snapshot's last record,
    /// the records after it are kept, else all are dropped.
    pub(super) fn install(&mut self, mark: SnapshotMark) {
        if self.term_at(mark.index) == Some(mark.term) {
            self.compact(mark.index);
        } else {
            self.records.clear();
        }
        self.mark = mark;
        self.restore_group();
    }
}
