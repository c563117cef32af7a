//! The group of control hosts: forming a new one, coming back without a disk,
//! and changes of one host at a time.

use std::time::{Duration, Instant};

use model::{Command, CommandResult, ControlPeer, LogIndex, NodeId, ReplicaMessage};

use super::lead::JoiningHost;
use super::{Replica, ReplicaStep, Role};

/// How often a replica without data asks whether its group is new.
const HELLO_INTERVAL: Duration = Duration::from_millis(100);

/// How a wished change of the group goes on.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupChange {
    /// It is in the log at this position.
    Logged {
        /// The position.
        index: LogIndex,
        /// What follows.
        steps: Vec<ReplicaStep>,
    },
    /// The new host is catching up; it is logged when it has.
    CatchingUp {
        /// What follows.
        steps: Vec<ReplicaStep>,
    },
    /// It can't be made.
    Refused(CommandResult),
}

impl Replica {
    pub(super) fn say_hello(&mut self, now: Instant) -> Vec<ReplicaStep> {
        if self.hard.formed || now < self.hello_at {
            return Vec::new();
        }
        self.hello_at = now + HELLO_INTERVAL;
        let fresh = self.is_fresh();
        let others = self.others().into_iter();
        others.map(|to| self.send(to, ReplicaMessage::Hello { fresh, asks: true })).collect()
    }

    /// Whether this replica has promised nothing yet, as far as it knows.
    fn is_fresh(&self) -> bool {
        self.may_found && self.hard.term == 0 && self.log.last_index() == 0
    }

    /// A group is new when no other host has promised anything: a majority of
    /// any earlier history would be known to one of them. A host that finds
    /// others with history has lost its disk, and waits to be caught up.
    pub(super) fn on_hello(&mut self, from: &NodeId, fresh: bool, asks: bool) -> Vec<ReplicaStep> {
        if !self.is_voter(&self.name) || !self.is_voter(from) {
            return Vec::new();
        }
        let mut steps = Vec::new();
        if asks {
            let answer = ReplicaMessage::Hello { fresh: self.is_fresh(), asks: false };
            steps.push(self.send(from.clone(), answer));
        }
        if self.hard.formed {
            return steps;
        }
        if !fresh || !self.is_fresh() {
            self.fresh.clear();
            return steps;
        }
        self.fresh.insert(from.clone());
        if self.fresh.len() == self.others().len() {
            self.hard.formed = true;
            steps.push(ReplicaStep::PersistHardState(self.hard.clone()));
        }
        steps
    }

    /// Wishes another group. A host that is added catches up first; only then
    /// does it count.
    pub fn change_group(
        &mut self,
        now: Instant,
        at_ms: u64,
        group: Vec<ControlPeer>,
    ) -> Option<GroupChange> {
        if !self.takes_proposals() {
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
            return Some(GroupChange::Logged { index, steps });
        };
        if let Role::Leader(leader) = &mut self.role {
            leader.joining = Some(JoiningHost { peer, group });
        }
        self.follow_group();
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
        if self.commit < self.log.group_index() {
            return Err("an earlier change of the group is not committed yet");
        }
        let Role::Leader(leader) = &self.role else { return Err("this host does not lead") };
        if self.commit < leader.first_index() {
            return Err("the leader has just been elected; try again");
        }
        if leader.joining.is_some() {
            return Err("another host is catching up");
        }
        Ok(())
    }

    /// Logs the change of the group once the joining host has caught up.
    pub(super) fn admit_joining(&mut self, now: Instant) -> Vec<ReplicaStep> {
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

    /// The group without a host that has been silent for long, when the group
    /// has more hosts than `wanted`: another has taken its place.
    pub fn group_without_silent(
        &self,
        now: Instant,
        wanted: usize,
        silence: Duration,
    ) -> Option<Vec<ControlPeer>> {
        let Role::Leader(leader) = &self.role else { return None };
        let group = self.log.group();
        if group.len() <= wanted || leader.joining.is_some() {
            return None;
        }
        let silent = group.iter().find(|peer| {
            peer.name != self.name && leader.silent_since(&peer.name) + silence <= now
        })?;
        Some(group.iter().filter(|peer| *peer != silent).cloned().collect())
    }

    /// The host that is catching up, for whom a connection is needed.
    pub fn joining(&self) -> Option<&ControlPeer> {
        match &self.role {
            Role::Leader(leader) => leader.joining.as_ref().map(|joining| &joining.peer),
            _ => None,
        }
    }
}
