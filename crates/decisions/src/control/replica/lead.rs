//! Leading: replication to followers, commitment, the leader's lease.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{Command, ControlPeer, Incarnation, LogIndex, LogRecord, NodeId, ReplicaMessage, Term};

use super::{Replica, ReplicaStep, Role};

/// Clocks of two hosts drift apart by less than this share.
const DRIFT_SHARE: f64 = 0.05;
/// How long a snapshot may take before it is sent again.
const SNAPSHOT_LIMIT: Duration = Duration::from_secs(5);
/// Rounds whose time of sending is kept.
const MOST_ROUNDS: usize = 4_096;

#[derive(Debug, Clone, PartialEq)]
pub(super) struct PeerProgress {
    next: LogIndex,
    matched: LogIndex,
    /// Process that last answered; answers of earlier ones are ignored.
    boot: Incarnation,
    /// Whether its copy counts for durability.
    counts: bool,
    /// Position from which on commitment proves that the group does without
    /// this copy; set while it does not count.
    proof_from: Option<LogIndex>,
    /// When the latest round that it acknowledged was sent.
    acked_at: Option<Instant>,
    sent_at: Option<Instant>,
    /// Since when records are on their way; the next ones wait for the answer
    /// and then go together.
    waiting_since: Option<Instant>,
    snapshot_until: Option<Instant>,
}

impl PeerProgress {
    fn new(next: LogIndex) -> PeerProgress {
        PeerProgress {
            next,
            matched: 0,
            boot: 0,
            counts: false,
            proof_from: None,
            acked_at: None,
            sent_at: None,
            waiting_since: None,
            snapshot_until: None,
        }
    }
}

/// A follower's acknowledgement.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ack {
    pub(super) boot: Incarnation,
    pub(super) accepted: bool,
    pub(super) match_index: LogIndex,
    pub(super) round: u64,
    pub(super) counts: bool,
}

/// A change of the group that waits until the new host has caught up.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct JoiningHost {
    pub(super) peer: ControlPeer,
    pub(super) group: Vec<ControlPeer>,
}

#[derive(Debug, Clone, PartialEq)]
pub(super) struct LeaderState {
    pub(super) peers: IndexMap<NodeId, PeerProgress>,
    pub(super) joining: Option<JoiningHost>,
    first_index: LogIndex,
    since: Instant,
    round: u64,
    rounds: VecDeque<(u64, Instant)>,
}

impl LeaderState {
    /// Position of the first record of the leader's own term.
    pub(super) fn first_index(&self) -> LogIndex {
        self.first_index
    }

    /// When a host was last heard, or when this host began to lead.
    pub(super) fn silent_since(&self, name: &NodeId) -> Instant {
        let heard = self.peers.get(name).and_then(|peer| peer.acked_at);
        heard.map_or(self.since, |at| at.max(self.since))
    }

    pub(super) fn next_heartbeat(&self, heartbeat: Duration) -> Option<Instant> {
        let due = |peer: &PeerProgress| peer.sent_at.map_or(self.since, |at| at + heartbeat);
        self.peers.values().map(due).min()
    }

    pub(super) fn progress(&self) -> Vec<(NodeId, LogIndex)> {
        self.peers.iter().map(|(name, peer)| (name.clone(), peer.matched)).collect()
    }

    fn new_round(&mut self, now: Instant) -> u64 {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > MOST_ROUNDS {
            self.rounds.pop_front();
        }
        self.round
    }

    fn sent_at(&self, round: u64) -> Option<Instant> {
        let position = self.rounds.binary_search_by_key(&round, |(round, _)| *round).ok()?;
        self.rounds.get(position).map(|(_, at)| *at)
    }
}

impl Replica {
    pub(super) fn become_leader(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let next = self.log.last_index() + 1;
        let peers = self.others().into_iter().map(|name| (name, PeerProgress::new(next)));
        self.role = Role::Leader(LeaderState {
            peers: peers.collect(),
            joining: None,
            first_index: next,
            since: now,
            round: 0,
            rounds: VecDeque::new(),
        });
        self.leader = None;
        let at_ms = self.log.record(next - 1).map_or(0, |record| record.at_ms);
        self.append_records(now, at_ms, vec![Command::Noop])
    }

    /// Writes commands into the log; gives the position of the first.
    pub fn propose(
        &mut self,
        now: Instant,
        at_ms: u64,
        commands: Vec<Command>,
    ) -> Option<(LogIndex, Vec<ReplicaStep>)> {
        if !self.takes_proposals() {
            return None;
        }
        let first = self.log.last_index() + 1;
        Some((first, self.append_records(now, at_ms, commands)))
    }

    /// Time in the log never goes back.
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
            self.log.push(LogRecord { index, term: self.hard.term, at_ms, command });
        }
        self.follow_group();
        let records = self.log.slice(from, usize::MAX);
        let mut steps = vec![ReplicaStep::PersistRecords { from, records }];
        steps.extend(self.replicate_all(now));
        steps
    }

    /// Keeps progress for exactly the group's other hosts and the joining one.
    pub(super) fn follow_group(&mut self) {
        let others = self.others();
        let next = self.log.last_index() + 1;
        let Role::Leader(leader) = &mut self.role else { return };
        let joining = leader.joining.as_ref().map(|joining| joining.peer.name.clone());
        leader.peers.retain(|name, _| others.contains(name) || Some(name) == joining.as_ref());
        for name in others.into_iter().chain(joining) {
            leader.peers.entry(name).or_insert_with(|| PeerProgress::new(next));
        }
    }

    pub(super) fn replicate_all(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let Role::Leader(leader) = &mut self.role else { return Vec::new() };
        let round = leader.new_round(now);
        let names: Vec<NodeId> = leader.peers.keys().cloned().collect();
        names.iter().filter_map(|name| self.replicate(now, name, round)).collect()
    }

    /// Sends a follower what it lacks, or a heartbeat.
    fn replicate(&mut self, now: Instant, name: &NodeId, round: u64) -> Option<ReplicaStep> {
        let batch = self.limits.batch_records;
        let heartbeat = self.limits.heartbeat;
        let (first_kept, commit) = (self.log.mark().index + 1, self.commit);
        let may_count = match &self.role {
            Role::Leader(leader) => leader.peers.get(name).is_some_and(|peer| self.may_count(peer)),
            _ => false,
        };
        let Role::Leader(leader) = &mut self.role else { return None };
        let peer = leader.peers.get_mut(name)?;
        if peer.waiting_since.is_some_and(|since| now < since + heartbeat) {
            return None;
        }
        peer.sent_at = Some(now);
        if peer.next < first_kept {
            if peer.snapshot_until.is_some_and(|until| now < until) {
                return None;
            }
            peer.snapshot_until = Some(now + SNAPSHOT_LIMIT);
            return Some(ReplicaStep::SendSnapshot { to: name.clone(), round });
        }
        let prev_index = peer.next - 1;
        let prev_term = self.log.term_at(prev_index)?;
        let records = self.log.slice(peer.next, batch);
        peer.next += records.len() as LogIndex;
        peer.waiting_since = (!records.is_empty()).then_some(now);
        let message =
            ReplicaMessage::Append { prev_index, prev_term, records, commit, round, may_count };
        Some(self.send(name.clone(), message))
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Instant,
        from: &NodeId,
        term: Term,
        ack: &Ack,
    ) -> Vec<ReplicaStep> {
        if term > self.hard.term {
            return self.follow_term(now, term);
        }
        if term != self.hard.term || !self.note_ack(from, ack) {
            return Vec::new();
        }
        let mut steps = self.ask_for_proof(now, from);
        steps.extend(self.advance_commit(now));
        steps.extend(self.admit_joining(now));
        if self.is_behind(from, ack) {
            steps.extend(self.replicate_one(now, from));
        }
        steps
    }

    /// Takes an acknowledgement; `false` when it is of no use any more.
    fn note_ack(&mut self, from: &NodeId, ack: &Ack) -> bool {
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return false };
        let sent_at = leader.sent_at(ack.round);
        let Some(peer) = leader.peers.get_mut(from) else { return false };
        if ack.boot < peer.boot {
            return false;
        }
        if ack.boot > peer.boot && !ack.counts {
            // It lost its disk: what it held before is gone.
            peer.matched = 0;
            peer.proof_from = None;
        }
        peer.waiting_since = None;
        peer.boot = ack.boot;
        peer.counts = ack.counts;
        peer.acked_at = peer.acked_at.max(sent_at);
        if ack.accepted {
            peer.matched = peer.matched.max(ack.match_index.min(last_index));
            peer.next = peer.next.max(peer.matched + 1);
            peer.snapshot_until = None;
        } else {
            peer.next = (ack.match_index + 1).min(last_index + 1).max(peer.matched + 1);
        }
        true
    }

    fn is_behind(&self, name: &NodeId, ack: &Ack) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let lacks = |peer: &PeerProgress| peer.next <= self.log.last_index();
        !ack.accepted || leader.peers.get(name).is_some_and(lacks)
    }

    /// A copy that does not count may count again once a record that is
    /// written after this was committed without it: then a majority of the
    /// others follows this leader, whatever the copy promised before it was
    /// lost.
    fn ask_for_proof(&mut self, now: Instant, name: &NodeId) -> Vec<ReplicaStep> {
        let proof_from = self.log.last_index() + 1;
        let Role::Leader(leader) = &mut self.role else { return Vec::new() };
        let Some(peer) = leader.peers.get_mut(name) else { return Vec::new() };
        if peer.counts || peer.proof_from.is_some() {
            return Vec::new();
        }
        peer.proof_from = Some(proof_from);
        self.append_records(now, 0, vec![Command::Noop])
    }

    fn may_count(&self, peer: &PeerProgress) -> bool {
        let proved = |from| self.commit >= from && peer.matched >= from;
        !peer.counts && peer.proof_from.is_some_and(proved)
    }

    fn replicate_one(&mut self, now: Instant, name: &NodeId) -> Option<ReplicaStep> {
        let Role::Leader(leader) = &mut self.role else { return None };
        let round = leader.new_round(now);
        self.replicate(now, name, round)
    }

    /// Commits what a majority has synced, if it is of this leader's term.
    pub(super) fn advance_commit(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let held = |peer: &ControlPeer| {
            if peer.name == self.name {
                return self.synced;
            }
            let progress = leader.peers.get(&peer.name).filter(|progress| progress.counts);
            progress.map_or(0, |progress| progress.matched)
        };
        let mut matched: Vec<LogIndex> = self.log.group().iter().map(held).collect();
        matched.sort_unstable();
        let Some(agreed) = matched.get(matched.len() - self.majority()).copied() else {
            return Vec::new();
        };
        if agreed <= self.commit || self.log.term_at(agreed) != Some(self.hard.term) {
            return Vec::new();
        }
        self.commit = agreed;
        if !self.is_voter(&self.name) && self.commit >= self.log.group_index() {
            // The group goes on without this host.
            let steps = self.replicate_all(now);
            self.become_follower(now);
            return steps;
        }
        Vec::new()
    }

    pub(super) fn lead_tick(&mut self, now: Instant) -> Vec<ReplicaStep> {
        if !self.is_heard_by_majority(now) {
            self.become_follower(now);
            return Vec::new();
        }
        let heartbeat = self.limits.heartbeat;
        let Role::Leader(leader) = &mut self.role else { return Vec::new() };
        let quiet = |peer: &PeerProgress| peer.sent_at.is_none_or(|at| at + heartbeat <= now);
        let due: Vec<NodeId> = leader
            .peers
            .iter()
            .filter(|(_, peer)| quiet(peer))
            .map(|(name, _)| name.clone())
            .collect();
        if due.is_empty() {
            return Vec::new();
        }
        let round = leader.new_round(now);
        due.iter().filter_map(|name| self.replicate(now, name, round)).collect()
    }

    /// When a majority last acknowledged a round, by the time of its sending.
    fn quorum_at(&self, now: Instant) -> Option<Instant> {
        let Role::Leader(leader) = &self.role else { return None };
        let heard = |peer: &ControlPeer| {
            if peer.name == self.name {
                return Some(now);
            }
            leader.peers.get(&peer.name).and_then(|progress| progress.acked_at)
        };
        let mut acked: Vec<Option<Instant>> = self.log.group().iter().map(heard).collect();
        acked.sort_unstable();
        acked.get(acked.len() - self.majority()).copied().flatten()
    }

    /// A leader that a majority does not answer steps down by its own clock; a
    /// new one gets as long as a follower would wait.
    fn is_heard_by_majority(&self, now: Instant) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let since = self.quorum_at(now).map_or(leader.since, |at| at.max(leader.since));
        now < since + self.limits.election
    }

    /// Whether no other leader can have been elected since.
    pub(super) fn holds_lease(&self, now: Instant) -> bool {
        let lease = self.limits.election.mul_f64(1.0 - DRIFT_SHARE);
        self.quorum_at(now).is_some_and(|at| now < at + lease)
    }

    /// Whether a follower holds everything that is committed.
    pub(super) fn has_caught_up(&self, name: &NodeId) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let progress = leader.peers.get(name);
        progress.is_some_and(|progress| progress.matched >= self.commit && progress.counts)
    }
}
