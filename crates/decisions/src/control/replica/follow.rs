//! Following: taking records and snapshots, and acknowledging what is synced.

use std::time::Instant;

use model::{LogIndex, LogRecord, NodeId, ReplicaMessage, SnapshotMark, Term};

use super::{OwedAck, Replica, ReplicaStep, Role};

/// Records of a leader, or its heartbeat.
#[derive(Debug, Clone)]
pub(super) struct Append {
    pub(super) prev_index: LogIndex,
    pub(super) prev_term: Term,
    pub(super) records: Vec<LogRecord>,
    pub(super) commit: LogIndex,
    pub(super) round: u64,
    pub(super) may_count: bool,
}

impl Replica {
    /// The sender leads this term. `None` when its term is over.
    fn follow_leader(
        &mut self,
        now: Instant,
        from: &NodeId,
        term: Term,
    ) -> Option<Vec<ReplicaStep>> {
        if term < self.hard.term {
            return None;
        }
        let steps = self.follow_term(now, term);
        debug_assert!(!matches!(self.role, Role::Leader(_)), "one leader in a term");
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.leader_heard = Some(now);
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
        let Append { prev_index, prev_term, records, commit, round, may_count } = append;
        let Some(mut steps) = self.follow_leader(now, &from, term) else {
            return vec![self.append_reply(from, false, 0, round)];
        };
        if !self.fits(prev_index, prev_term) {
            let hint = self.hint_for(prev_index);
            steps.push(self.append_reply(from, false, hint, round));
            return steps;
        }
        let matched = prev_index + records.len() as LogIndex;
        steps.extend(self.take_records(records));
        self.commit = self.commit.max(commit.min(matched));
        if may_count {
            steps.extend(self.count_again());
        }
        self.owe_ack(from, matched, round);
        steps.extend(self.pay_ack());
        steps
    }

    /// What a snapshot covers always fits.
    fn fits(&self, prev_index: LogIndex, prev_term: Term) -> bool {
        prev_index < self.log.mark().index || self.log.term_at(prev_index) == Some(prev_term)
    }

    /// Where the leader should try next: the end of this log, or before the
    /// whole term that does not fit.
    fn hint_for(&self, prev_index: LogIndex) -> LogIndex {
        if prev_index > self.log.last_index() {
            return self.log.last_index();
        }
        let Some(wrong_term) = self.log.term_at(prev_index) else { return self.log.mark().index };
        let mut hint = prev_index;
        while hint > self.commit && self.log.term_at(hint) == Some(wrong_term) {
            hint -= 1;
        }
        hint
    }

    /// Adds records; from the first that differs on, older ones are dropped.
    fn take_records(&mut self, records: Vec<LogRecord>) -> Option<ReplicaStep> {
        let known = |record: &LogRecord| {
            record.index <= self.log.mark().index
                || self.log.term_at(record.index) == Some(record.term)
        };
        let fresh: Vec<LogRecord> = records.into_iter().skip_while(known).collect();
        let from = fresh.first()?.index;
        assert!(from > self.commit, "what is committed is never changed");
        if from <= self.log.last_index() {
            self.log.truncate_from(from);
            self.synced = self.synced.min(from - 1);
        }
        for record in &fresh {
            self.log.push(record.clone());
        }
        Some(ReplicaStep::PersistRecords { from, records: fresh })
    }

    /// The leader has proof that this copy may count.
    fn count_again(&mut self) -> Option<ReplicaStep> {
        if self.hard.formed {
            return None;
        }
        self.hard.formed = true;
        Some(ReplicaStep::PersistHardState(self.hard.clone()))
    }

    fn owe_ack(&mut self, leader: NodeId, matched: LogIndex, round: u64) {
        let matched = match &self.owed_ack {
            Some(owed) if owed.leader == leader => owed.matched.max(matched),
            _ => matched,
        };
        self.owed_ack = Some(OwedAck { leader, matched, round });
    }

    /// Acknowledges once everything that was taken is synced.
    pub(super) fn pay_ack(&mut self) -> Vec<ReplicaStep> {
        let paid = self.owed_ack.take_if(|owed| self.synced >= owed.matched);
        let Some(OwedAck { leader, matched, round }) = paid else { return Vec::new() };
        vec![self.append_reply(leader, true, matched, round)]
    }

    fn append_reply(
        &self,
        to: NodeId,
        accepted: bool,
        match_index: LogIndex,
        round: u64,
    ) -> ReplicaStep {
        let counts = self.counts();
        self.send(to, ReplicaMessage::AppendReply { accepted, match_index, round, counts })
    }

    pub(super) fn on_snapshot(
        &mut self,
        now: Instant,
        from: NodeId,
        term: Term,
        mark: SnapshotMark,
        state: String,
        round: u64,
    ) -> Vec<ReplicaStep> {
        let Some(mut steps) = self.follow_leader(now, &from, term) else {
            return vec![self.append_reply(from, false, 0, round)];
        };
        let matched = mark.index;
        if matched > self.commit {
            self.log.install(mark.clone());
            self.commit = matched;
            self.synced = self.synced.min(matched.saturating_sub(1));
            steps.push(ReplicaStep::InstallSnapshot { mark, state });
        }
        self.owe_ack(from, matched.min(self.commit), round);
        steps.extend(self.pay_ack());
        steps
    }
}
