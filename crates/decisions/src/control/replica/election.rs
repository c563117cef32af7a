//! Elections: trial votes, votes, and when a vote may be given.

use std::time::Instant;

use indexmap::IndexSet;
use model::{LogIndex, NodeId, ReplicaMessage, Term};

use super::{Replica, ReplicaStep, Role};

impl Replica {
    pub(super) fn on_election_timeout(&mut self, now: Instant) -> Vec<ReplicaStep> {
        self.set_election_timer(now);
        self.leader = None;
        if !self.counts() || !self.is_voter(&self.name) {
            return Vec::new();
        }
        let votes = IndexSet::from([self.name.clone()]);
        if votes.len() >= self.majority() {
            return self.start_election(now);
        }
        self.role = Role::Trial { votes };
        self.ask_for_votes(true)
    }

    /// A trial asks about the next term without entering it.
    fn ask_for_votes(&self, trial: bool) -> Vec<ReplicaStep> {
        let message = ReplicaMessage::VoteRequest {
            trial,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let term = if trial { self.hard.term + 1 } else { self.hard.term };
        let envelope = self.envelope(term, message);
        let others = self.others().into_iter();
        others.map(|to| ReplicaStep::Send { to, envelope: Box::new(envelope.clone()) }).collect()
    }

    /// Enters the next term and votes for itself. The requests leave, and the
    /// own vote counts, once that is synced.
    fn start_election(&mut self, now: Instant) -> Vec<ReplicaStep> {
        self.hard.term += 1;
        self.hard.voted_for = Some(self.name.clone());
        self.role = Role::Candidate { votes: IndexSet::new() };
        self.owed_votes.clear();
        self.owed_ack = None;
        self.set_election_timer(now);
        vec![ReplicaStep::PersistHardState(self.hard.clone())]
    }

    pub(super) fn count_own_vote(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let own = self.name.clone();
        let Role::Candidate { votes } = &mut self.role else { return Vec::new() };
        if !votes.insert(own) {
            return Vec::new();
        }
        let mut steps = self.ask_for_votes(false);
        steps.extend(self.win_if_elected(now));
        steps
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Instant,
        from: NodeId,
        term: Term,
        trial: bool,
        last: (Term, LogIndex),
    ) -> Vec<ReplicaStep> {
        let mut steps = Vec::new();
        // A leader that was heard lately, by this process or an earlier one, is
        // not overthrown: it may still hold its lease.
        let leads = matches!(self.role, Role::Leader(_));
        if leads || self.has_heard_leader(now) || now < self.votes_from {
            return steps;
        }
        if !trial {
            steps.extend(self.follow_term(now, term));
        }
        let fresh = last >= (self.log.last_term(), self.log.last_index());
        let able = self.counts() && fresh;
        if trial {
            let granted = able && term > self.hard.term;
            steps.push(self.send(from, ReplicaMessage::VoteReply { trial, granted }));
            return steps;
        }
        let free = self.hard.voted_for.as_ref().is_none_or(|voted| *voted == from);
        if term != self.hard.term || !able || !free {
            steps.push(self.send(from, ReplicaMessage::VoteReply { trial, granted: false }));
            return steps;
        }
        self.hard.voted_for = Some(from.clone());
        self.set_election_timer(now);
        self.owed_votes.push((from, ReplicaMessage::VoteReply { trial, granted: true }));
        steps.push(ReplicaStep::PersistHardState(self.hard.clone()));
        steps
    }

    /// Whether this process has heard a leader within an election timeout.
    pub(super) fn has_heard_leader(&self, now: Instant) -> bool {
        self.leader_heard.is_some_and(|at| now < at + self.limits.election)
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: NodeId,
        term: Term,
        trial: bool,
        granted: bool,
    ) -> Vec<ReplicaStep> {
        if term > self.hard.term {
            return self.follow_term(now, term);
        }
        if !granted || !self.is_voter(&from) {
            return Vec::new();
        }
        let majority = self.majority();
        match &mut self.role {
            Role::Trial { votes } if trial => {
                votes.insert(from);
                if votes.len() >= majority { self.start_election(now) } else { Vec::new() }
            }
            Role::Candidate { votes } if !trial && term == self.hard.term => {
                votes.insert(from);
                self.win_if_elected(now)
            }
            _ => Vec::new(),
        }
    }

    /// The own vote must be among those that elect.
    fn win_if_elected(&mut self, now: Instant) -> Vec<ReplicaStep> {
        let Role::Candidate { votes } = &self.role else { return Vec::new() };
        let elected = votes.contains(&self.name) && votes.len() >= self.majority();
        if elected { self.become_leader(now) } else { Vec::new() }
    }
}
