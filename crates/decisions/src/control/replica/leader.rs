//! Leader role: log replication, commit index and leader lease.
//!
//! Each append or snapshot carries the number of a replication round, and the
//! follower's reply repeats it. An acknowledged round proves contact as of the
//! time at which the round was sent. The leader lease and the check for contact
//! with a majority count from these times, so neither depends on network delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    Command, ControlPeer, Incarnation, LogIndex, LogRecord, NodeId, ReplicaMessage,
    SnapshotProgress, Term,
};

use super::snapshot_transfer::OutgoingTransfer;
use super::{Replica, ReplicaStep, Role};

/// Upper bound of the clock drift between two hosts, relative to elapsed time.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.05;
/// Number of recent rounds whose send time is kept.
const MAX_TRACKED_ROUNDS: usize = 4_096;

/// Replication state of one follower, as known to the leader.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PeerProgress {
    next_index: LogIndex,
    match_index: LogIndex,
    /// Incarnation of the latest process that replied. Replies of earlier
    /// processes are ignored.
    boot: Incarnation,
    /// Whether this copy counts towards the commit quorum.
    counts_toward_quorum: bool,
    /// Set for a copy outside the commit quorum: once a record at or after this
    /// index is committed and stored by the follower, the copy may count again.
    requalify_index: Option<LogIndex>,
    /// Send time of the latest round that the follower acknowledged.
    acked_round_sent_at: Option<Instant>,
    last_sent_at: Option<Instant>,
    /// Send time of the records in flight. Later records wait for the reply and
    /// are then sent as one batch.
    in_flight_since: Option<Instant>,
    /// Transfer of a snapshot; at its start while the follower needs none.
    transfer: OutgoingTransfer,
}

impl PeerProgress {
    fn new(next_index: LogIndex) -> PeerProgress {
        PeerProgress {
            next_index,
            match_index: 0,
            boot: 0,
            counts_toward_quorum: false,
            requalify_index: None,
            acked_round_sent_at: None,
            last_sent_at: None,
            in_flight_since: None,
            transfer: OutgoingTransfer::default(),
        }
    }
}

/// A follower's reply to an append or a snapshot.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ack {
    pub(super) boot: Incarnation,
    pub(super) accepted: bool,
    pub(super) match_index: LogIndex,
    pub(super) round: u64,
    pub(super) counts_toward_quorum: bool,
    pub(super) snapshot: Option<SnapshotProgress>,
}

/// A pending addition to the group. The new host is a non-voting member until it
/// has caught up; then the change is appended to the log (thesis section 4.2.1).
#[derive(Debug, Clone, PartialEq)]
pub struct JoiningHost {
    /// Its name and address. The leader needs a connection to it although it is not in the
    /// group yet.
    pub peer: ControlPeer,
    /// Time at which it asked to join.
    pub since: Instant,
    /// Last index that it has stored, and the bytes that it has of a snapshot.
    pub progress: (LogIndex, u64),
    /// Time at which that last changed, or at which it asked to join.
    pub progressed_at: Instant,
}

impl JoiningHost {
    pub(super) fn new(now: Instant, peer: ControlPeer) -> JoiningHost {
        JoiningHost { peer, since: now, progress: (0, 0), progressed_at: now }
    }

    fn record_progress(&mut self, now: Instant, progress: (LogIndex, u64)) {
        if self.progress != progress {
            self.progress = progress;
            self.progressed_at = now;
        }
    }
}

/// State that a replica holds only while it is the leader.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LeaderState {
    pub(super) peers: IndexMap<NodeId, PeerProgress>,
    pub(super) joining: IndexMap<NodeId, JoiningHost>,
    noop_index: LogIndex,
    elected_at: Instant,
    /// Number of the latest round.
    round: u64,
    /// Send times of recent rounds, oldest first.
    round_times: VecDeque<(u64, Instant)>,
}

impl LeaderState {
    /// Index of the no-op record that opened the leader's term.
    pub(super) fn noop_index(&self) -> LogIndex {
        self.noop_index
    }

    /// Send time of the latest round that `name` acknowledged, but at least the
    /// time of election.
    pub(super) fn last_contact(&self, name: &NodeId) -> Instant {
        let acked = self.peers.get(name).and_then(|peer| peer.acked_round_sent_at);
        acked.map_or(self.elected_at, |at| at.max(self.elected_at))
    }

    pub(super) fn next_heartbeat_at(&self, heartbeat: Duration) -> Option<Instant> {
        let due =
            |peer: &PeerProgress| peer.last_sent_at.map_or(self.elected_at, |at| at + heartbeat);
        self.peers.values().map(due).min()
    }

    pub(super) fn progress(&self) -> Vec<(NodeId, LogIndex)> {
        self.peers.iter().map(|(name, peer)| (name.clone(), peer.match_index)).collect()
    }

    fn start_round(&mut self, now: Instant) -> u64 {
        self.round += 1;
        self.round_times.push_back((self.round, now));
        if self.round_times.len() > MAX_TRACKED_ROUNDS {
            self.round_times.pop_front();
        }
        self.round
    }

    fn round_sent_at(&self, round: u64) -> Option<Instant> {
        let position = self.round_times.binary_search_by_key(&round, |(round, _)| *round).ok()?;
        self.round_times.get(position).map(|(_, at)| *at)
    }
}

impl Replica {
    pub(super) fn become_leader(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let next_index = self.log.last_index() + 1;
        let peers = self.others().into_iter().map(|name| (name, PeerProgress::new(next_index)));
        self.role = Role::Leader(LeaderState {
            peers: peers.collect(),
            joining: IndexMap::new(),
            noop_index: next_index,
            elected_at: now,
            round: 0,
            round_times: VecDeque::new(),
        });
        self.leader = None;
        let at_ms = self.log.record(next_index - 1).map_or(0, |record| record.at_ms);
        self.append_records(now, at_ms, vec![Command::Noop])
    }

    /// Appends commands to the log and returns the index of the first. `None` if
    /// this replica is not the leader.
    pub fn propose(
        &mut self,
        now: Instant,
        at_ms: u64,
        commands: Vec<Command>,
    ) -> Option<(LogIndex, Vec<ReplicaStep>)> {
        if !self.is_leader() {
            return None;
        }
        let first = self.log.last_index() + 1;
        Some((first, self.append_records(now, at_ms, commands)))
    }

    /// Appends commands in the current term and replicates them. `at_ms` is raised
    /// to the time of the previous record, so that time in the log never
    /// decreases.
    pub(super) fn append_records(
        &mut self,
        now: Instant,
        at_ms: u64,
        commands: Vec<Command>,
    ) -> Vec<ReplicaStep> {
        let from = self.log.last_index() + 1;
        let latest_ms = self.log.record(from - 1).map_or(0, |record| record.at_ms);
        let at_ms = at_ms.max(latest_ms);
        for command in commands {
            let index = self.log.last_index() + 1;
            self.log.push(LogRecord { index, term: self.hard_state.term, at_ms, command });
        }
        self.update_peers();
        let records = self.log.slice(from, usize::MAX);
        let mut steps = vec![ReplicaStep::PersistRecords { from, records }];
        steps.extend(self.replicate_all(now));
        steps
    }

    /// Tracks progress for exactly the other hosts of the group and the joining
    /// hosts.
    pub(super) fn update_peers(&mut self) {
        let others = self.others();
        let next_index = self.log.last_index() + 1;
        let Role::Leader(leader) = &mut self.role else { return };
        let LeaderState { peers, joining, .. } = leader;
        peers.retain(|name, _| others.contains(name) || joining.contains_key(name));
        for name in others.into_iter().chain(joining.keys().cloned().collect::<Vec<_>>()) {
            leader.peers.entry(name).or_insert_with(|| PeerProgress::new(next_index));
        }
    }

    /// Starts a round to all followers and the joining hosts.
    pub(super) fn replicate_all(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let Role::Leader(leader) = &mut self.role else { return Vec::new() };
        let round = leader.start_round(now);
        let names: Vec<NodeId> = leader.peers.keys().cloned().collect();
        names.iter().filter_map(|name| self.replicate(now, name, round)).collect()
    }

    /// Sends a follower its next batch of records, or a snapshot or its next part if the
    /// log no longer holds them. Sends a heartbeat if it has all records, or while a
    /// snapshot is in flight; nothing while records are in flight and not yet due for a
    /// resend.
    fn replicate(&mut self, now: Instant, name: &NodeId, round: u64) -> Option<ReplicaStep> {
        let batch = self.limits.max_batch_records;
        let heartbeat = self.limits.heartbeat_interval;
        let (first_kept, commit) = (self.log.mark().index + 1, self.commit_index);
        let may_join_quorum = match &self.role {
            Role::Leader(leader) => {
                leader.peers.get(name).is_some_and(|peer| self.has_requalified(peer))
            }
            _ => false,
        };
        let Role::Leader(leader) = &mut self.role else { return None };
        let peer = leader.peers.get_mut(name)?;
        if peer.in_flight_since.is_some_and(|since| now < since + heartbeat) {
            return None;
        }
        let needs_snapshot = peer.next_index < first_kept;
        if needs_snapshot && peer.transfer.is_due(now) {
            peer.last_sent_at = Some(now);
            let received = peer.transfer.start_message(now);
            return Some(ReplicaStep::SendSnapshot { to: name.clone(), round, received });
        }
        if needs_snapshot && peer.last_sent_at.is_some_and(|at| now < at + heartbeat) {
            return None;
        }
        peer.last_sent_at = Some(now);
        // The records before those of the log are in the snapshot.
        let prev_index = peer.next_index.max(first_kept) - 1;
        let prev_term = self.log.term_at(prev_index)?;
        let mut records = match needs_snapshot {
            true => Vec::new(),
            false => self.log.slice(peer.next_index, batch),
        };
        truncate_to_bytes(&mut records, self.limits.max_batch_bytes);
        peer.next_index += records.len() as LogIndex;
        peer.in_flight_since = (!records.is_empty()).then_some(now);
        let message = ReplicaMessage::Append {
            prev_index,
            prev_term,
            records,
            commit,
            round,
            may_join_quorum,
        };
        Some(self.send(name.clone(), message))
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Instant,
        from: &NodeId,
        term: Term,
        ack: &Ack,
    ) -> Vec<ReplicaStep> {
        if term > self.hard_state.term {
            return self.advance_term(now, term);
        }
        if term != self.hard_state.term || !self.record_ack(now, from, ack) {
            return Vec::new();
        }
        let mut steps = self.start_requalification(now, from);
        steps.extend(self.advance_commit(now));
        steps.extend(self.propose_joining(now));
        if self.needs_append(now, from, ack) {
            steps.extend(self.replicate_one(now, from));
        }
        steps
    }

    /// Updates a follower's progress. Returns `false` for a reply of an unknown
    /// host or of an earlier process.
    fn record_ack(&mut self, now: Instant, from: &NodeId, ack: &Ack) -> bool {
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return false };
        let round_sent_at = leader.round_sent_at(ack.round);
        let Some(peer) = leader.peers.get_mut(from) else { return false };
        if ack.boot < peer.boot {
            return false;
        }
        if ack.boot > peer.boot && !ack.counts_toward_quorum {
            // The follower lost its disk, and with it all acknowledged records.
            peer.match_index = 0;
            peer.requalify_index = None;
        }
        if ack.boot > peer.boot {
            peer.transfer = OutgoingTransfer::default();
        }
        peer.transfer.on_reply(ack.snapshot);
        peer.in_flight_since = None;
        peer.boot = ack.boot;
        peer.counts_toward_quorum = ack.counts_toward_quorum;
        peer.acked_round_sent_at = peer.acked_round_sent_at.max(round_sent_at);
        if ack.accepted {
            peer.match_index = peer.match_index.max(ack.match_index.min(last_index));
            peer.next_index = peer.next_index.max(peer.match_index + 1);
            peer.transfer = OutgoingTransfer::default();
        } else {
            peer.next_index =
                ack.match_index.min(last_index).saturating_add(1).max(peer.match_index + 1);
        }
        if let Some(joining) = leader.joining.get_mut(from) {
            let received_bytes = ack.snapshot.map_or(0, |received| received.bytes);
            joining.record_progress(now, (peer.match_index, received_bytes));
        }
        true
    }

    /// Whether records are to be sent at once: the last append was rejected, or
    /// there are records that were not sent yet. To a follower that needs a snapshot, its
    /// next part is.
    fn needs_append(&self, now: Instant, name: &NodeId, ack: &Ack) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let Some(peer) = leader.peers.get(name) else { return false };
        if peer.next_index <= self.log.mark().index {
            return peer.transfer.is_due(now);
        }
        !ack.accepted || peer.next_index <= self.log.last_index()
    }

    /// Appends a no-op after which a copy outside the commit quorum may count
    /// again. Once the no-op is committed without that copy, a majority of the
    /// group follows this leader without it, whatever the host voted for or
    /// acknowledged before it lost its disk.
    fn start_requalification(&mut self, now: Instant, name: &NodeId) -> Vec<ReplicaStep> {
        let requalify_index = self.log.last_index() + 1;
        let Role::Leader(leader) = &mut self.role else { return Vec::new() };
        let Some(peer) = leader.peers.get_mut(name) else { return Vec::new() };
        if peer.counts_toward_quorum || peer.requalify_index.is_some() {
            return Vec::new();
        }
        peer.requalify_index = Some(requalify_index);
        self.append_records(now, 0, vec![Command::Noop])
    }

    /// Whether a copy outside the commit quorum may count again.
    fn has_requalified(&self, peer: &PeerProgress) -> bool {
        let committed_and_stored = |from| self.commit_index >= from && peer.match_index >= from;
        !peer.counts_toward_quorum && peer.requalify_index.is_some_and(committed_and_stored)
    }

    fn replicate_one(&mut self, now: Instant, name: &NodeId) -> Option<ReplicaStep> {
        let Role::Leader(leader) = &mut self.role else { return None };
        let round = leader.start_round(now);
        self.replicate(now, name, round)
    }

    /// Advances the commit index to the highest index that a majority has synced.
    /// Only a record of the current term is committed by counting copies.
    pub(super) fn advance_commit(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let synced = |peer: &ControlPeer| {
            if peer.name == self.name {
                return self.synced_index;
            }
            let progress =
                leader.peers.get(&peer.name).filter(|progress| progress.counts_toward_quorum);
            progress.map_or(0, |progress| progress.match_index)
        };
        let mut match_indexes: Vec<LogIndex> = self.log.group().iter().map(synced).collect();
        match_indexes.sort_unstable();
        let Some(quorum_index) = match_indexes.get(match_indexes.len() - self.majority()).copied()
        else {
            return Vec::new();
        };
        if quorum_index <= self.commit_index
            || self.log.term_at(quorum_index) != Some(self.hard_state.term)
        {
            return Vec::new();
        }
        self.commit_index = quorum_index;
        if !self.is_voter(&self.name) && self.commit_index >= self.log.group_index() {
            // This host has been removed from the group. The followers learn the
            // commit index before it steps down.
            let steps = self.replicate_all(now);
            self.become_follower(now);
            return steps;
        }
        Vec::new()
    }

    pub(super) fn on_leader_tick(&mut self, now: Instant) -> Vec<ReplicaStep> {
        if !self.has_quorum_contact(now) {
            self.become_follower(now);
            return Vec::new();
        }
        let mut steps = self.give_up_joining(now);
        let heartbeat = self.limits.heartbeat_interval;
        let Role::Leader(leader) = &mut self.role else { return Vec::new() };
        let is_due = |peer: &PeerProgress| peer.last_sent_at.is_none_or(|at| at + heartbeat <= now);
        let due: Vec<NodeId> = leader
            .peers
            .iter()
            .filter(|(_, peer)| is_due(peer))
            .map(|(name, _)| name.clone())
            .collect();
        if due.is_empty() {
            return steps;
        }
        let round = leader.start_round(now);
        steps.extend(due.iter().filter_map(|name| self.replicate(now, name, round)));
        steps
    }

    /// Latest time such that a majority has acknowledged a round sent then or
    /// later. `None` until a majority has acknowledged any round.
    fn quorum_contact(&self, now: Instant) -> Option<Instant> {
        let Role::Leader(leader) = &self.role else { return None };
        let last_acked = |peer: &ControlPeer| {
            if peer.name == self.name {
                return Some(now);
            }
            leader.peers.get(&peer.name).and_then(|progress| progress.acked_round_sent_at)
        };
        let mut ack_times: Vec<Option<Instant>> = self.log.group().iter().map(last_acked).collect();
        ack_times.sort_unstable();
        ack_times.get(ack_times.len() - self.majority()).copied().flatten()
    }

    /// Whether a majority acknowledged a round within the election timeout;
    /// otherwise the leader steps down. A new leader is given one election timeout
    /// for its first round.
    fn has_quorum_contact(&self, now: Instant) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let since =
            self.quorum_contact(now).map_or(leader.elected_at, |at| at.max(leader.elected_at));
        now < since + self.limits.min_election_timeout
    }

    /// Gives up the lead once its lease has expired. What follows from a lead is forgotten then,
    /// so it must not come back in the same term. A new leader has no lease yet.
    pub(super) fn give_up_lapsed_lead(&mut self, now: Instant) {
        let Role::Leader(leader) = &self.role else { return };
        if self.commit_index >= leader.noop_index && !self.holds_lease(now) {
            self.become_follower(now);
        }
    }

    /// Whether the leader lease is valid. No other leader can be elected meanwhile:
    /// a follower grants no vote within an election timeout of the leader's last
    /// message, and the lease is shorter than that by the clock drift bound.
    pub(super) fn holds_lease(&self, now: Instant) -> bool {
        let lease = self.limits.min_election_timeout.mul_f64(1.0 - MAX_CLOCK_DRIFT_RATIO);
        self.quorum_contact(now).is_some_and(|at| now < at + lease)
    }

    /// Whether a follower counts towards the commit quorum and has stored all
    /// committed records.
    pub(super) fn has_caught_up(&self, name: &NodeId) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let progress = leader.peers.get(name);
        progress.is_some_and(|progress| {
            progress.match_index >= self.commit_index && progress.counts_toward_quorum
        })
    }
}

/// Drops the last records beyond an encoded size in bytes; the first one stays.
fn truncate_to_bytes(records: &mut Vec<LogRecord>, max_bytes: usize) {
    let mut bytes = 0;
    let fitting = records.iter().take_while(|record| {
        bytes += record.encoded_len();
        bytes <= max_bytes
    });
    let count = fitting.count();
    records.truncate(count.max(1));
}
