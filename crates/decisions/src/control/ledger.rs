//! Replicated ledger of submissions: the owner of each and its recorded answer.
//!
//! An entry claims a submission before it runs it, and is then its owner. Once the
//! owner is fenced, another entry may take the claim over. The claim epoch is a
//! fencing token: an answer with another epoch is rejected.
//!
//! Invariants:
//! - a submission has at most one owner at a time, and its epoch grows with each
//!   new owner;
//! - an answered submission does not run again, unless none of it ran and its
//!   answer allows a retry;
//! - once an answer that allows no retry is dropped, its id is still reported as
//!   expired, for the latest [`MAX_EXPIRED_IDS`] of such ids.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use model::{
    ClaimEpoch, ClaimRequest, CommandResult, Fingerprint, Incarnation, JobAnswer, JobKey, LogIndex,
    NodeId, OwnerRef, Takeover, WorkerId, fingerprint,
};
use serde::{Deserialize, Serialize};

/// Maximum number of expired ids that are kept; the oldest are dropped first.
const MAX_EXPIRED_IDS: usize = 20_000_000;

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
    /// Log index of the claim by the first owner of this run.
    #[serde(rename = "since")]
    claimed_index: LogIndex,
    /// Whether this run had an earlier owner, which may have started tasks.
    taken_over: bool,
    state: ClaimState,
}

/// Claims by submission, and the lapsed and fenced incarnations of entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    #[serde(with = "indexmap::map::serde_seq")]
    claims: IndexMap<JobKey, ClaimRecord>,
    /// Recorded answers, oldest first, each with its time in milliseconds since
    /// 1970.
    ended: VecDeque<(u64, JobKey)>,
    /// Fingerprints of expired ids, oldest first.
    expired: IndexSet<Fingerprint>,
    /// Per entry, the highest incarnation whose fence is in force. Its claims may
    /// be taken over.
    fenced: IndexMap<NodeId, Incarnation>,
    /// Per entry, the highest incarnation whose lease lapsed, whether or not its
    /// fence is in force yet. It gets no new claims.
    lapsed: IndexMap<NodeId, Incarnation>,
    /// Log index at which an agent last lost its in-memory state.
    #[serde(rename = "agent_lost")]
    agent_lost_index: LogIndex,
}

impl ClaimRecord {
    /// Result of a claim for the current owner; repeating the claim gives the same
    /// epoch and kind of takeover.
    fn claim_result(
        &self,
        agent_lost_index: LogIndex,
        agents: &IndexMap<WorkerId, Incarnation>,
    ) -> CommandResult {
        let takeover = match self.taken_over {
            true => {
                let memory_lost = agent_lost_index > self.claimed_index;
                Takeover::Collect { memory_lost, agents: agents.clone() }
            }
            false => Takeover::Fresh,
        };
        CommandResult::Claimed { epoch: self.epoch, takeover }
    }
}

/// Whether the owner's incarnation is at most the highest one listed for its entry.
fn covers_owner(highest: &IndexMap<NodeId, Incarnation>, owner: &OwnerRef) -> bool {
    highest.get(&owner.entry).is_some_and(|incarnation| owner.incarnation <= *incarnation)
}

/// Fingerprint of team and submission id; it stands for an expired id.
fn key_fingerprint(key: &JobKey) -> Fingerprint {
    fingerprint([key.team.as_bytes(), key.submission.as_bytes()])
}

impl Ledger {
    /// Applies a claim at log index `index`. `agents` are the current members with
    /// the agent role.
    pub fn claim(
        &mut self,
        index: LogIndex,
        order: &ClaimRequest,
        agents: &IndexMap<WorkerId, Incarnation>,
    ) -> CommandResult {
        if covers_owner(&self.lapsed, &order.owner) {
            return CommandResult::OwnerFenced;
        }
        if let Some(result) = self.settled_result(&order.key, Some(order.fingerprint)) {
            return result;
        }
        let Some(record) = self.claims.get_mut(&order.key) else {
            return self.insert_claim(index, order);
        };
        if record.owner == order.owner && record.state == ClaimState::Running {
            // A retry of the same claim: its reply was lost.
            return record.claim_result(self.agent_lost_index, agents);
        }
        match &record.state {
            ClaimState::Running if !covers_owner(&self.fenced, &record.owner) => {
                CommandResult::OwnedElsewhere { owner: record.owner.clone() }
            }
            ClaimState::Running => {
                record.epoch += 1;
                record.owner = order.owner.clone();
                record.taken_over = true;
                record.claim_result(self.agent_lost_index, agents)
            }
            ClaimState::Ended { .. } => {
                record.epoch += 1;
                record.owner = order.owner.clone();
                record.claimed_index = index;
                record.taken_over = false;
                record.state = ClaimState::Running;
                record.claim_result(self.agent_lost_index, agents)
            }
        }
    }

    fn insert_claim(&mut self, index: LogIndex, order: &ClaimRequest) -> CommandResult {
        let record = ClaimRecord {
            fingerprint: order.fingerprint,
            owner: order.owner.clone(),
            epoch: 1,
            claimed_index: index,
            taken_over: false,
            state: ClaimState::Running,
        };
        self.claims.insert(order.key.clone(), record);
        CommandResult::Claimed { epoch: 1, takeover: Takeover::Fresh }
    }

    /// The result for a submission that can't be claimed: it is expired, was claimed
    /// with other content, or has an answer that allows no retry. `None` otherwise.
    fn settled_result(
        &self,
        key: &JobKey,
        fingerprint: Option<Fingerprint>,
    ) -> Option<CommandResult> {
        let Some(record) = self.claims.get(key) else {
            let expired = self.expired.contains(&key_fingerprint(key));
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

    /// Returns the state of a submission and changes nothing. If `fingerprint` is
    /// given, the content must match, and an answer that allows a retry is reported
    /// as unclaimed.
    pub fn peek(&self, key: &JobKey, fingerprint: Option<Fingerprint>) -> CommandResult {
        if let Some(result) = self.settled_result(key, fingerprint) {
            return result;
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

    /// Records the final answer if `epoch` and `owner` still hold the claim. A
    /// repeated call returns the recorded answer.
    pub fn finish(
        &mut self,
        key: &JobKey,
        epoch: ClaimEpoch,
        owner: &OwnerRef,
        answer: &JobAnswer,
        at_ms: u64,
    ) -> CommandResult {
        let Some(record) = self.claims.get_mut(key) else { return CommandResult::Superseded };
        if record.epoch != epoch || record.owner != *owner {
            return CommandResult::Superseded;
        }
        if let ClaimState::Ended { answer, .. } = &record.state {
            return CommandResult::Recorded { answer: answer.clone() };
        }
        record.state = ClaimState::Ended { answer: answer.clone(), at_ms };
        self.ended.push_back((at_ms, key.clone()));
        CommandResult::Done
    }

    /// Refuses new claims by this incarnation of the entry and by earlier ones,
    /// after its lease lapsed.
    pub fn on_entry_lapsed(&mut self, entry: &NodeId, incarnation: Incarnation) {
        let highest = self.lapsed.entry(entry.clone()).or_default();
        *highest = (*highest).max(incarnation);
    }

    /// Allows takeover of the claims of this incarnation and earlier ones, after
    /// every agent has acknowledged the entry's fence.
    pub fn on_fence_in_force(&mut self, entry: &NodeId, incarnation: Incarnation) {
        let highest = self.fenced.entry(entry.clone()).or_default();
        *highest = (*highest).max(incarnation);
    }

    /// Records at which log index an agent was lost or restarted, and with it its
    /// in-memory state.
    pub fn on_agent_lost(&mut self, index: LogIndex) {
        self.agent_lost_index = index;
    }

    /// Drops answers recorded before `before_ms`, in milliseconds since 1970, and
    /// keeps their ids as expired.
    pub fn expire(&mut self, before_ms: u64) {
        while let Some((at_ms, key)) = self.ended.front().cloned() {
            if at_ms >= before_ms {
                return;
            }
            self.ended.pop_front();
            self.expire_answer(at_ms, &key);
        }
    }

    /// Drops the answer recorded at `ended_ms`. Does nothing if the submission has
    /// been claimed again since.
    fn expire_answer(&mut self, ended_ms: u64, key: &JobKey) {
        let Some(ClaimRecord { state: ClaimState::Ended { answer, at_ms }, .. }) =
            self.claims.get(key)
        else {
            return;
        };
        if *at_ms != ended_ms {
            return;
        }
        if !allows_rerun(answer) {
            self.expired.insert(key_fingerprint(key));
        }
        self.claims.swap_remove(key);
        if self.expired.len() > MAX_EXPIRED_IDS {
            self.expired.shift_remove_index(0);
        }
    }

    /// Time of the oldest recorded answer, in milliseconds since 1970.
    pub fn oldest_ended_ms(&self) -> Option<u64> {
        self.ended.front().map(|(at_ms, _)| *at_ms)
    }

    /// Number of submissions, and number of expired ids.
    pub fn size(&self) -> (usize, usize) {
        (self.claims.len(), self.expired.len())
    }
}

fn allows_rerun(answer: &JobAnswer) -> bool {
    matches!(answer, JobAnswer::Failed { failure } if failure.allows_rerun())
}
