//! Owns a replica's records in memory, from its latest snapshot on.
//!
//! Invariant: positions are consecutive; the group is that of the latest
//! record that changed it.

use std::collections::VecDeque;

use model::{Command, ControlPeer, LogIndex, LogRecord, SnapshotMark, Term};

/// Records after a snapshot.
#[derive(Debug, Clone, Default)]
pub struct LogStore {
    mark: SnapshotMark,
    records: VecDeque<LogRecord>,
    group: Vec<ControlPeer>,
}

impl LogStore {
    /// A log of these records after a snapshot.
    pub fn new(mark: SnapshotMark, records: Vec<LogRecord>) -> LogStore {
        let mut log = LogStore { mark, records: records.into(), group: Vec::new() };
        log.find_group();
        log
    }

    fn find_group(&mut self) {
        let changed = self.records.iter().rev().find_map(|record| match &record.command {
            Command::ChangeGroup { group } => Some(group.clone()),
            _ => None,
        });
        self.group = changed.unwrap_or_else(|| self.mark.group.clone());
    }

    /// Where the snapshot stands.
    pub fn mark(&self) -> &SnapshotMark {
        &self.mark
    }

    /// The group in force, committed or not.
    pub fn group(&self) -> &[ControlPeer] {
        &self.group
    }

    /// Position of the latest record that changed the group.
    pub fn group_index(&self) -> LogIndex {
        let change = self.records.iter().rev();
        let mut changes =
            change.filter(|record| matches!(record.command, Command::ChangeGroup { .. }));
        changes.next().map_or(self.mark.index, |record| record.index)
    }

    /// Last position.
    pub fn last_index(&self) -> LogIndex {
        self.mark.index + self.records.len() as LogIndex
    }

    /// Term of the last position.
    pub fn last_term(&self) -> Term {
        self.records.back().map_or(self.mark.term, |record| record.term)
    }

    /// Term of a position, if it is still known.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.mark.index {
            return Some(self.mark.term);
        }
        self.record(index).map(|record| record.term)
    }

    /// The record at a position.
    pub fn record(&self, index: LogIndex) -> Option<&LogRecord> {
        let offset = index.checked_sub(self.mark.index + 1)?;
        self.records.get(offset as usize)
    }

    /// At most `most` records from a position on.
    pub fn slice(&self, from: LogIndex, most: usize) -> Vec<LogRecord> {
        let Some(offset) = from.checked_sub(self.mark.index + 1) else { return Vec::new() };
        self.records.iter().skip(offset as usize).take(most).cloned().collect()
    }

    /// Adds the next record.
    pub(super) fn push(&mut self, record: LogRecord) {
        debug_assert_eq!(record.index, self.last_index() + 1, "positions are consecutive");
        if let Command::ChangeGroup { group } = &record.command {
            self.group = group.clone();
        }
        self.records.push_back(record);
    }

    /// Drops records from a position on.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        let keep = index.saturating_sub(self.mark.index + 1) as usize;
        self.records.truncate(keep);
        self.find_group();
    }

    /// Drops records up to a position that a snapshot covers.
    pub(super) fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        let group = self.group_at(index);
        while self.records.front().is_some_and(|record| record.index <= index) {
            self.records.pop_front();
        }
        self.mark = SnapshotMark { index, term, group };
    }

    pub(super) fn group_at(&self, index: LogIndex) -> Vec<ControlPeer> {
        let covered = self.records.iter().rev().skip_while(|record| record.index > index);
        let mut changes = covered.filter_map(|record| match &record.command {
            Command::ChangeGroup { group } => Some(group.clone()),
            _ => None,
        });
        changes.next().unwrap_or_else(|| self.mark.group.clone())
    }

    /// Replaces everything by a snapshot; records after it that follow on are
    /// kept.
    pub(super) fn install(&mut self, mark: SnapshotMark) {
        if self.term_at(mark.index) == Some(mark.term) {
            self.compact(mark.index);
        } else {
            self.records.clear();
        }
        self.mark = mark;
        self.find_group();
    }
}
