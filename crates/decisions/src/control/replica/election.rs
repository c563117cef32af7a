//! Leader election with pre-votes (Raft thesis, section 9.6).
//!
//! Invariants:
//! - a replica grants at most one vote per term, and sends it only after the
//!   vote is synced;
//! - a replica grants no vote while a leader that it had contact with may still
//!   hold its lease.

use std::time::Instant;

use indexmap::IndexSet;
use model::{LogIndex, NodeId, ReplicaMessage, Term};

use super::{Replica, ReplicaStep, Role};

impl Replica {
    /// Starts a pre-vote, or an election at once if this replica alone is a
    /// majority. A replica that may not vote starts neither.
    pub(super) fn on_election_timeout(&mut self, now: Instant) -> Vec<ReplicaStep> {
        self.set_election_timer(now);
        self.leader = None;
        if !self.counts_toward_quorum() || !self.is_voter(&self.name) {
            return Vec::new();
        }
        let votes = IndexSet::from([self.name.clone()]);
        if votes.len() >= self.majority() {
            return self.start_election(now);
        }
        self.role = Role::PreCandidate { votes };
        self.request_votes(true)
    }

    /// Requests votes for the current term, or pre-votes for the next term without
    /// entering it.
    fn request_votes(&self, pre_vote: bool) -> Vec<ReplicaStep> {
        let message = ReplicaMessage::VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let own_term = self.hard_state.term;
        let term = if pre_vote { own_term.saturating_add(1) } else { own_term };
        let envelope = self.envelope(term, message);
        let others = self.others().into_iter();
        others.map(|to| ReplicaStep::Send { to, envelope: Box::new(envelope.clone()) }).collect()
    }

    /// Enters the next term and votes for itself. The vote is counted and the
    /// other votes are requested once the hard state is synced.
    fn start_election(&mut self, now: Instant) -> Vec<ReplicaStep> {
        // Without a later term, a second vote in this one could elect a second leader.
        let Some(term) = self.hard_state.term.checked_add(1) else { return Vec::new() };
        self.hard_state.term = term;
        self.hard_state.voted_for = Some(self.name.clone());
        self.role = Role::Candidate { votes: IndexSet::new() };
        self.pending_vote_replies.clear();
        self.pending_ack = None;
        self.set_election_timer(now);
        vec![ReplicaStep::PersistHardState(self.hard_state.clone())]
    }

    /// Counts this replica's vote for itself, now that it is synced, and requests
    /// the votes of the others.
    pub(super) fn record_own_vote(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let own_name = self.name.clone();
        let Role::Candidate { votes } = &mut self.role else { return Vec::new() };
        if !votes.insert(own_name) {
            return Vec::new();
        }
        let mut steps = self.request_votes(false);
        steps.extend(self.lead_if_elected(now));
        steps
    }

    /// Handles a request for a vote. `candidate_last` is the term and index of the
    /// last record in the candidate's log.
    pub(super) fn on_vote_request(
        &mut self,
        now: Instant,
        from: NodeId,
        term: Term,
        pre_vote: bool,
        candidate_last: (Term, LogIndex),
    ) -> Vec<ReplicaStep> {
        let mut steps = Vec::new();
        // A leader that this process or an earlier one had recent contact with may
        // still hold its lease, so no other leader may be elected yet.
        let is_leader = matches!(self.role, Role::Leader(_));
        if is_leader || self.has_recent_leader_contact(now) || now < self.votes_allowed_from {
            return steps;
        }
        if !pre_vote {
            steps.extend(self.advance_term(now, term));
        }
        let up_to_date = candidate_last >= (self.log.last_term(), self.log.last_index());
        let eligible = self.counts_toward_quorum() && up_to_date;
        if pre_vote {
            let granted = eligible && term > self.hard_state.term;
            steps.push(self.send(from, ReplicaMessage::VoteReply { pre_vote, granted }));
            return steps;
        }
        let vote_available = self.hard_state.voted_for.as_ref().is_none_or(|voted| *voted == from);
        if term != self.hard_state.term || !eligible || !vote_available {
            steps.push(self.send(from, ReplicaMessage::VoteReply { pre_vote, granted: false }));
            return steps;
        }
        self.hard_state.voted_for = Some(from.clone());
        self.set_election_timer(now);
        self.pending_vote_replies
            .push((from, ReplicaMessage::VoteReply { pre_vote, granted: true }));
        steps.push(ReplicaStep::PersistHardState(self.hard_state.clone()));
        steps
    }

    /// Whether this process received a leader's message within the minimum
    /// election timeout.
    pub(super) fn has_recent_leader_contact(&self, now: Instant) -> bool {
        self.leader_last_contact.is_some_and(|at| now < at + self.limits.min_election_timeout)
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: NodeId,
        term: Term,
        pre_vote: bool,
        granted: bool,
    ) -> Vec<ReplicaStep> {
        if term > self.hard_state.term {
            return self.advance_term(now, term);
        }
        if !granted || !self.is_voter(&from) {
            return Vec::new();
        }
        let majority = self.majority();
        match &mut self.role {
            Role::PreCandidate { votes } if pre_vote => {
                votes.insert(from);
                if votes.len() >= majority { self.start_election(now) } else { Vec::new() }
            }
            Role::Candidate { votes } if !pre_vote && term == self.hard_state.term => {
                votes.insert(from);
                self.lead_if_elected(now)
            }
            _ => Vec::new(),
        }
    }

    /// Becomes leader with a majority of votes that includes its own, which counts
    /// only once it is synced.
    fn lead_if_elected(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let Role::Candidate { votes } = &self.role else { return Vec::new() };
        let elected = votes.contains(&self.name) && votes.len() >= self.majority();
        if elected { self.become_leader(now) } else { Vec::new() }
    }
}
