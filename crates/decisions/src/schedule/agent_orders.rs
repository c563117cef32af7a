//! Sends agents their orders, with grants and acknowledgements. Orders go at once;
//! acknowledgements wait for a while to go with them.

use std::time::{Duration, Instant};

use model::{AgentOrder, AgentOrders, MAX_UNACKED_REPORTS, NodeId};

use super::agent_state::AgentState;
use super::scheduler::{ScheduleStep, Scheduler};

/// Target rate over all agents of reports that carry only a changed usage by
/// other schedulers.
const MAX_USAGE_REPORTS_PER_SECOND: u32 = 300;
/// Minimum time between two such reports of one agent.
const MIN_USAGE_INTERVAL: Duration = Duration::from_millis(50);
/// Unacknowledged messages of an agent that are acknowledged without delay, before
/// the agent has to hold back reports.
const PROMPT_ACK_COUNT: u64 = MAX_UNACKED_REPORTS as u64 - 1;

impl Scheduler {
    /// Time at which a message to an agent is due even without orders: at once if
    /// a list of hosts or of watched kinds has changed or many messages wait for their acknowledgement,
    /// after `ack_delay` if there are ends to acknowledge, and otherwise `reply_wait`
    /// after the first message that is not acknowledged.
    pub(super) fn message_due(&self, state: &AgentState) -> Option<Instant> {
        let link = state.link?;
        if state.sent_hosts_version != self.hosts.version()
            || state.sent_kinds_version != self.kinds_version()
        {
            return Some(state.last_contact);
        }
        let reply_wait = match link.unacked() {
            PROMPT_ACK_COUNT.. => Duration::ZERO,
            _ => self.limits.reply_wait,
        };
        let reply_due = link.unacked_since().map(|since| since + reply_wait);
        let ack_due = state.unsent_ack_since.map(|since| since + self.limits.ack_delay);
        reply_due.into_iter().chain(ack_due).min()
    }

    /// Minimum time between an agent's reports of changed usage alone; grows with
    /// the number of agents to bound the total rate.
    fn usage_interval(&self) -> Duration {
        let agents = self.agents.len() as u32;
        (Duration::from_secs(1) * agents / MAX_USAGE_REPORTS_PER_SECOND).max(MIN_USAGE_INTERVAL)
    }

    /// Adds an order for an agent, which [`Scheduler::send_orders`] sends.
    pub(super) fn push_order(&mut self, agent: &NodeId, order: AgentOrder) {
        if let Some(state) = self.agents.get_mut(agent) {
            state.outbox.push(order);
            self.due_agents.insert(agent.clone());
        }
    }

    /// Sends a message to each agent to which one is due, unless it is not connected.
    pub(super) fn send_orders(&mut self) {
        for agent in std::mem::take(&mut self.due_agents) {
            self.send_to_agent(&agent);
        }
    }

    fn send_to_agent(&mut self, agent: &NodeId) {
        let term = self.term.unwrap_or_default();
        let usage_interval_ms = self.usage_interval().as_millis() as u64;
        let kinds_version = self.kinds_version();
        let Some(state) = self.agents.get_mut(agent) else { return };
        let Some(link) = &mut state.link else { return };
        let (id, received) = (link.id, link.ack_all());
        let hosts_changed = state.sent_hosts_version != self.hosts.version();
        state.sent_hosts_version = self.hosts.version();
        let kinds_changed = state.sent_kinds_version != kinds_version;
        state.sent_kinds_version = kinds_version;
        let interference = self.interference.as_ref().filter(|_| kinds_changed);
        let orders = AgentOrders {
            term,
            received,
            grant_ms: self.limits.grant.as_millis() as u64,
            usage_interval_ms,
            ack: state.take_ack(),
            orders: std::mem::take(&mut state.outbox),
            claims: state.take_claim_orders(self.limits.incarnation),
            entries: hosts_changed.then(|| self.hosts.entries()).flatten(),
            controls: hosts_changed.then(|| self.hosts.controls()).flatten(),
            evacuated: hosts_changed.then(|| self.hosts.evacuated()),
            watched_kinds: interference.map(|known| known.watched_kinds()),
        };
        self.steps.push(ScheduleStep::Orders { link: id, orders: Box::new(orders) });
    }
}
