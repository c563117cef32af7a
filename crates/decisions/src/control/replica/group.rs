//! Membership of the group of control hosts: bootstrap of a new group, detection
//! of a lost disk, and single-server changes (Raft thesis, sections 4.1 and 4.2).
//!
//! Invariants:
//! - consecutive groups differ in exactly one host, so their majorities overlap;
//! - a change is appended only once the previous one is committed, and once the
//!   leader has committed a record of its own term.

use std::time::{Duration, Instant};

use model::{Command, CommandResult, ControlPeer, LogIndex, NodeId, ReplicaMessage};

use super::leader::JoiningHost;
use super::{Replica, ReplicaStep, Role};

/// Interval at which a replica without data queries the others for whether the
/// group is new.
const HELLO_INTERVAL: Duration = Duration::from_millis(100);

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
        if let Role::Leader(leader) = &mut self.role {
            leader.joining = Some(JoiningHost { peer, group });
        }
        self.update_peers();
        let steps = self.replicate_all(now);
        Some(GroupChange::CatchingUp { steps })
    }

    fn check_group(&self, group: &[ControlPeer]) -> Result<(), &'static str> {
        let current = self.log.group();
        let added = group.iter().filter(|peer| !current.contains(peer)).count();
        let removed = current.iter().filter(|peer| !group.contains(peer)).count();
        if group.is_empty() || added + removed != 1 {
            return Err("the new group must differ from the current one in exactly one host");
        }
        if self.commit_index < self.log.group_index() {
            return Err("an earlier change of the group is not committed yet");
        }
        let Role::Leader(leader) = &self.role else { return Err("this host is not the leader") };
        if self.commit_index < leader.noop_index() {
            return Err("the leader has just been elected; try again");
        }
        if leader.joining.is_some() {
            return Err("another host is catching up");
        }
        Ok(())
    }

    /// Appends the pending change of the group once the joining host has caught
    /// up.
    pub(super) fn propose_joining(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let Some(joining) = leader.joining.clone() else { return Vec::new() };
        if !self.has_caught_up(&joining.peer.name) {
            return Vec::new();
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.joining = None;
        }
        let command = Command::ChangeGroup { group: joining.group };
        self.append_records(now, 0, vec![command])
    }

    /// The group without one host that has not acknowledged a round for
    /// `contact_timeout`. `None` unless the group has more than `target_size`
    /// hosts, which means that a replacement has already joined.
    pub fn group_without_unreachable(
        &self,
        now: Instant,
        target_size: usize,
        contact_timeout: Duration,
    ) -> Option<Vec<ControlPeer>> {
        let Role::Leader(leader) = &self.role else { return None };
        let group = self.log.group();
        if group.len() <= target_size || leader.joining.is_some() {
            return None;
        }
        let unreachable = group.iter().find(|peer| {
            peer.name != self.name && leader.last_contact(&peer.name) + contact_timeout <= now
        })?;
        Some(group.iter().filter(|peer| *peer != unreachable).cloned().collect())
    }

    /// The host that is catching up. The leader needs a connection to it although
    /// it is not in the group yet.
    pub fn joining(&self) -> Option<&ControlPeer> {
        match &self.role {
            Role::Leader(leader) => leader.joining.as_ref().map(|joining| &joining.peer),
            _ => None,
        }
    }
}
