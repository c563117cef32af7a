//! Owns which agents an entry has given up: it runs nothing under a grant of theirs and asks
//! them for no claim.
//!
//! All other agents are told, so that they grant claims in place of such an agent without a
//! question to this entry. One that comes back is asked again only once every agent that was
//! told has acknowledged its return.
//!
//! Invariants:
//! - others are told of an agent only once no claim is kept by it, and each running job that it
//!   was asked for is listed at the agents that others ask next;
//! - an agent that this entry asks counts as given up by it at no other agent.

use std::time::Instant;

use indexmap::IndexMap;
use model::{NodeId, Revision};

use super::job_claims::RECONNECT_WAIT;
use super::scheduler::{Scheduler, SchedulerKind};

/// Maximum number of agents that are remembered.
const MAX_GIVEN_UP: usize = 4_096;

/// How far an agent is from being asked again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GiveUpPhase {
    /// It has no connection; others are not told yet.
    Leaving,
    /// It has no connection, and others are told.
    Gone,
    /// It is connected; others have to acknowledge this revision first.
    Returning(Revision),
}

/// An agent that was given up.
#[derive(Debug, Clone, Copy)]
struct GivenUpAgent {
    phase: GiveUpPhase,
    /// Revision with which others were first told; `None` while they are not.
    told_from: Option<Revision>,
}

/// What one agent knows of the agents that this entry has given up.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GiveUpKnowledge {
    /// Whether it counts agents as given up at all; one of an earlier version doesn't.
    is_follower: bool,
    /// Revision up to which it was sent all changes.
    sent: Revision,
    /// Latest revision that it has acknowledged.
    acked: Revision,
}

impl GiveUpKnowledge {
    fn on_sent(&mut self, revision: Revision) {
        self.sent = self.sent.max(revision);
    }

    /// Records the list that a session begins with. Nothing else is known to an agent that was
    /// never sent one.
    fn on_listed(&mut self, revision: Revision) {
        if self.sent == 0 {
            self.acked = revision;
        }
        self.on_sent(revision);
    }

    fn on_ack(&mut self, revision: Revision) {
        self.is_follower = true;
        self.acked = self.acked.max(revision);
    }

    /// Whether it grants claims in place of agents that all entries have given up.
    pub(super) fn is_follower(&self) -> bool {
        self.is_follower
    }

    /// Whether it may still count an agent as given up which is returning.
    fn may_count(&self, told_from: Revision, returning: Revision) -> bool {
        self.is_follower && self.sent >= told_from && self.acked < returning
    }
}

/// The agents that an entry has given up.
#[derive(Debug, Clone, Default)]
pub(super) struct GivenUpAgents {
    agents: IndexMap<NodeId, GivenUpAgent>,
    /// Number of the latest change that others are told of.
    revision: Revision,
    /// Whether an agent was forgotten that others may still count as given up.
    has_forgotten: bool,
}

impl GivenUpAgents {
    /// Whether an agent must not be asked for claims.
    pub(super) fn contains(&self, agent: &NodeId) -> bool {
        self.agents.contains_key(agent)
    }

    /// Whether all other agents are told, or about to be, that an agent is given up.
    pub(super) fn is_gone(&self, agent: &NodeId) -> bool {
        self.agents.get(agent).is_some_and(|known| known.phase == GiveUpPhase::Gone)
    }

    /// Whether agents are connected that are not asked yet.
    pub(super) fn has_returning(&self) -> bool {
        self.agents.values().any(|known| matches!(known.phase, GiveUpPhase::Returning(_)))
    }

    /// All agents that are given up.
    pub(super) fn names(&self) -> impl Iterator<Item = &NodeId> {
        self.agents.keys()
    }

    fn with_phase(&self, phase: GiveUpPhase) -> Vec<NodeId> {
        let agents = self.agents.iter().filter(|(_, known)| known.phase == phase);
        agents.map(|(agent, _)| agent.clone()).collect()
    }

    /// Begins to give an agent up that has no connection.
    fn add(&mut self, agent: &NodeId) {
        let known = GivenUpAgent { phase: GiveUpPhase::Leaving, told_from: None };
        let known = self.agents.entry(agent.clone()).or_insert(known);
        if known.phase != GiveUpPhase::Gone {
            known.phase = GiveUpPhase::Leaving;
        }
    }

    /// Numbers the change by which others are told of an agent.
    fn set_gone(&mut self, agent: &NodeId) -> Revision {
        self.revision += 1;
        if let Some(known) = self.agents.get_mut(agent) {
            known.phase = GiveUpPhase::Gone;
            known.told_from.get_or_insert(self.revision);
        }
        self.revision
    }

    /// Handles the return of an agent; returns the number of the change that others have to
    /// acknowledge, if there is one.
    fn on_return(&mut self, agent: &NodeId) -> Option<Revision> {
        if self.has_forgotten && !self.contains(agent) {
            let forgotten = GivenUpAgent { phase: GiveUpPhase::Gone, told_from: Some(0) };
            self.agents.insert(agent.clone(), forgotten);
        }
        let known = self.agents.get_mut(agent)?;
        if known.told_from.is_none() {
            self.agents.shift_remove(agent);
            return None;
        }
        self.revision += 1;
        known.phase = GiveUpPhase::Returning(self.revision);
        Some(self.revision)
    }

    /// Forgets the oldest agent beyond the maximum.
    fn forget_excess(&mut self) {
        if self.agents.len() > MAX_GIVEN_UP {
            self.has_forgotten = true;
            self.agents.shift_remove_index(0);
        }
    }

    /// Ends the return of the agents that none of the `others` may count as given up any more;
    /// returns whether there were any.
    fn end_returns<'a>(
        &mut self,
        others: impl Iterator<Item = (&'a NodeId, &'a GiveUpKnowledge)> + Clone,
    ) -> bool {
        let count = self.agents.len();
        self.agents.retain(|agent, known| {
            let (GiveUpPhase::Returning(since), Some(from)) = (known.phase, known.told_from) else {
                return true;
            };
            let mut others = others.clone().filter(|(other, _)| *other != agent);
            others.any(|(_, knowledge)| knowledge.may_count(from, since))
        });
        self.agents.len() < count
    }
}

impl Scheduler {
    /// Begins to give up an agent without contact.
    pub(super) fn on_agent_departed(&mut self, now: Instant, agent: &NodeId) {
        if self.kind == SchedulerKind::Entry {
            self.claims.given_up.add(agent);
            self.claims.require_check(now);
            self.end_agent_returns(now);
        }
    }

    /// Gives up the agents whose connection was lost for too long, if their claims have moved.
    pub(super) fn give_up_agents(&mut self, now: Instant) {
        for (agent, state) in &self.agents {
            match state.link_lost_at.map(|at| at + RECONNECT_WAIT) {
                Some(until) if until <= now => self.claims.given_up.add(agent),
                Some(until) => self.claims.require_check(until),
                None => {}
            }
        }
        let leaving = self.claims.given_up.with_phase(GiveUpPhase::Leaving);
        let is_connected = self.agents.values().any(|state| state.link.is_some());
        if leaving.is_empty() || !is_connected {
            return;
        }
        if let Some(at) = self.claims.next_connect_end(now) {
            return self.claims.require_check(at);
        }
        for agent in leaving {
            match self.claims.is_keeper(&agent) {
                true => self.claims.require_check(now + RECONNECT_WAIT),
                false => self.give_up_agent(now, &agent),
            }
        }
    }

    /// Tells all connected agents that one is given up, after the running jobs that it was asked
    /// for are listed at them.
    fn give_up_agent(&mut self, now: Instant, agent: &NodeId) {
        // Claims that it has not granted go to other agents.
        self.claims.require_check(now);
        for (job, keeper) in self.claims.drop_agent(agent) {
            self.list_granted(&keeper, &job);
        }
        let revision = self.claims.given_up.set_gone(agent);
        for state in self.agents.values_mut().filter(|state| state.link.is_some()) {
            state.claim_outbox.given_up.push(agent.clone());
            state.give_ups.on_sent(revision);
        }
        self.claims.given_up.forget_excess();
    }

    /// Handles the return of an agent: others have to know of it before it is asked.
    pub(super) fn on_agent_returned(&mut self, agent: &NodeId) {
        let Some(revision) = self.claims.given_up.on_return(agent) else { return };
        let others = self.agents.iter_mut().filter(|(other, _)| *other != agent);
        for (_, state) in others.filter(|(_, state)| state.link.is_some()) {
            let orders = &mut state.claim_outbox;
            orders.given_up.retain(|other| other != agent);
            orders.readmitted.push(agent.clone());
            orders.revision = Some(revision);
            state.give_ups.on_sent(revision);
        }
    }

    /// The agents that a new session's first message lists as given up, and the revision.
    pub(super) fn list_given_up(&mut self, agent: &NodeId) -> (Vec<NodeId>, Revision) {
        let revision = self.claims.given_up.revision;
        if let Some(state) = self.agents.get_mut(agent) {
            state.give_ups.on_listed(revision);
        }
        (self.claims.given_up.with_phase(GiveUpPhase::Gone), revision)
    }

    /// Handles the request to give up an agent that another entry has given up.
    pub(super) fn on_give_up_request(&mut self, now: Instant, agent: &NodeId) {
        if !self.agents.contains_key(agent) && !self.claims.given_up.contains(agent) {
            self.on_agent_departed(now, agent);
        }
    }

    /// Handles an agent's acknowledgement of the agents that are given up or asked again.
    pub(super) fn on_give_ups_followed(
        &mut self,
        now: Instant,
        agent: &NodeId,
        revision: Revision,
    ) {
        if let Some(state) = self.agents.get_mut(agent) {
            state.give_ups.on_ack(revision.min(self.claims.given_up.revision));
        }
        self.end_agent_returns(now);
    }

    /// Lets agents be asked again whose return all others know of.
    pub(super) fn end_agent_returns(&mut self, now: Instant) {
        if !self.claims.given_up.has_returning() {
            return;
        }
        let others = self.agents.iter().map(|(agent, state)| (agent, &state.give_ups));
        if self.claims.given_up.end_returns(others) {
            self.claims.on_agent_connected(now);
        }
    }
}
