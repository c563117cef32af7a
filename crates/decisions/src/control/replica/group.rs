//! Membership of the group of control hosts: bootstrap of a new group, detection
//! of a lost disk, and single-server changes (Raft thesis, sections 4.1 and 4.2).
//!
//! Invariants:
//! - consecutive groups differ in exactly one host, so their majorities overlap;
//! - a change is appended only once the previous one is committed, and once the
//!   leader has committed a record of its own term;
//! - hosts catch up independently of each other and of other changes, so one that is lost
//!   meanwhile bars nothing. One that makes no progress for [`JOIN_TIMEOUT`] is given up; it
//!   may ask again.

use std::time::{Duration, Instant};

use model::{Command, CommandResult, ControlPeer, EventLine, LogIndex, NodeId, ReplicaMessage};

use indexmap::IndexSet;

use super::leader::JoiningHost;
use super::{Replica, ReplicaStep, Role};

/// Interval at which a replica without data queries the others for whether the
/// group is new.
const HELLO_INTERVAL: Duration = Duration::from_millis(100);

/// Time without progress after which a joining host is given up. It spans several attempts
/// to send a snapshot.
const JOIN_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of hosts that catch up at a time.
const MAX_JOINING_HOSTS: usize = 8;

/// Outcome of a requested change of the group.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupChange {
    /// The change was appended to the log.
    Appended {
        /// Index of its record.
        index: LogIndex,
        /// Actions for the caller.
        steps: Vec<ReplicaStep>,
    },
    /// The new host is catching up. The change is appended to the log afterwards.
    CatchingUp {
        /// Actions for the caller.
        steps: Vec<ReplicaStep>,
    },
    /// The change is not possible; the result has the reason.
    Refused(CommandResult),
}

impl Replica {
    /// Queries the other hosts for whether they have history, until this replica
    /// counts towards the quorum.
    pub(super) fn send_hellos(&mut self, now: Instant) -> Vec<ReplicaStep> {
        if self.hard_state.in_quorum || now < self.next_hello_at {
            return Vec::new();
        }
        self.next_hello_at = now + HELLO_INTERVAL;
        let fresh = self.is_fresh();
        let others = self.others().into_iter();
        others.map(|to| self.send(to, ReplicaMessage::Hello { fresh, wants_reply: true })).collect()
    }

    /// Whether this replica has no stored term and no records, and may bootstrap a
    /// group.
    fn is_fresh(&self) -> bool {
        self.may_bootstrap && self.hard_state.term == 0 && self.log.last_index() == 0
    }

    /// Forms a new group once every other host has reported that it has no history.
    /// If the group had any earlier history, a majority would have stored it, and
    /// so at least one of these hosts. A host without history that finds another
    /// with history has lost its disk, and waits until the leader has caught it up.
    pub(super) fn on_hello(
        &mut self,
        from: &NodeId,
        fresh: bool,
        wants_reply: bool,
    ) -> Vec<ReplicaStep> {
        if !self.is_voter(&self.name) || !self.is_voter(from) {
            return Vec::new();
        }
        let mut steps = Vec::new();
        if wants_reply {
            let reply = ReplicaMessage::Hello { fresh: self.is_fresh(), wants_reply: false };
            steps.push(self.send(from.clone(), reply));
        }
        if self.hard_state.in_quorum {
            return steps;
        }
        if !fresh || !self.is_fresh() {
            self.fresh_peers.clear();
            return steps;
        }
        self.fresh_peers.insert(from.clone());
        if self.fresh_peers.len() == self.others().len() {
            self.hard_state.in_quorum = true;
            steps.push(ReplicaStep::PersistHardState(self.hard_state.clone()));
        }
        steps
    }

    /// Starts a change to `group`, which must differ in one host. An added host
    /// catches up first and votes only from then on. `None` if this replica is not
    /// the leader.
    pub fn change_group(
        &mut self,
        now: Instant,
        at_ms: u64,
        group: Vec<ControlPeer>,
    ) -> Option<GroupChange> {
        if !self.is_leader() {
            return None;
        }
        if let Err(reason) = self.check_group(&group) {
            let result = CommandResult::GroupRefused { reason: reason.into() };
            return Some(GroupChange::Refused(result));
        }
        let added = group.iter().find(|peer| !self.is_voter(&peer.name)).cloned();
        let Some(peer) = added else {
            let index = self.log.last_index() + 1;
            let steps = self.append_records(now, at_ms, vec![Command::ChangeGroup { group }]);
            return Some(GroupChange::Appended { index, steps });
        };
        let line = EventLine::new("group_join_started")
            .with("host", &peer.name)
            .with("address", peer.address)
            .with("last_index", self.log.last_index());
        if let Role::Leader(leader) = &mut self.role {
            leader.joining.insert(peer.name.clone(), JoiningHost::new(now, peer));
        }
        self.update_peers();
        let mut steps = vec![ReplicaStep::Log(line)];
        steps.extend(self.replicate_all(now));
        Some(GroupChange::CatchingUp { steps })
    }

    fn check_group(&self, group: &[ControlPeer]) -> Result<(), &'static str> {
        let current = self.log.group();
        let added = group.iter().filter(|peer| !current.contains(peer)).count();
        let removed = current.iter().filter(|peer| !group.contains(peer)).count();
        if group.is_empty() || added + removed != 1 {
            return Err("the new group must differ from the current one in exactly one host");
        }
        let Role::Leader(leader) = &self.role else { return Err("this host is not the leader") };
        let names: IndexSet<&NodeId> = group.iter().map(|peer| &peer.name).collect();
        if names.len() != group.len() {
            return Err("two hosts of the new group have one name");
        }
        if added == 0 {
            return self.check_settled();
        }
        let mut joining = leader.joining.values().map(|joining| &joining.peer);
        if joining.any(|peer| group.contains(peer) && !current.contains(peer)) {
            return Err("this host is catching up already");
        }
        if leader.joining.len() >= MAX_JOINING_HOSTS {
            return Err("as many hosts as possible are catching up");
        }
        Ok(())
    }

    /// Whether a change of the group may be appended now.
    fn check_settled(&self) -> Result<(), &'static str> {
        let Role::Leader(leader) = &self.role else { return Err("this host is not the leader") };
        if !self.is_group_committed() {
            return Err("an earlier change of the group is not committed yet");
        }
        if self.commit_index < leader.noop_index() {
            return Err("the leader has just been elected; try again");
        }
        Ok(())
    }

    /// Appends the change of the group that adds a joining host, once one has caught up.
    pub(super) fn propose_joining(&mut self, now: Instant) -> Vec<ReplicaStep> {
        if self.check_settled().is_err() {
            return Vec::new();
        }
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let ready = leader.joining.keys().find(|name| self.has_caught_up(name)).cloned();
        let Role::Leader(leader) = &mut self.role else { return Vec::new() };
        let joined = ready.and_then(|name| leader.joining.shift_remove(&name));
        let Some(JoiningHost { peer, since, .. }) = joined else { return Vec::new() };
        let line = EventLine::new("group_join_caught_up")
            .with("host", &peer.name)
            .with("took_ms", now.saturating_duration_since(since).as_millis());
        let group = self.log.group().iter().cloned().chain([peer]).collect();
        let mut steps = vec![ReplicaStep::Log(line)];
        steps.extend(self.append_records(now, 0, vec![Command::ChangeGroup { group }]));
        steps
    }

    /// Gives up the joining hosts that have made no progress for [`JOIN_TIMEOUT`].
    pub(super) fn give_up_joining(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let Role::Leader(leader) = &mut self.role else { return Vec::new() };
        let stalled = |joining: &JoiningHost| joining.progressed_at + JOIN_TIMEOUT <= now;
        let given_up: Vec<JoiningHost> = leader
            .joining
            .extract_if(.., |_, joining| stalled(joining))
            .map(|(_, host)| host)
            .collect();
        if given_up.is_empty() {
            return Vec::new();
        }
        self.update_peers();
        let lines = given_up.into_iter().map(|JoiningHost { peer, since, progress, .. }| {
            EventLine::new("group_join_given_up")
                .with("host", &peer.name)
                .with("address", peer.address)
                .with("joining_ms", now.saturating_duration_since(since).as_millis())
                .with("index", progress.0)
                .with("snapshot_bytes", progress.1)
        });
        lines.map(ReplicaStep::Log).collect()
    }

    /// The group without one host that has not acknowledged a round for
    /// `contact_timeout`. `None` unless the group has more than `target_size`
    /// hosts, which means that a replacement has already joined, and can be changed now.
    pub fn group_without_unreachable(
        &self,
        now: Instant,
        target_size: usize,
        contact_timeout: Duration,
    ) -> Option<Vec<ControlPeer>> {
        let Role::Leader(leader) = &self.role else { return None };
        let group = self.log.group();
        if group.len() <= target_size || self.check_settled().is_err() {
            return None;
        }
        let unreachable = group.iter().find(|peer| {
            peer.name != self.name && leader.last_contact(&peer.name) + contact_timeout <= now
        })?;
        Some(group.iter().filter(|peer| *peer != unreachable).cloned().collect())
    }

    /// Whether the latest group in the log is committed.
    pub fn is_group_committed(&self) -> bool {
        self.commit_index >= self.log.group_index()
    }

    /// The hosts that are catching up, on their leader.
    pub fn joining(&self) -> impl Iterator<Item = &JoiningHost> {
        let leader = match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        };
        leader.into_iter().flat_map(|leader| leader.joining.values())
    }
}
