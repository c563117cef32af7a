//! Appends that no correct leader sends. Guards against a control host of which the duty of
//! the replicated log ends, or which takes in a log with a gap, because of one message.

use std::time::{Duration, Instant};

use decisions::control::{Replica, ReplicaLimits, ReplicaStep, StoredReplica};
use model::{
    Command, ControlPeer, JournalEntry, LogIndex, LogRecord, ReplicaEnvelope, ReplicaMessage, Term,
};

use crate::log_model::peer;

/// Term of the leader.
const TERM: Term = 5;

/// A follower that has stored and committed three records of the leader.
struct Follower {
    now: Instant,
    replica: Replica,
}

fn record(index: LogIndex, term: Term) -> LogRecord {
    LogRecord { index, term, at_ms: 0, command: Command::Noop }
}

fn append(prev: (LogIndex, Term), records: Vec<LogRecord>, commit: LogIndex) -> ReplicaMessage {
    let (prev_index, prev_term) = prev;
    ReplicaMessage::Append {
        prev_index,
        prev_term,
        records,
        commit,
        round: 1,
        may_join_quorum: false,
    }
}

impl Follower {
    fn new() -> Follower {
        let now = Instant::now();
        let limits = ReplicaLimits {
            min_election_timeout: Duration::from_secs(60),
            heartbeat_interval: Duration::from_secs(20),
            max_batch_records: 10,
            max_batch_bytes: 1_000,
        };
        let group: Vec<ControlPeer> = (0..3).map(peer).collect();
        let mut stored = StoredReplica::default();
        stored.hard_state.in_quorum = true;
        let replica = Replica::new(now, peer(0).name, 1, limits, group, stored);
        let mut follower = Follower { now, replica };
        let records = (1..=3).map(|index| record(index, TERM)).collect();
        assert!(follower.accepts(append((0, 0), records, 3)));
        assert_eq!(follower.replica.commit_index(), 3);
        follower
    }

    /// Delivers a message of the leader, syncs what is written and returns whether the
    /// append was accepted.
    fn accepts(&mut self, message: ReplicaMessage) -> bool {
        let envelope = ReplicaEnvelope { from: peer(1).name, term: TERM, boot: 1, message };
        let mut steps = self.replica.on_message(self.now, envelope);
        for step in steps.clone() {
            if let ReplicaStep::PersistRecords { from, records } = step {
                let mark = JournalEntry::Records { from, records }.sync_mark();
                if let model::SyncMark::Records { index, term } = mark {
                    steps.extend(self.replica.on_synced(self.now, index, term));
                }
            }
        }
        steps.iter().any(|step| match step {
            ReplicaStep::Send { envelope, .. } => {
                matches!(envelope.message, ReplicaMessage::AppendReply { accepted: true, .. })
            }
            _ => false,
        })
    }

    /// Checks that a message changes nothing, and that a correct one is accepted after it.
    fn refuses(mut self, message: ReplicaMessage) {
        let (last, commit) = (self.replica.log().last_index(), self.replica.commit_index());
        assert!(!self.accepts(message), "the append is accepted");
        assert_eq!((self.replica.log().last_index(), self.replica.commit_index()), (last, commit));
        assert!(self.accepts(append((3, TERM), vec![record(4, TERM)], 4)));
        assert_eq!(self.replica.commit_index(), 4);
    }
}

#[test]
fn committed_conflict_refused() {
    Follower::new().refuses(append((1, TERM), vec![record(2, TERM - 1)], 3));
}

#[test]
fn gap_refused() {
    Follower::new().refuses(append((3, TERM), vec![record(4, TERM), record(9, TERM)], 3));
}

#[test]
fn misplaced_records_refused() {
    Follower::new().refuses(append((3, TERM), vec![record(7, TERM)], 3));
}

#[test]
fn late_term_refused() {
    Follower::new().refuses(append((3, TERM), vec![record(4, TERM + 1)], 3));
}

#[test]
fn falling_term_refused() {
    let records = vec![record(4, TERM), record(5, TERM - 1)];
    Follower::new().refuses(append((3, TERM), records, 3));
}

#[test]
fn highest_index_refused() {
    let highest = LogIndex::MAX;
    Follower::new().refuses(append((highest, TERM), vec![record(highest, TERM)], highest));
}

#[test]
fn missing_group_refused() {
    let mut change = record(4, TERM);
    change.command = Command::ChangeGroup { group: Vec::new() };
    Follower::new().refuses(append((3, TERM), vec![change], 3));
}
