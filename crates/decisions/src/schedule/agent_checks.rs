//! Finds the agents for which something is due: a message, the end of a pause, or the
//! contact timeout. A pass over all agents is made only when one of them may be due,
//! and not more often than once in [`AGENT_CHECK_INTERVAL`], so that its cost does not
//! depend on the number of messages.

use std::time::{Duration, Instant};

use model::NodeId;

use super::scheduler::Scheduler;

/// Minimum time between two passes over all agents.
const AGENT_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Time of the next pass.
#[derive(Debug, Clone, Copy)]
pub(super) struct AgentChecks {
    checked_at: Instant,
    next: Option<Instant>,
}

impl AgentChecks {
    pub(super) fn new(now: Instant) -> AgentChecks {
        AgentChecks { checked_at: now, next: None }
    }

    /// Time of the next pass, if one is needed.
    pub(super) fn next(&self) -> Option<Instant> {
        self.next.map(|at| at.max(self.checked_at + AGENT_CHECK_INTERVAL))
    }

    /// Requires a pass once this time has come.
    pub(super) fn require(&mut self, at: Instant) {
        self.next = self.next.into_iter().chain([at]).min();
    }
}

impl Scheduler {
    /// Deregisters agents without contact, ends pauses and collects the agents to which
    /// a message is due, if a pass over them is due.
    pub(super) fn check_agents(&mut self, now: Instant) {
        if self.agent_checks.next().is_none_or(|at| at > now) {
            return;
        }
        self.expire_agents(now);
        for state in self.agents.values_mut() {
            let pause_over = state.paused_until.take_if(|until| *until <= now).is_some();
            self.placement_due |= pause_over;
        }
        let contact_timeout = self.limits.contact_timeout();
        let mut checks = AgentChecks::new(now);
        let mut due_agents: Vec<NodeId> = Vec::new();
        for (agent, state) in &self.agents {
            match self.message_due(state) {
                Some(at) if at <= now => due_agents.push(agent.clone()),
                Some(at) => checks.require(at),
                None => {}
            }
            checks.require(state.last_contact + contact_timeout);
            if let Some(until) = state.paused_until {
                checks.require(until);
            }
        }
        self.agent_checks = checks;
        self.due_agents.extend(due_agents);
    }

    /// Requires a pass over the agents when something is due for this one, which has
    /// changed.
    pub(super) fn require_check(&mut self, agent: &NodeId) {
        let Some(state) = self.agents.get(agent) else { return };
        let contact_timeout = state.last_contact + self.limits.contact_timeout();
        let due = [self.message_due(state), state.paused_until, Some(contact_timeout)];
        if let Some(at) = due.into_iter().flatten().min() {
            self.agent_checks.require(at);
        }
    }
}
