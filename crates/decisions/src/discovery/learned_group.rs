//! What a control host was told of its group by the leader, for as long as its own replica
//! knows no leader: the group may have replaced it, and its replica hears nothing then.
//!
//! Invariant: what a host told itself is not kept. A host that has lost the lead would name
//! itself as the leader until it heard of a later term. Nor is a term that none can have
//! reached.

use model::{LeaderHint, NodeId, Term, is_reachable_term};

/// What a leader told this host of the group.
#[derive(Debug, Clone)]
pub struct LearnedGroup {
    name: NodeId,
    hint: LeaderHint,
}

impl LearnedGroup {
    /// Creates the state of the host `name`, which was told nothing.
    pub fn new(name: NodeId) -> LearnedGroup {
        LearnedGroup { name, hint: LeaderHint::default() }
    }

    /// Handles what a leader told; `own_term` is the replica's.
    pub fn learn(&mut self, own_term: Term, leader: &NodeId, hint: LeaderHint) {
        if *leader != self.name && is_reachable_term(own_term.max(self.hint.term), hint.term) {
            self.hint = hint;
        }
    }

    /// Forgets what was told, as the own replica knows a leader.
    pub fn forget(&mut self) {
        self.hint = LeaderHint::default();
    }

    /// What this host tells others; `own` is what its replica knows. What a leader told goes
    /// before it if the replica knows neither a leader nor a later term.
    pub fn latest(&self, own: LeaderHint) -> LeaderHint {
        match own.leader.is_none() && self.hint.term >= own.term {
            true => self.hint.clone(),
            false => own,
        }
    }
}
