//! Decides for one replica of the log: elections, replication, commitment.
//!
//! Our own protocol after Raft, with trial votes, a leader that steps down by
//! its own clock, group changes one host at a time, and replicas that lost
//! their disk and count again only after they caught up.
//!
//! Invariants:
//! - at most one leader in a term;
//! - a record is committed only when a majority of the group has synced it;
//!   copies of a replica that has not caught up do not count;
//! - a vote, and an acknowledgement, leaves only after what it promises is
//!   synced here;
//! - what is committed is never changed.
//!
//! Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014; Ongaro, "Consensus: Bridging Theory and Practice", 2014.

mod election;
mod follow;
mod group;
mod lead;
mod log_store;
mod restart;

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{
    ControlPeer, EventLine, HardState, Incarnation, LogIndex, LogRecord, NodeId, ReplicaEnvelope,
    ReplicaMessage, SnapshotMark, Term, fingerprint,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use group::GroupChange;
pub use log_store::LogStore;

use follow::Append;
use lead::{Ack, LeaderState};
use restart::LeadInquiry;

/// Timing and limits of a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaLimits {
    /// Least election timeout; the longest is twice that.
    pub election: Duration,
    /// How long a leader may be quiet towards a follower.
    pub heartbeat: Duration,
    /// Records in one message.
    pub batch_records: usize,
}

/// What a replica does next.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaStep {
    /// Sends a message.
    Send {
        /// To which host.
        to: NodeId,
        /// The message.
        envelope: Box<ReplicaEnvelope>,
    },
    /// Writes the hard state and reports when it is synced.
    PersistHardState(HardState),
    /// Drops records from a position on, writes these, and reports when they
    /// are synced.
    PersistRecords {
        /// First position to drop.
        from: LogIndex,
        /// The records.
        records: Vec<LogRecord>,
    },
    /// Sends a snapshot of the replicated state.
    SendSnapshot {
        /// To which host.
        to: NodeId,
        /// The round to name in it.
        round: u64,
    },
    /// Takes a snapshot in place of the replicated state.
    InstallSnapshot {
        /// Where it stands.
        mark: SnapshotMark,
        /// The state as JSON.
        state: String,
    },
    /// Writes a log line.
    Note(EventLine),
}

#[derive(Debug, Clone, PartialEq)]
enum Role {
    Follower,
    Trial { votes: IndexSet<NodeId> },
    Candidate { votes: IndexSet<NodeId> },
    Leader(LeaderState),
}

/// What a replica finds in its data folder.
#[derive(Debug, Clone, Default)]
pub struct StoredReplica {
    /// Latest hard state.
    pub hard: HardState,
    /// Latest snapshot.
    pub mark: SnapshotMark,
    /// Records after it.
    pub records: Vec<LogRecord>,
}

/// Acknowledgement that waits for the journal.
#[derive(Debug, Clone, PartialEq)]
struct OwedAck {
    leader: NodeId,
    matched: LogIndex,
    round: u64,
}

/// One replica.
#[derive(Debug, Clone)]
pub struct Replica {
    name: NodeId,
    boot: Incarnation,
    limits: ReplicaLimits,
    generator: SmallRng,
    hard: HardState,
    hard_synced: HardState,
    log: LogStore,
    synced: LogIndex,
    commit: LogIndex,
    role: Role,
    leader: Option<NodeId>,
    /// When this process last heard a leader.
    leader_heard: Option<Instant>,
    /// From when on this process may vote.
    votes_from: Instant,
    /// While it is open whether an earlier process's promise still holds.
    inquiry: Option<LeadInquiry>,
    election_at: Instant,
    owed_votes: Vec<(NodeId, ReplicaMessage)>,
    owed_ack: Option<OwedAck>,
    fresh: IndexSet<NodeId>,
    hello_at: Instant,
    may_found: bool,
    failed: bool,
}

impl Replica {
    /// A replica that starts with what it finds stored; `group` is the first
    /// group of a new deployment.
    pub fn new(
        now: Instant,
        name: NodeId,
        boot: Incarnation,
        limits: ReplicaLimits,
        group: Vec<ControlPeer>,
        stored: StoredReplica,
    ) -> Replica {
        let StoredReplica { mut hard, mut mark, records } = stored;
        if mark.group.is_empty() {
            mark.group = group;
        }
        let log = LogStore::new(mark, records);
        let alone = log.group().len() == 1 && log.group()[0].name == name;
        hard.formed = hard.formed || alone;
        let mut replica = Replica {
            generator: SmallRng::seed_from_u64(fingerprint([name.as_bytes()]) ^ boot),
            name,
            boot,
            limits,
            hard_synced: hard.clone(),
            hard,
            synced: log.last_index(),
            commit: log.mark().index,
            log,
            role: Role::Follower,
            leader: None,
            leader_heard: None,
            votes_from: now + limits.election,
            inquiry: Some(LeadInquiry::new(now)),
            election_at: now,
            owed_votes: Vec::new(),
            owed_ack: None,
            fresh: IndexSet::new(),
            hello_at: now,
            may_found: true,
            failed: false,
        };
        replica.set_election_timer(now);
        replica
    }

    /// Sets whether a replica without data may take part in founding a group.
    pub fn set_may_found(&mut self, may_found: bool) {
        self.may_found = may_found;
    }

    /// A message of another replica.
    pub fn on_message(&mut self, now: Instant, envelope: ReplicaEnvelope) -> Vec<ReplicaStep> {
        if self.failed {
            return Vec::new();
        }
        let ReplicaEnvelope { from, term, boot, message } = envelope;
        match message {
            ReplicaMessage::Hello { fresh, asks } => self.on_hello(&from, fresh, asks),
            ReplicaMessage::VoteRequest { trial, last_index, last_term } => {
                self.on_vote_request(now, from, term, trial, (last_term, last_index))
            }
            ReplicaMessage::VoteReply { trial, granted } => {
                self.on_vote_reply(now, from, term, trial, granted)
            }
            ReplicaMessage::Append { prev_index, prev_term, records, commit, round, may_count } => {
                let append = Append { prev_index, prev_term, records, commit, round, may_count };
                self.on_append(now, from, term, append)
            }
            ReplicaMessage::AppendReply { accepted, match_index, round, counts } => {
                let ack = Ack { boot, accepted, match_index, round, counts };
                self.on_append_reply(now, &from, term, &ack)
            }
            ReplicaMessage::Snapshot { mark, state, round } => {
                self.on_snapshot(now, from, term, mark, state, round)
            }
            ReplicaMessage::LeadQuestion { denied_to, group_index } => {
                self.on_lead_question(now, &from, boot, denied_to, group_index)
            }
            ReplicaMessage::LeadDenial { denied_to, group_index, asks } => {
                self.on_lead_denial(now, &from, boot, (denied_to, group_index), asks)
            }
        }
    }

    /// The journal has synced the hard state.
    pub fn on_hard_state_synced(&mut self, now: Instant, state: HardState) -> Vec<ReplicaStep> {
        self.hard_synced = state;
        if self.hard_synced != self.hard {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for (to, message) in std::mem::take(&mut self.owed_votes) {
            steps.push(self.send(to, message));
        }
        steps.extend(self.count_own_vote(now));
        steps
    }

    /// The journal has synced up to a record. A record that was replaced in
    /// the meantime says nothing.
    pub fn on_synced(&mut self, now: Instant, index: LogIndex, term: Term) -> Vec<ReplicaStep> {
        if self.log.term_at(index) != Some(term) || index <= self.synced {
            return Vec::new();
        }
        self.synced = index;
        let mut steps = self.pay_ack();
        steps.extend(self.advance_commit(now));
        steps
    }

    /// The journal can't write any more: nothing later is ever acknowledged.
    pub fn on_journal_failed(&mut self) {
        self.failed = true;
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Deals with what time alone brings.
    pub fn on_tick(&mut self, now: Instant) -> Vec<ReplicaStep> {
        if self.failed {
            return Vec::new();
        }
        let mut steps = self.say_hello(now);
        steps.extend(self.ask_who_leads(now));
        if matches!(self.role, Role::Leader(_)) {
            steps.extend(self.lead_tick(now));
        } else if now >= self.election_at {
            steps.extend(self.on_election_timeout(now));
        }
        steps
    }

    /// When [`Replica::on_tick`] is next needed.
    pub fn next_deadline(&self) -> Option<Instant> {
        if self.failed {
            return None;
        }
        let timer = match &self.role {
            Role::Leader(leader) => leader.next_heartbeat(self.limits.heartbeat),
            _ => Some(self.election_at),
        };
        let hello = (!self.hard.formed).then_some(self.hello_at);
        [timer, hello, self.next_question()].into_iter().flatten().min()
    }

    fn send(&self, to: NodeId, message: ReplicaMessage) -> ReplicaStep {
        ReplicaStep::Send { to, envelope: Box::new(self.envelope(self.hard.term, message)) }
    }

    /// A message of this replica.
    pub fn envelope(&self, term: Term, message: ReplicaMessage) -> ReplicaEnvelope {
        ReplicaEnvelope { from: self.name.clone(), term, boot: self.boot, message }
    }

    fn set_election_timer(&mut self, now: Instant) {
        let spread = self.generator.random_range(1.0..2.0);
        self.election_at = now + self.limits.election.mul_f64(spread);
    }

    /// Follows a later term. The hard state is written before anything that
    /// depends on it leaves.
    fn follow_term(&mut self, now: Instant, term: Term) -> Vec<ReplicaStep> {
        if term <= self.hard.term {
            return Vec::new();
        }
        self.hard.term = term;
        self.hard.voted_for = None;
        self.become_follower(now);
        vec![ReplicaStep::PersistHardState(self.hard.clone())]
    }

    fn become_follower(&mut self, now: Instant) {
        if !matches!(self.role, Role::Follower) {
            self.set_election_timer(now);
        }
        self.role = Role::Follower;
        self.leader = None;
        self.owed_votes.clear();
        self.owed_ack = None;
    }

    fn majority(&self) -> usize {
        self.log.group().len() / 2 + 1
    }

    fn is_voter(&self, name: &NodeId) -> bool {
        self.log.group().iter().any(|peer| peer.name == *name)
    }

    fn others(&self) -> Vec<NodeId> {
        let group = self.log.group().iter().map(|peer| peer.name.clone());
        group.filter(|name| *name != self.name).collect()
    }

    /// The term in which this replica leads, once it may speak for the group:
    /// its own term's first record is committed and its lease holds.
    pub fn leading(&self, now: Instant) -> Option<Term> {
        let Role::Leader(leader) = &self.role else { return None };
        let speaks = self.commit >= leader.first_index() && self.holds_lease(now);
        speaks.then_some(self.hard.term)
    }

    /// Whether this replica takes proposals.
    pub fn takes_proposals(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether an answer to a host waits for the journal.
    pub fn owes(&self, host: &NodeId) -> bool {
        self.owed_ack.as_ref().is_some_and(|owed| owed.leader == *host)
            || self.owed_votes.iter().any(|(to, _)| to == host)
    }

    /// The leader that is known here.
    pub fn leader(&self) -> Option<&ControlPeer> {
        let name = match &self.role {
            Role::Leader(_) => Some(&self.name),
            _ => self.leader.as_ref(),
        }?;
        self.log.group().iter().find(|peer| peer.name == *name)
    }

    /// This host's name.
    pub fn name(&self) -> &NodeId {
        &self.name
    }

    /// Where a snapshot at a committed position stands.
    pub fn mark_at(&self, index: LogIndex) -> Option<SnapshotMark> {
        let term = self.log.term_at(index)?;
        Some(SnapshotMark { index, term, group: self.log.group_at(index) })
    }

    /// Position up to which the log is committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The hard state.
    pub fn hard_state(&self) -> &HardState {
        &self.hard
    }

    /// The group of control hosts.
    pub fn group(&self) -> Vec<ControlPeer> {
        self.log.group().to_vec()
    }

    /// The log.
    pub fn log(&self) -> &LogStore {
        &self.log
    }

    /// Whether this replica's copy counts for durability.
    pub fn counts(&self) -> bool {
        self.hard_synced.formed
    }

    /// Last synced position of each replica that is known here.
    pub fn progress(&self) -> IndexMap<NodeId, LogIndex> {
        let mut progress = IndexMap::new();
        progress.insert(self.name.clone(), self.synced);
        if let Role::Leader(leader) = &self.role {
            progress.extend(leader.progress());
        }
        progress
    }

    /// Drops records that a snapshot at `index` covers; gives the mark of that
    /// snapshot.
    pub fn compact(&mut self, index: LogIndex) -> SnapshotMark {
        self.log.compact(index);
        self.log.mark().clone()
    }
}
