//! Owns who may run a submission, and the answer it got.
//!
//! Invariants:
//! - at any time a submission has one owner at most, and its epoch grows with
//!   each new owner;
//! - a submission that was answered is not run again, unless nothing of it
//!   ran and its answer invited another try;
//! - an id whose answer has been forgotten stays known as expired.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use model::{
    ClaimEpoch, ClaimOrder, CommandResult, Fingerprint, Incarnation, JobAnswer, JobKey, LogIndex,
    NodeId, OwnerRef, Takeover, WorkerId, fingerprint,
};
use serde::{Deserialize, Serialize};

/// Expired ids that stay known.
const MOST_EXPIRED: usize = 20_000_000;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum ClaimState {
    Running,
    Ended { answer: JobAnswer, at_ms: u64 },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ClaimRecord {
    fingerprint: Fingerprint,
    owner: OwnerRef,
    epoch: ClaimEpoch,
    /// Where in the log the first owner of this run claimed it.
    since: LogIndex,
    /// Whether an earlier owner of this run may have started tasks.
    taken_over: bool,
    state: ClaimState,
}

/// Claims by submission.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    #[serde(with = "indexmap::map::serde_seq")]
    claims: IndexMap<JobKey, ClaimRecord>,
    ended: VecDeque<(u64, JobKey)>,
    expired: IndexSet<Fingerprint>,
    /// Highest incarnation of each entry whose fence is in force.
    fenced: IndexMap<NodeId, Incarnation>,
    /// Highest incarnation of each entry that was fenced at all.
    lapsed: IndexMap<NodeId, Incarnation>,
    /// Where in the log an agent's memory was last lost.
    agent_lost: LogIndex,
}

impl ClaimRecord {
    /// What the owner is told, however often it asks.
    fn claimed(
        &self,
        agent_lost: LogIndex,
        agents: &IndexMap<WorkerId, Incarnation>,
    ) -> CommandResult {
        let takeover = match self.taken_over {
            true => {
                let memory_lost = agent_lost > self.since;
                Takeover::Collect { memory_lost, agents: agents.clone() }
            }
            false => Takeover::Fresh,
        };
        CommandResult::Claimed { epoch: self.epoch, takeover }
    }
}

fn is_at_most(known: &IndexMap<NodeId, Incarnation>, owner: &OwnerRef) -> bool {
    known.get(&owner.entry).is_some_and(|incarnation| owner.incarnation <= *incarnation)
}

fn expired_mark(key: &JobKey) -> Fingerprint {
    fingerprint([key.team.as_bytes(), key.submission.as_bytes()])
}

impl Ledger {
    /// Decides on a claim at log position `index`, while these agents live.
    pub fn claim(
        &mut self,
        index: LogIndex,
        order: &ClaimOrder,
        agents: &IndexMap<WorkerId, Incarnation>,
    ) -> CommandResult {
        if is_at_most(&self.lapsed, &order.owner) {
            return CommandResult::OwnerFenced;
        }
        if let Some(known) = self.known(&order.key, Some(order.fingerprint)) {
            return known;
        }
        let Some(record) = self.claims.get_mut(&order.key) else {
            return self.first_claim(index, order);
        };
        if record.owner == order.owner && record.state == ClaimState::Running {
            // The answer to the same claim was lost; it is given again.
            return record.claimed(self.agent_lost, agents);
        }
        match &record.state {
            ClaimState::Running if !is_at_most(&self.fenced, &record.owner) => {
                CommandResult::OwnedElsewhere { owner: record.owner.clone() }
            }
            ClaimState::Running => {
                record.epoch += 1;
                record.owner = order.owner.clone();
                record.taken_over = true;
                record.claimed(self.agent_lost, agents)
            }
            ClaimState::Ended { .. } => {
                record.epoch += 1;
                record.owner = order.owner.clone();
                record.since = index;
                record.taken_over = false;
                record.state = ClaimState::Running;
                record.claimed(self.agent_lost, agents)
            }
        }
    }

    fn first_claim(&mut self, index: LogIndex, order: &ClaimOrder) -> CommandResult {
        let record = ClaimRecord {
            fingerprint: order.fingerprint,
            owner: order.owner.clone(),
            epoch: 1,
            since: index,
            taken_over: false,
            state: ClaimState::Running,
        };
        self.claims.insert(order.key.clone(), record);
        CommandResult::Claimed { epoch: 1, takeover: Takeover::Fresh }
    }

    /// What is settled about a submission: conflict, expiry or an answer that
    /// stands.
    fn known(&self, key: &JobKey, fingerprint: Option<Fingerprint>) -> Option<CommandResult> {
        let Some(record) = self.claims.get(key) else {
            let expired = self.expired.contains(&expired_mark(key));
            return expired.then_some(CommandResult::Expired);
        };
        if fingerprint.is_some_and(|fingerprint| fingerprint != record.fingerprint) {
            return Some(CommandResult::ContentConflict);
        }
        match &record.state {
            ClaimState::Ended { answer, .. } if !allows_rerun(answer) => {
                Some(CommandResult::Recorded { answer: answer.clone() })
            }
            _ => None,
        }
    }

    /// What is known of a submission.
    pub fn peek(&self, key: &JobKey, fingerprint: Option<Fingerprint>) -> CommandResult {
        if let Some(known) = self.known(key, fingerprint) {
            return known;
        }
        match self.claims.get(key) {
            Some(ClaimRecord { state: ClaimState::Running, owner, .. }) => {
                CommandResult::OwnedElsewhere { owner: owner.clone() }
            }
            Some(ClaimRecord { state: ClaimState::Ended { answer, .. }, .. })
                if fingerprint.is_none() =>
            {
                CommandResult::Recorded { answer: answer.clone() }
            }
            _ => CommandResult::Unclaimed,
        }
    }

    /// Records the final answer, if the claim still stands.
    pub fn finish(
        &mut self,
        key: &JobKey,
        epoch: ClaimEpoch,
        owner: &OwnerRef,
        answer: &JobAnswer,
        at_ms: u64,
    ) -> CommandResult {
        let Some(record) = self.claims.get_mut(key) else { return CommandResult::Overtaken };
        if record.epoch != epoch || record.owner != *owner {
            return CommandResult::Overtaken;
        }
        if let ClaimState::Ended { answer, .. } = &record.state {
            return CommandResult::Recorded { answer: answer.clone() };
        }
        record.state = ClaimState::Ended { answer: answer.clone(), at_ms };
        self.ended.push_back((at_ms, key.clone()));
        CommandResult::Done
    }

    /// An entry's lease lapsed: it gets no new claims.
    pub fn on_entry_lapsed(&mut self, entry: &NodeId, incarnation: Incarnation) {
        let known = self.lapsed.entry(entry.clone()).or_default();
        *known = (*known).max(incarnation);
    }

    /// Every agent knows of the entry's fence: its claims may be taken over.
    pub fn on_fence_in_force(&mut self, entry: &NodeId, incarnation: Incarnation) {
        let known = self.fenced.entry(entry.clone()).or_default();
        *known = (*known).max(incarnation);
    }

    /// An agent was lost or started anew, with all that it remembered.
    pub fn on_agent_lost(&mut self, index: LogIndex) {
        self.agent_lost = index;
    }

    /// Forgets answers that ended before a moment; their ids stay known.
    pub fn expire(&mut self, before_ms: u64) {
        while let Some((at_ms, key)) = self.ended.front().cloned() {
            if at_ms >= before_ms {
                return;
            }
            self.ended.pop_front();
            self.expire_one(at_ms, &key);
        }
    }

    /// A submission that was run anew in the meantime stays.
    fn expire_one(&mut self, ended_ms: u64, key: &JobKey) {
        let Some(ClaimRecord { state: ClaimState::Ended { answer, at_ms }, .. }) =
            self.claims.get(key)
        else {
            return;
        };
        if *at_ms != ended_ms {
            return;
        }
        if !allows_rerun(answer) {
            self.expired.insert(expired_mark(key));
        }
        self.claims.swap_remove(key);
        if self.expired.len() > MOST_EXPIRED {
            self.expired.shift_remove_index(0);
        }
    }

    /// Moment of the oldest recorded answer, in milliseconds since 1970.
    pub fn oldest_ended_ms(&self) -> Option<u64> {
        self.ended.front().map(|(at_ms, _)| *at_ms)
    }

    /// Submissions known, and ids known as expired.
    pub fn size(&self) -> (usize, usize) {
        (self.claims.len(), self.expired.len())
    }
}

fn allows_rerun(answer: &JobAnswer) -> bool {
    matches!(answer, JobAnswer::Failed { failure } if failure.allows_rerun())
}
