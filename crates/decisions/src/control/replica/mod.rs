//! Raft state machine of one replica: elections, log replication and commit.
//!
//! The protocol follows Raft with pre-votes (thesis section 9.6), a leader
//! lease with step-down when contact with a majority is lost, and single-server
//! membership changes. Beyond Raft, a replica that lost its disk may rejoin under
//! its old name: it neither votes nor counts towards the commit quorum until it
//! has caught up.
//!
//! The replica performs no I/O. Each input returns the [`ReplicaStep`]s that the
//! caller must carry out, in order.
//!
//! Invariants:
//! - at most one leader is elected per term, and it leads once: a lease that has expired does
//!   not come back;
//! - a record is committed only once a majority of the group has synced it,
//!   without the replicas that have not caught up;
//! - a vote or an acknowledgement is sent only after the state it promises has
//!   been synced locally;
//! - a committed record is never overwritten.
//!
//! Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014; Ongaro, "Consensus: Bridging Theory and Practice", 2014.

mod election;
mod follower;
mod group;
mod leader;
mod log_store;
mod odd_numbers;
mod restart;
mod snapshot_transfer;

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{
    ControlPeer, EventLine, HardState, Incarnation, LogIndex, LogRecord, NodeId, ReplicaEnvelope,
    ReplicaMessage, SnapshotMark, SnapshotProgress, Term, fingerprint,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use follower::ReceivedSnapshot;
pub use group::GroupChange;
pub use leader::JoiningHost;
pub use log_store::LogStore;
pub use snapshot_transfer::EncodedSnapshot;

use follower::Append;
use leader::{Ack, LeaderState};
use restart::LeaderInquiry;
use snapshot_transfer::IncomingTransfer;

/// Timing and limits of a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaLimits {
    /// Minimum election timeout. Each timeout is drawn from one to two times this
    /// value.
    pub min_election_timeout: Duration,
    /// Maximum interval between a leader's messages to a follower.
    pub heartbeat_interval: Duration,
    /// Maximum number of records per append message.
    pub max_batch_records: usize,
    /// Maximum encoded size of the records of an append message, in bytes, unless one
    /// alone is larger.
    pub max_batch_bytes: usize,
}

/// An action that a replica requests from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaStep {
    /// Sends a message to another replica.
    Send {
        /// Receiving host.
        to: NodeId,
        /// Message with the sender's name, term and process incarnation.
        envelope: Box<ReplicaEnvelope>,
    },
    /// Writes the hard state to the journal; the caller reports the sync with
    /// [`Replica::on_hard_state_synced`].
    PersistHardState(HardState),
    /// Drops the stored records at `from` and after it, then appends `records`. The
    /// caller reports the sync with [`Replica::on_synced`].
    PersistRecords {
        /// First index to drop, and the index of the first new record.
        from: LogIndex,
        /// Consecutive records from `from` on.
        records: Vec<LogRecord>,
    },
    /// Sends a message with a snapshot of the replicated state, or with its next part.
    SendSnapshot {
        /// Receiving host.
        to: NodeId,
        /// Replication round, which the receiver's reply repeats.
        round: u64,
        /// What the receiver has of a snapshot.
        received: Option<SnapshotProgress>,
    },
    /// Decodes a snapshot from the leader. If that succeeds, the caller replaces the log
    /// with [`Replica::install_snapshot`] and then the replicated state; otherwise it calls
    /// [`Replica::refuse_snapshot`].
    InstallSnapshot {
        /// The snapshot, of which nothing is in force yet.
        snapshot: ReceivedSnapshot,
    },
    /// Writes a log event.
    Log(EventLine),
}

#[derive(Debug, Clone, PartialEq)]
enum Role {
    Follower,
    PreCandidate { votes: IndexSet<NodeId> },
    Candidate { votes: IndexSet<NodeId> },
    Leader(LeaderState),
}

/// Persistent state that a replica loads from its data folder on startup.
#[derive(Debug, Clone, Default)]
pub struct StoredReplica {
    /// Last synced term, vote and quorum status.
    pub hard_state: HardState,
    /// Index, term and group of the latest snapshot.
    pub mark: SnapshotMark,
    /// Records after the snapshot.
    pub records: Vec<LogRecord>,
}

/// An append acknowledgement to send once the journal has synced
/// `match_index`.
#[derive(Debug, Clone, PartialEq)]
struct PendingAck {
    leader: NodeId,
    match_index: LogIndex,
    round: u64,
}

/// Raft state of one control host.
#[derive(Debug, Clone)]
pub struct Replica {
    name: NodeId,
    /// Incarnation of this process.
    boot: Incarnation,
    limits: ReplicaLimits,
    rng: SmallRng,
    /// Latest hard state; `synced_hard_state` is the latest one that is synced.
    hard_state: HardState,
    synced_hard_state: HardState,
    log: LogStore,
    /// Index up to which the local journal has synced the log.
    synced_index: LogIndex,
    commit_index: LogIndex,
    role: Role,
    leader: Option<NodeId>,
    /// Time of the last message that this process received from a leader.
    leader_last_contact: Option<Instant>,
    /// Start of voting: every lease that an earlier process of this host may have
    /// acknowledged is over by then.
    votes_allowed_from: Instant,
    /// Set while such a lease may still be in force.
    inquiry: Option<LeaderInquiry>,
    election_deadline: Instant,
    /// Granted votes to send once the hard state is synced.
    pending_vote_replies: Vec<(NodeId, ReplicaMessage)>,
    pending_ack: Option<PendingAck>,
    /// The snapshot that a leader sends in parts.
    incoming: Option<IncomingTransfer>,
    /// Other hosts that reported no history; used to bootstrap a new group.
    fresh_peers: IndexSet<NodeId>,
    next_hello_at: Instant,
    may_bootstrap: bool,
    /// Whether the replica is suspended, since the journal can't write.
    journal_failed: bool,
}

impl Replica {
    /// Creates a follower from its stored state. `group` is the initial group and
    /// is used only when the stored snapshot has none.
    pub fn new(
        now: Instant,
        name: NodeId,
        boot: Incarnation,
        limits: ReplicaLimits,
        group: Vec<ControlPeer>,
        stored: StoredReplica,
    ) -> Replica {
        let StoredReplica { mut hard_state, mut mark, records } = stored;
        if mark.group.is_empty() {
            mark.group = group;
        }
        let log = LogStore::new(mark, records);
        let single_host = log.group().len() == 1 && log.group()[0].name == name;
        hard_state.in_quorum = hard_state.in_quorum || single_host;
        let mut replica = Replica {
            rng: SmallRng::seed_from_u64(fingerprint([name.as_bytes()]) ^ boot),
            name,
            boot,
            limits,
            synced_hard_state: hard_state.clone(),
            hard_state,
            synced_index: log.last_index(),
            commit_index: log.mark().index,
            log,
            role: Role::Follower,
            leader: None,
            leader_last_contact: None,
            votes_allowed_from: now + limits.min_election_timeout,
            inquiry: Some(LeaderInquiry::new(now)),
            election_deadline: now,
            pending_vote_replies: Vec::new(),
            pending_ack: None,
            incoming: None,
            fresh_peers: IndexSet::new(),
            next_hello_at: now,
            may_bootstrap: true,
            journal_failed: false,
        };
        replica.set_election_timer(now);
        replica
    }

    /// Sets whether a replica without data may help bootstrap a new group.
    pub fn set_may_bootstrap(&mut self, may_bootstrap: bool) {
        self.may_bootstrap = may_bootstrap;
    }

    /// Handles a message from another replica.
    pub fn on_message(&mut self, now: Instant, envelope: ReplicaEnvelope) -> Vec<ReplicaStep> {
        if self.journal_failed {
            return Vec::new();
        }
        if let Some(refusal) = self.refuse_odd(&envelope) {
            return vec![refusal];
        }
        self.give_up_lapsed_lead(now);
        let ReplicaEnvelope { from, term, boot, message } = envelope;
        match message {
            ReplicaMessage::Hello { fresh, wants_reply } => {
                self.on_hello(&from, fresh, wants_reply)
            }
            ReplicaMessage::VoteRequest { pre_vote, last_index, last_term } => {
                self.on_vote_request(now, from, term, pre_vote, (last_term, last_index))
            }
            ReplicaMessage::VoteReply { pre_vote, granted } => {
                self.on_vote_reply(now, from, term, pre_vote, granted)
            }
            ReplicaMessage::Append {
                prev_index,
                prev_term,
                records,
                commit,
                round,
                may_join_quorum,
            } => {
                let append =
                    Append { prev_index, prev_term, records, commit, round, may_join_quorum };
                self.on_append(now, from, term, append)
            }
            ReplicaMessage::AppendReply {
                accepted,
                match_index,
                round,
                counts_toward_quorum,
                snapshot,
            } => {
                let ack =
                    Ack { boot, accepted, match_index, round, counts_toward_quorum, snapshot };
                self.on_append_reply(now, &from, term, &ack)
            }
            ReplicaMessage::Snapshot { mark, state, round } => {
                self.on_snapshot(now, from, term, (mark, state), round)
            }
            ReplicaMessage::SnapshotPart { mark, part, round } => {
                self.on_snapshot_part(now, from, term, (mark, part), round)
            }
            ReplicaMessage::LeaderQuery { denied_to, group_index } => {
                self.on_leader_query(now, &from, boot, denied_to, group_index)
            }
            ReplicaMessage::LeaderDenial { denied_to, group_index, wants_reply } => {
                self.on_leader_denial(now, &from, boot, (denied_to, group_index), wants_reply)
            }
        }
    }

    /// Handles the journal's report that `state` is synced, and sends the votes
    /// that waited for it.
    pub fn on_hard_state_synced(&mut self, now: Instant, state: HardState) -> Vec<ReplicaStep> {
        self.synced_hard_state = state;
        if self.synced_hard_state != self.hard_state {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for (to, message) in std::mem::take(&mut self.pending_vote_replies) {
            steps.push(self.send(to, message));
        }
        steps.extend(self.record_own_vote(now));
        steps
    }

    /// Handles the journal's report that the log is synced up to `index`. The
    /// report is ignored if the record at `index` was replaced in the meantime.
    pub fn on_synced(&mut self, now: Instant, index: LogIndex, term: Term) -> Vec<ReplicaStep> {
        if self.log.term_at(index) != Some(term) || index <= self.synced_index {
            return Vec::new();
        }
        self.synced_index = index;
        let mut steps = self.send_synced_ack();
        steps.extend(self.advance_commit(now));
        steps
    }

    /// Suspends the replica while the journal can't write: it gives up the lead, and
    /// handles no messages and timers, so that what is to be written stays bounded. What
    /// waits for a sync is still sent once that is reported. Returns `false` if the
    /// replica was suspended already.
    pub fn on_journal_failed(&mut self) -> bool {
        self.role = Role::Follower;
        self.leader = None;
        !std::mem::replace(&mut self.journal_failed, true)
    }

    /// Resumes as a follower after the journal has written what was left. Returns
    /// `false` if the replica was not suspended.
    pub fn on_journal_recovered(&mut self, now: Instant) -> bool {
        if !std::mem::take(&mut self.journal_failed) {
            return false;
        }
        self.set_election_timer(now);
        true
    }

    /// Processes expired timers.
    pub fn on_tick(&mut self, now: Instant) -> Vec<ReplicaStep> {
        if self.journal_failed {
            return Vec::new();
        }
        self.give_up_lapsed_lead(now);
        let mut steps = self.send_hellos(now);
        steps.extend(self.send_leader_queries(now));
        if matches!(self.role, Role::Leader(_)) {
            steps.extend(self.on_leader_tick(now));
        } else if now >= self.election_deadline {
            steps.extend(self.on_election_timeout(now));
        }
        steps
    }

    /// Time at which [`Replica::on_tick`] must next be called.
    pub fn next_deadline(&self) -> Option<Instant> {
        if self.journal_failed {
            return None;
        }
        let timer = match &self.role {
            Role::Leader(leader) => leader.next_heartbeat_at(self.limits.heartbeat_interval),
            _ => Some(self.election_deadline),
        };
        let hello = (!self.hard_state.in_quorum).then_some(self.next_hello_at);
        [timer, hello, self.next_leader_query()].into_iter().flatten().min()
    }

    fn send(&self, to: NodeId, message: ReplicaMessage) -> ReplicaStep {
        ReplicaStep::Send { to, envelope: Box::new(self.envelope(self.hard_state.term, message)) }
    }

    /// Wraps a message with this replica's name and process incarnation.
    pub fn envelope(&self, term: Term, message: ReplicaMessage) -> ReplicaEnvelope {
        ReplicaEnvelope { from: self.name.clone(), term, boot: self.boot, message }
    }

    fn set_election_timer(&mut self, now: Instant) {
        let factor = self.rng.random_range(1.0..2.0);
        self.election_deadline = now + self.limits.min_election_timeout.mul_f64(factor);
    }

    /// Enters a later term as a follower. The hard state is written before any
    /// message that depends on it is sent.
    fn advance_term(&mut self, now: Instant, term: Term) -> Vec<ReplicaStep> {
        if term <= self.hard_state.term {
            return Vec::new();
        }
        self.hard_state.term = term;
        self.hard_state.voted_for = None;
        self.become_follower(now);
        vec![ReplicaStep::PersistHardState(self.hard_state.clone())]
    }

    fn become_follower(&mut self, now: Instant) {
        if !matches!(self.role, Role::Follower) {
            self.set_election_timer(now);
        }
        self.role = Role::Follower;
        self.leader = None;
        self.pending_vote_replies.clear();
        self.pending_ack = None;
        self.incoming = None;
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

    /// Returns the term in which this replica may answer reads as the leader: the
    /// first record of that term is committed, so every earlier commit is known
    /// here, and the leader lease is valid.
    pub fn established_term(&self, now: Instant) -> Option<Term> {
        let Role::Leader(leader) = &self.role else { return None };
        let established = self.commit_index >= leader.noop_index() && self.holds_lease(now);
        established.then_some(self.hard_state.term)
    }

    /// Whether this replica accepts proposals, which is while it is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether a reply to `host` is waiting for a journal sync.
    pub fn has_pending_reply_to(&self, host: &NodeId) -> bool {
        self.pending_ack.as_ref().is_some_and(|pending| pending.leader == *host)
            || self.pending_vote_replies.iter().any(|(to, _)| to == host)
    }

    /// The current leader, if this replica knows one.
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

    /// Describes a snapshot at `index`; `None` if the term of `index` is not known.
    pub fn snapshot_mark_at(&self, index: LogIndex) -> Option<SnapshotMark> {
        let term = self.log.term_at(index)?;
        Some(SnapshotMark { index, term, group: self.log.group_at(index) })
    }

    /// Index of the last committed record.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The hard state, which may not be synced yet.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// The latest group of control hosts in the log, committed or not.
    pub fn group(&self) -> Vec<ControlPeer> {
        self.log.group().to_vec()
    }

    /// The in-memory log.
    pub fn log(&self) -> &LogStore {
        &self.log
    }

    /// Whether this replica votes and its copy of the log counts towards the
    /// commit quorum.
    pub fn counts_toward_quorum(&self) -> bool {
        self.synced_hard_state.in_quorum
    }

    /// Last synced index per replica: of this replica, and on the leader of each
    /// other replica as acknowledged.
    pub fn progress(&self) -> IndexMap<NodeId, LogIndex> {
        let mut progress = IndexMap::new();
        progress.insert(self.name.clone(), self.synced_index);
        if let Role::Leader(leader) = &self.role {
            progress.extend(leader.progress());
        }
        progress
    }

    /// Drops the records that a snapshot at `index` covers and returns the mark of
    /// that snapshot.
    pub fn compact(&mut self, index: LogIndex) -> SnapshotMark {
        self.log.compact(index);
        self.log.mark().clone()
    }
}
