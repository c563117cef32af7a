//! Owns the logged part of membership: who is a member, and which entries are
//! fenced.
//!
//! Invariants:
//! - the version grows with each change;
//! - an incarnation that lapsed never becomes a member again.

use indexmap::IndexMap;
use model::{Incarnation, MemberRecord, MembersVersion, NodeId, NodeRole, PendingFence};
use serde::{Deserialize, Serialize};

/// What a change of membership means for the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum MemberChange {
    /// Nothing changed.
    None,
    /// A new member.
    Joined,
    /// An entry's incarnation ended.
    EntryEnded { incarnation: Incarnation },
    /// An agent's memory was lost.
    AgentEnded,
}

/// Members by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberBook {
    version: MembersVersion,
    members: IndexMap<NodeId, MemberRecord>,
    /// Incarnations of those members that are agents.
    agents: IndexMap<NodeId, Incarnation>,
    ended: IndexMap<NodeId, Incarnation>,
    fences: IndexMap<NodeId, Incarnation>,
    pending: Vec<PendingFence>,
}

impl MemberBook {
    /// Version of the list.
    pub fn version(&self) -> MembersVersion {
        self.version
    }

    /// The members.
    pub fn members(&self) -> &IndexMap<NodeId, MemberRecord> {
        &self.members
    }

    /// Incarnations of the agents.
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

    /// A member joined. One of the same name and an older incarnation ends.
    pub(super) fn join(&mut self, member: &MemberRecord) -> MemberChange {
        let ended = self.ended.get(&member.node).copied().unwrap_or(0);
        if member.incarnation <= ended {
            return MemberChange::None;
        }
        let known = self.members.get(&member.node).cloned();
        if known.as_ref().is_some_and(|known| known.incarnation > member.incarnation) {
            return MemberChange::None;
        }
        let change = match known {
            Some(known) if known == *member => return MemberChange::None,
            Some(known) if known.incarnation < member.incarnation => self.end(&known),
            _ => MemberChange::Joined,
        };
        self.version += 1;
        self.members.insert(member.node.clone(), member.clone());
        if member.role == NodeRole::Agent {
            self.agents.insert(member.node.clone(), member.incarnation);
        }
        change
    }

    /// A member's incarnation ended.
    pub(super) fn lapse(&mut self, node: &NodeId, incarnation: Incarnation) -> MemberChange {
        let Some(known) = self.members.get(node).cloned() else { return MemberChange::None };
        if known.incarnation != incarnation {
            return MemberChange::None;
        }
        self.members.shift_remove(node);
        self.agents.shift_remove(node);
        self.end(&known)
    }

    fn end(&mut self, member: &MemberRecord) -> MemberChange {
        self.version += 1;
        self.ended.insert(member.node.clone(), member.incarnation);
        match member.role {
            NodeRole::Agent => MemberChange::AgentEnded,
            NodeRole::Entry => {
                self.fence(member);
                MemberChange::EntryEnded { incarnation: member.incarnation }
            }
        }
    }

    fn fence(&mut self, member: &MemberRecord) {
        self.fences.insert(member.node.clone(), member.incarnation);
        self.pending.retain(|fence| fence.entry != member.node);
        self.pending.push(PendingFence {
            entry: member.node.clone(),
            incarnation: member.incarnation,
            members_version: self.version,
        });
    }

    /// Every agent knows of a fence.
    pub(super) fn fence_in_force(&mut self, entry: &NodeId, incarnation: Incarnation) {
        self.pending.retain(|fence| fence.entry != *entry || fence.incarnation > incarnation);
    }
}
