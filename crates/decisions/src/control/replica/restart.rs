//! Protection of leader leases across a restart of this host.
//!
//! A process does not store when it last acknowledged a leader. After a restart
//! the host therefore votes only once every lease that it may have acknowledged
//! has expired. The wait ends early when all other hosts of the group, queried
//! after the start, deny that there is a leader: then no such lease is left. This
//! is the case after a power loss of the whole group.
//!
//! Invariants:
//! - a denial is valid only for the process that sent the query;
//! - a host sends no denial while it leads, or when it received a leader's
//!   message within the minimum election timeout.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use model::{EventLine, Incarnation, LogIndex, NodeId, ReplicaMessage};

use super::{Replica, ReplicaStep, Role};

/// Interval at which the query is repeated to hosts that have not replied.
const LEADER_QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// Delay between the candidacies of consecutive hosts of the group, which avoids
/// split votes after a common restart.
const CANDIDATE_STAGGER: Duration = Duration::from_millis(50);

/// Progress of the query for a leader after a start.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LeaderInquiry {
    denied_by: IndexSet<NodeId>,
    next_query_at: Instant,
}

impl LeaderInquiry {
    pub(super) fn new(now: Instant) -> LeaderInquiry {
        LeaderInquiry { denied_by: IndexSet::new(), next_query_at: now }
    }
}

impl Replica {
    /// Time of the next query; `None` once no more queries are needed.
    pub(super) fn next_leader_query(&self) -> Option<Instant> {
        self.inquiry.as_ref().map(|inquiry| inquiry.next_query_at)
    }

    pub(super) fn send_leader_queries(&mut self, now: Instant) -> Vec<ReplicaStep> {
        if now >= self.votes_allowed_from {
            self.inquiry = None;
        }
        let Some(inquiry) = &mut self.inquiry else { return Vec::new() };
        if now < inquiry.next_query_at {
            return Vec::new();
        }
        inquiry.next_query_at = now + LEADER_QUERY_INTERVAL;
        let denied_by = inquiry.denied_by.clone();
        let others = self.others().into_iter().filter(|name| !denied_by.contains(name));
        let query = ReplicaMessage::LeaderQuery { denied_to: None, group_index: 0 };
        others.map(|to| self.send(to, query.clone())).collect()
    }

    pub(super) fn on_leader_query(
        &mut self,
        now: Instant,
        from: &NodeId,
        boot: Incarnation,
        denied_to: Option<Incarnation>,
        group_index: LogIndex,
    ) -> Vec<ReplicaStep> {
        let mut steps = Vec::new();
        if denied_to == Some(self.boot) {
            steps.extend(self.record_denial(now, from, group_index));
        }
        if self.can_deny_leader(now) {
            let wants_reply = self.lacks_denial(from);
            let group_index = self.log.group_index();
            let message =
                ReplicaMessage::LeaderDenial { denied_to: boot, group_index, wants_reply };
            steps.push(self.send(from.clone(), message));
        }
        steps
    }

    pub(super) fn on_leader_denial(
        &mut self,
        now: Instant,
        from: &NodeId,
        boot: Incarnation,
        denial: (Incarnation, LogIndex),
        wants_reply: bool,
    ) -> Vec<ReplicaStep> {
        let (denied_to, group_index) = denial;
        let mut steps = Vec::new();
        if denied_to == self.boot {
            steps.extend(self.record_denial(now, from, group_index));
        }
        if wants_reply && self.can_deny_leader(now) {
            let group_index = self.log.group_index();
            let message = ReplicaMessage::LeaderQuery { denied_to: Some(boot), group_index };
            steps.push(self.send(from.clone(), message));
        }
        steps
    }

    fn can_deny_leader(&self, now: Instant) -> bool {
        !matches!(self.role, Role::Leader(_)) && !self.has_recent_leader_contact(now)
    }

    /// Whether a denial from this host is still needed.
    fn lacks_denial(&self, from: &NodeId) -> bool {
        self.inquiry.as_ref().is_some_and(|inquiry| !inquiry.denied_by.contains(from))
    }

    /// Records a denial, and allows votes once all other hosts have sent one. A
    /// denial is ignored if its sender knows a later change of the group: there may
    /// be a leader that the group known here does not include.
    fn record_denial(
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
        self.votes_allowed_from = now;
        let rank = self.log.group().iter().position(|peer| peer.name == self.name);
        let candidacy_at = now + CANDIDATE_STAGGER * rank.unwrap_or_default() as u32;
        self.election_deadline = self.election_deadline.min(candidacy_at);
        let line = EventLine::new("no_leader_left")
            .with("term", self.hard_state.term)
            .with("denied_by", others.len())
            .with("candidate_in_ms", candidacy_at.saturating_duration_since(now).as_millis());
        Some(ReplicaStep::Log(line))
    }
}
