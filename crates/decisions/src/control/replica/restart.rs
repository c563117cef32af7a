//! After a start: whether a leader may still hold a lease that an earlier
//! process of this host acknowledged.
//!
//! A host forgets its acknowledgements when its process ends, so it votes only
//! once every lease that it may have acknowledged is over. It need not wait
//! when all other hosts of the group, asked after this start, deny that they
//! lead: then no such lease is left. That is so when the whole group has lost
//! power.
//!
//! Invariants:
//! - a denial counts only for the process that asked for it;
//! - a host that leads, or has heard a leader within an election timeout,
//!   denies nothing.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use model::{EventLine, Incarnation, LogIndex, NodeId, ReplicaMessage};

use super::{Replica, ReplicaStep, Role};

/// How often hosts that have not answered are asked again.
const QUESTION_INTERVAL: Duration = Duration::from_millis(50);
/// How much later than the host before it in the group a host stands for
/// election, so that votes are not split.
const CANDIDATE_STAGGER: Duration = Duration::from_millis(50);

/// What a host that has just started asks the others of its group.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LeadInquiry {
    denied_by: IndexSet<NodeId>,
    ask_at: Instant,
}

impl LeadInquiry {
    pub(super) fn new(now: Instant) -> LeadInquiry {
        LeadInquiry { denied_by: IndexSet::new(), ask_at: now }
    }
}

impl Replica {
    /// When the next question is due, while there is need to ask.
    pub(super) fn next_question(&self) -> Option<Instant> {
        self.inquiry.as_ref().map(|inquiry| inquiry.ask_at)
    }

    pub(super) fn ask_who_leads(&mut self, now: Instant) -> Vec<ReplicaStep> {
        if now >= self.votes_from {
            self.inquiry = None;
        }
        let Some(inquiry) = &mut self.inquiry else { return Vec::new() };
        if now < inquiry.ask_at {
            return Vec::new();
        }
        inquiry.ask_at = now + QUESTION_INTERVAL;
        let denied_by = inquiry.denied_by.clone();
        let others = self.others().into_iter().filter(|name| !denied_by.contains(name));
        let question = ReplicaMessage::LeadQuestion { denied_to: None, group_index: 0 };
        others.map(|to| self.send(to, question.clone())).collect()
    }

    pub(super) fn on_lead_question(
        &mut self,
        now: Instant,
        from: &NodeId,
        boot: Incarnation,
        denied_to: Option<Incarnation>,
        group_index: LogIndex,
    ) -> Vec<ReplicaStep> {
        let mut steps = Vec::new();
        if denied_to == Some(self.boot) {
            steps.extend(self.note_denial(now, from, group_index));
        }
        if self.may_deny(now) {
            let asks = self.lacks_denial(from);
            let group_index = self.log.group_index();
            let message = ReplicaMessage::LeadDenial { denied_to: boot, group_index, asks };
            steps.push(self.send(from.clone(), message));
        }
        steps
    }

    pub(super) fn on_lead_denial(
        &mut self,
        now: Instant,
        from: &NodeId,
        boot: Incarnation,
        denial: (Incarnation, LogIndex),
        asks: bool,
    ) -> Vec<ReplicaStep> {
        let (denied_to, group_index) = denial;
        let mut steps = Vec::new();
        if denied_to == self.boot {
            steps.extend(self.note_denial(now, from, group_index));
        }
        if asks && self.may_deny(now) {
            let group_index = self.log.group_index();
            let message = ReplicaMessage::LeadQuestion { denied_to: Some(boot), group_index };
            steps.push(self.send(from.clone(), message));
        }
        steps
    }

    fn may_deny(&self, now: Instant) -> bool {
        !matches!(self.role, Role::Leader(_)) && !self.has_heard_leader(now)
    }

    fn lacks_denial(&self, from: &NodeId) -> bool {
        self.inquiry.as_ref().is_some_and(|inquiry| !inquiry.denied_by.contains(from))
    }

    /// A host that knows of a later change of the group may know of a leader
    /// that is not in the group known here: its denial proves nothing.
    fn note_denial(
        &mut self,
        now: Instant,
        from: &NodeId,
        group_index: LogIndex,
    ) -> Option<ReplicaStep> {
        if !self.is_voter(from) || group_index > self.log.group_index() {
            return None;
        }
        let others = self.others();
        let inquiry = self.inquiry.as_mut()?;
        inquiry.denied_by.insert(from.clone());
        if !others.iter().all(|name| inquiry.denied_by.contains(name)) {
            return None;
        }
        self.inquiry = None;
        self.votes_from = now;
        let rank = self.log.group().iter().position(|peer| peer.name == self.name);
        let turn = now + CANDIDATE_STAGGER * rank.unwrap_or_default() as u32;
        self.election_at = self.election_at.min(turn);
        let line = EventLine::new("no_leader_left")
            .with("term", self.hard.term)
            .with("denied_by", others.len())
            .with("candidate_in_ms", turn.saturating_duration_since(now).as_millis());
        Some(ReplicaStep::Note(line))
    }
}
