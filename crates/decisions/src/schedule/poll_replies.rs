//! Answers agents' polls with their orders and acknowledgements.

use std::time::{Duration, Instant};

use model::{AgentOrders, NodeId};

use super::agent_state::AgentState;
use super::scheduler::{ScheduleStep, Scheduler};

/// Target rate over all agents of reports that carry only a changed usage by
/// other schedulers.
const MAX_USAGE_REPORTS_PER_SECOND: u32 = 300;
/// Minimum time between two such reports of one agent.
const MIN_USAGE_INTERVAL: Duration = Duration::from_millis(50);

impl Scheduler {
    /// Time at which an agent's poll is answered even without orders: at once if
    /// the entry list has changed, after `ack_delay` if there is an
    /// acknowledgement to send, and otherwise after `poll_wait`.
    pub(super) fn poll_due(&self, state: &AgentState) -> Option<Instant> {
        let parked = state.parked?;
        if state.sent_entries_version != self.entries.version() {
            return Some(parked.since);
        }
        let wait = match state.has_unsent_ack() {
            true => self.limits.ack_delay,
            false => self.limits.poll_wait,
        };
        Some(parked.since + wait)
    }

    /// Minimum time between an agent's reports of changed usage alone; grows with
    /// the number of agents to bound the total rate.
    fn usage_interval(&self) -> Duration {
        let agents = self.agents.len() as u32;
        (Duration::from_secs(1) * agents / MAX_USAGE_REPORTS_PER_SECOND).max(MIN_USAGE_INTERVAL)
    }

    /// Answers the polls of agents that have orders or whose poll is due.
    pub(super) fn answer_polls(&mut self, now: Instant) {
        let Some(term) = self.term else { return };
        let grant_ms = self.limits.grant.as_millis() as u64;
        let usage_interval_ms = self.usage_interval().as_millis() as u64;
        let due: Vec<NodeId> = self
            .agents
            .iter()
            .filter(|(_, state)| {
                let is_due = self.poll_due(state).is_some_and(|at| at <= now);
                state.parked.is_some() && (is_due || !state.outbox.is_empty())
            })
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in due {
            let Some(state) = self.agents.get_mut(&agent) else { continue };
            let Some(parked) = state.parked.take() else { continue };
            let orders = std::mem::take(&mut state.outbox);
            let ack = state.take_ack();
            let entries_changed = state.sent_entries_version != self.entries.version();
            state.sent_entries_version = self.entries.version();
            let entries = entries_changed.then(|| self.entries.hosts());
            let orders = AgentOrders { term, grant_ms, usage_interval_ms, ack, orders, entries };
            self.steps.push(ScheduleStep::Orders { call: parked.call, orders });
        }
    }
}
