//! Follower role: storing records and snapshots, and acknowledging them once
//! they are synced.

use std::time::Instant;

use model::{
    Command, EventLine, LogIndex, LogRecord, NodeId, ReplicaMessage, SnapshotMark, SnapshotPart,
    Term,
};

use super::snapshot_transfer::{IncomingTransfer, PartResult};
use super::{PendingAck, Replica, ReplicaStep, Role};

/// Content of an append message. A heartbeat has no records.
#[derive(Debug, Clone)]
pub(super) struct Append {
    pub(super) prev_index: LogIndex,
    pub(super) prev_term: Term,
    pub(super) records: Vec<LogRecord>,
    pub(super) commit: LogIndex,
    pub(super) round: u64,
    pub(super) may_join_quorum: bool,
}

/// Why an append can't be that of a correct leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum AppendDefect {
    /// The indexes of the records are not consecutive.
    Gap,
    /// The term of a record is lower than the one before, or higher than the leader's.
    WrongTerm,
    /// A record differs from a committed one.
    CommittedConflict,
    /// A record sets a group without hosts.
    EmptyGroup,
}

/// A snapshot as received from a leader, not decoded yet.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedSnapshot {
    /// Sender of the snapshot, and its term.
    pub(super) leader: NodeId,
    pub(super) term: Term,
    /// Replication round, which the reply repeats.
    pub(super) round: u64,
    /// Last index and term that the snapshot covers, and the group there.
    pub mark: SnapshotMark,
    /// Replicated state as JSON.
    pub state: String,
}

impl Replica {
    /// Recognizes `from` as the leader of `term`. Returns `None` if the term is
    /// stale.
    fn accept_leader(
        &mut self,
        now: Instant,
        from: &NodeId,
        term: Term,
    ) -> Option<Vec<ReplicaStep>> {
        if term < self.hard_state.term {
            return None;
        }
        let steps = self.advance_term(now, term);
        debug_assert!(!matches!(self.role, Role::Leader(_)), "two leaders in one term");
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.leader_last_contact = Some(now);
        self.inquiry = None;
        self.set_election_timer(now);
        Some(steps)
    }

    pub(super) fn on_append(
        &mut self,
        now: Instant,
        from: NodeId,
        term: Term,
        append: Append,
    ) -> Vec<ReplicaStep> {
        let Some(mut steps) = self.accept_leader(now, &from, term) else {
            return vec![self.append_reply(from, false, 0, append.round)];
        };
        // It gets no reply: a leader answers a rejection with the same records at once.
        if let Some(defect) = self.append_defect(term, &append) {
            let line = EventLine::new("append_refused")
                .with("from", &from)
                .with("term", term)
                .with("prev_index", append.prev_index)
                .with("records", append.records.len())
                .with("reason", defect);
            steps.push(ReplicaStep::Log(line));
            return steps;
        }
        let Append { prev_index, prev_term, records, commit, round, may_join_quorum } = append;
        if !self.matches_prev(prev_index, prev_term) {
            let hint = self.conflict_hint(prev_index);
            steps.push(self.append_reply(from, false, hint, round));
            return steps;
        }
        let match_index = prev_index + records.len() as LogIndex;
        steps.extend(self.store_records(records));
        self.commit_index = self.commit_index.max(commit.min(match_index));
        if may_join_quorum {
            steps.extend(self.start_counting());
        }
        self.defer_ack(from, match_index, round);
        steps.extend(self.send_synced_ack());
        steps
    }

    fn append_defect(&self, term: Term, append: &Append) -> Option<AppendDefect> {
        let mut before = (append.prev_index, append.prev_term);
        for record in &append.records {
            let (prev_index, prev_term) = before;
            if prev_index.checked_add(1) != Some(record.index) {
                return Some(AppendDefect::Gap);
            }
            if record.term < prev_term || record.term > term {
                return Some(AppendDefect::WrongTerm);
            }
            if self.differs_from_committed(record) {
                return Some(AppendDefect::CommittedConflict);
            }
            if matches!(&record.command, Command::ChangeGroup { group } if group.is_empty()) {
                return Some(AppendDefect::EmptyGroup);
            }
            before = (record.index, record.term);
        }
        None
    }

    fn differs_from_committed(&self, record: &LogRecord) -> bool {
        let is_committed = record.index <= self.commit_index;
        is_committed && self.log.record(record.index).is_some_and(|known| known.term != record.term)
    }

    /// Raft's log matching check. It always passes for an index that the snapshot
    /// covers.
    fn matches_prev(&self, prev_index: LogIndex, prev_term: Term) -> bool {
        prev_index < self.log.mark().index || self.log.term_at(prev_index) == Some(prev_term)
    }

    /// Index of the last record that may match, sent with a rejection: the end of
    /// this log if it is too short, else the record before the conflicting term,
    /// but not before the commit index. The leader thus skips a whole term at once.
    fn conflict_hint(&self, prev_index: LogIndex) -> LogIndex {
        if prev_index > self.log.last_index() {
            return self.log.last_index();
        }
        let Some(conflict_term) = self.log.term_at(prev_index) else {
            return self.log.mark().index;
        };
        let mut hint = prev_index;
        while hint > self.commit_index && self.log.term_at(hint) == Some(conflict_term) {
            hint -= 1;
        }
        hint
    }

    /// Appends the records that are missing here. If one conflicts with a stored
    /// record, the log is truncated at that index first.
    fn store_records(&mut self, records: Vec<LogRecord>) -> Option<ReplicaStep> {
        let is_known = |record: &LogRecord| {
            record.index <= self.log.mark().index
                || self.log.term_at(record.index) == Some(record.term)
        };
        let missing: Vec<LogRecord> = records.into_iter().skip_while(is_known).collect();
        let from = missing.first()?.index;
        assert!(from > self.commit_index, "a committed record must not be overwritten");
        if from <= self.log.last_index() {
            self.log.truncate_from(from);
            self.synced_index = self.synced_index.min(from - 1);
        }
        for record in &missing {
            self.log.push(record.clone());
        }
        Some(ReplicaStep::PersistRecords { from, records: missing })
    }

    /// Makes this replica vote and count towards the commit quorum once the hard
    /// state is synced. The leader has confirmed that it caught up.
    fn start_counting(&mut self) -> Option<ReplicaStep> {
        if self.hard_state.in_quorum {
            return None;
        }
        self.hard_state.in_quorum = true;
        Some(ReplicaStep::PersistHardState(self.hard_state.clone()))
    }

    /// Sets the acknowledgement to send once the journal is synced. It also covers
    /// a pending one to the same leader.
    fn defer_ack(&mut self, leader: NodeId, match_index: LogIndex, round: u64) {
        let match_index = match &self.pending_ack {
            Some(pending) if pending.leader == leader => pending.match_index.max(match_index),
            _ => match_index,
        };
        self.pending_ack = Some(PendingAck { leader, match_index, round });
    }

    /// Sends the pending acknowledgement once all records that it covers are
    /// synced.
    pub(super) fn send_synced_ack(&mut self) -> Vec<ReplicaStep> {
        let ready = self.pending_ack.take_if(|pending| self.synced_index >= pending.match_index);
        let Some(PendingAck { leader, match_index, round }) = ready else { return Vec::new() };
        vec![self.append_reply(leader, true, match_index, round)]
    }

    fn append_reply(
        &self,
        to: NodeId,
        accepted: bool,
        match_index: LogIndex,
        round: u64,
    ) -> ReplicaStep {
        let counts_toward_quorum = self.counts_toward_quorum();
        let snapshot = self.incoming.as_ref().map(IncomingTransfer::progress);
        let message = ReplicaMessage::AppendReply {
            accepted,
            match_index,
            round,
            counts_toward_quorum,
            snapshot,
        };
        self.send(to, message)
    }

    /// Handles a snapshot. The log stays as it is until the caller has decoded the state
    /// and reports that with [`Replica::install_snapshot`].
    pub(super) fn on_snapshot(
        &mut self,
        now: Instant,
        from: NodeId,
        term: Term,
        content: (SnapshotMark, String),
        round: u64,
    ) -> Vec<ReplicaStep> {
        let Some(mut steps) = self.accept_leader(now, &from, term) else {
            return vec![self.append_reply(from, false, 0, round)];
        };
        let (mark, state) = content;
        if mark.index > self.commit_index {
            let snapshot = ReceivedSnapshot { leader: from, term, round, mark, state };
            steps.push(ReplicaStep::InstallSnapshot { snapshot });
            return steps;
        }
        self.defer_ack(from, mark.index, round);
        steps.extend(self.send_synced_ack());
        steps
    }

    /// Handles a part of a snapshot. The last one completes it.
    pub(super) fn on_snapshot_part(
        &mut self,
        now: Instant,
        from: NodeId,
        term: Term,
        content: (SnapshotMark, SnapshotPart),
        round: u64,
    ) -> Vec<ReplicaStep> {
        let Some(mut steps) = self.accept_leader(now, &from, term) else {
            return vec![self.append_reply(from, false, 0, round)];
        };
        let (mark, part) = content;
        if mark.index <= self.commit_index {
            self.incoming = None;
            self.defer_ack(from, mark.index, round);
            steps.extend(self.send_synced_ack());
            return steps;
        }
        let known = self.incoming.take().filter(|incoming| incoming.includes(term, &mark, &part));
        let mut incoming =
            known.unwrap_or_else(|| IncomingTransfer::new(term, mark.clone(), &part));
        match incoming.add(&part) {
            PartResult::Incomplete => {
                self.incoming = Some(incoming);
                steps.push(self.append_reply(from, false, self.log.last_index(), round));
            }
            PartResult::Complete(state) => {
                let snapshot = ReceivedSnapshot { leader: from, term, round, mark, state };
                steps.push(ReplicaStep::InstallSnapshot { snapshot });
            }
            PartResult::Corrupt => {
                let line = EventLine::new("snapshot_corrupt")
                    .with("from", &from)
                    .with("index", mark.index)
                    .with("total_bytes", part.total_bytes);
                steps.push(ReplicaStep::Log(line));
                steps.push(self.append_reply(from, false, self.log.last_index(), round));
            }
        }
        steps
    }

    /// Replaces the log by a snapshot whose state the caller has decoded and puts in force
    /// now. Returns `false`, and changes nothing, if the snapshot is no longer needed.
    pub fn install_snapshot(&mut self, snapshot: &ReceivedSnapshot) -> bool {
        let ReceivedSnapshot { leader, term, round, mark, .. } = snapshot;
        if *term != self.hard_state.term || mark.index <= self.commit_index {
            return false;
        }
        self.incoming = None;
        self.log.install(mark.clone());
        self.commit_index = mark.index;
        self.synced_index = self.synced_index.min(mark.index.saturating_sub(1));
        self.defer_ack(leader.clone(), mark.index, *round);
        true
    }

    /// Refuses a snapshot whose state can't be used: this replica keeps what it has, and
    /// tells the leader how far that reaches.
    pub fn refuse_snapshot(&self, snapshot: &ReceivedSnapshot) -> ReplicaStep {
        let ReceivedSnapshot { leader, round, .. } = snapshot;
        self.append_reply(leader.clone(), false, self.log.last_index(), *round)
    }
}
