//! Replicated part of membership: the current members, and the fences of entries
//! whose lease lapsed.
//!
//! Invariants:
//! - the version grows with each change;
//! - an incarnation that lapsed, or was replaced by a later one, never becomes a
//!   member again.

use indexmap::IndexMap;
use model::{Incarnation, MemberRecord, MembersVersion, NodeId, NodeRole, PendingFence};
use serde::{Deserialize, Serialize};

/// Effect of a membership change on the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum MemberChange {
    /// Nothing changed.
    None,
    /// A node joined, or its record changed within the same incarnation.
    Joined,
    /// An incarnation of an entry ended.
    EntryEnded { incarnation: Incarnation },
    /// An incarnation of an agent ended, and with it the agent's in-memory state.
    AgentEnded,
}

/// Members by node, and fences by entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberStore {
    version: MembersVersion,
    members: IndexMap<NodeId, MemberRecord>,
    /// Incarnations of those members that are agents.
    agents: IndexMap<NodeId, Incarnation>,
    ended: IndexMap<NodeId, Incarnation>,
    fences: IndexMap<NodeId, Incarnation>,
    pending: Vec<PendingFence>,
}

impl MemberStore {
    /// Version of the member list; 0 before the first change.
    pub fn version(&self) -> MembersVersion {
        self.version
    }

    /// Current members.
    pub fn members(&self) -> &IndexMap<NodeId, MemberRecord> {
        &self.members
    }

    /// Incarnations of the current members that are agents.
    pub fn agents(&self) -> &IndexMap<NodeId, Incarnation> {
        &self.agents
    }

    /// Highest ended incarnation of each node that has one.
    pub fn ended(&self) -> &IndexMap<NodeId, Incarnation> {
        &self.ended
    }

    /// Highest fenced incarnation of each entry that has one.
    pub fn fences(&self) -> &IndexMap<NodeId, Incarnation> {
        &self.fences
    }

    /// Fences that are not yet known to be in force.
    pub fn pending(&self) -> &[PendingFence] {
        &self.pending
    }

    /// Applies a join. An older incarnation of the same node ends; a stale or
    /// repeated join changes nothing.
    pub(super) fn join(&mut self, member: &MemberRecord) -> MemberChange {
        let ended = self.ended.get(&member.node).copied().unwrap_or(0);
        if member.incarnation <= ended {
            return MemberChange::None;
        }
        let current = self.members.get(&member.node).cloned();
        if current.as_ref().is_some_and(|current| current.incarnation > member.incarnation) {
            return MemberChange::None;
        }
        let change = match current {
            Some(current) if current == *member => return MemberChange::None,
            Some(current) if current.incarnation < member.incarnation => {
                self.end_incarnation(&current)
            }
            _ => MemberChange::Joined,
        };
        self.version += 1;
        self.members.insert(member.node.clone(), member.clone());
        if member.role == NodeRole::Agent {
            self.agents.insert(member.node.clone(), member.incarnation);
        }
        change
    }

    /// Removes a member, if this is its current incarnation.
    pub(super) fn lapse(&mut self, node: &NodeId, incarnation: Incarnation) -> MemberChange {
        let Some(current) = self.members.get(node).cloned() else { return MemberChange::None };
        if current.incarnation != incarnation {
            return MemberChange::None;
        }
        self.members.shift_remove(node);
        self.agents.shift_remove(node);
        self.end_incarnation(&current)
    }

    fn end_incarnation(&mut self, member: &MemberRecord) -> MemberChange {
        self.version += 1;
        self.ended.insert(member.node.clone(), member.incarnation);
        match member.role {
            NodeRole::Agent => MemberChange::AgentEnded,
            NodeRole::Entry => {
                self.add_fence(member);
                MemberChange::EntryEnded { incarnation: member.incarnation }
            }
        }
    }

    fn add_fence(&mut self, member: &MemberRecord) {
        self.fences.insert(member.node.clone(), member.incarnation);
        self.pending.retain(|fence| fence.entry != member.node);
        self.pending.push(PendingFence {
            entry: member.node.clone(),
            incarnation: member.incarnation,
            members_version: self.version,
        });
    }

    /// Marks the fence of this incarnation, or of an earlier one, as in force.
    pub(super) fn fence_in_force(&mut self, entry: &NodeId, incarnation: Incarnation) {
        self.pending.retain(|fence| fence.entry != *entry || fence.incarnation > incarnation);
    }
}
