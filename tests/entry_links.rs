//! The transport between agents and entries in `EntryModel`: one stream each way. An agent
//! sends reports, and heartbeats where it has nothing to report; an entry sends orders,
//! which acknowledge the agent's messages.
//!
//! All that depends on how messages travel stands here: what is sent and when, what an
//! entry pays for it, and when a session ends.

use std::time::{Duration, Instant};

use model::{
    AgentHeartbeat, AgentMessage, AgentOrders, AgentReport, LinkId, NumberedMessage, SessionId,
};

use crate::entry_model::{EntryModel, Event, Inbound, agent_name};
use crate::link_model::LinkModel;
use crate::overload_model::LINK_DELAY;

/// Time that a host with an eighth of a core takes for one message of a stream, in either
/// direction.
pub(crate) const STREAM_COST: Duration = Duration::from_micros(200);
/// Time without an acknowledgement after which a session ends.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay between attempts to open a session.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A message of an entry to an agent.
pub(crate) enum ToAgent {
    Orders(Box<AgentOrders>),
    /// The session is over.
    Closed,
}

/// An agent's end of its link to an entry.
#[derive(Default)]
pub(crate) struct AgentLink {
    session: SessionId,
    open: Option<LinkModel>,
}

/// Id of the link of a session; sessions of one agent with one entry are numbered.
fn link_id(agent: usize, session: SessionId) -> LinkId {
    session << 32 | agent as u64
}

/// Agent and session of a link.
fn owner_of(link: LinkId) -> (usize, SessionId) {
    ((link & u64::from(u32::MAX)) as usize, link >> 32)
}

impl EntryModel {
    /// Opens a session; tries again later while the agent is cut off.
    pub(crate) fn open_session(&mut self, agent: usize, entry: usize) {
        if self.agents[agent].is_cut {
            return self.after(RETRY_DELAY, Event::Connect { agent, entry });
        }
        let link = &mut self.agents[agent].links[entry];
        *link = AgentLink { session: link.session + 1, open: Some(LinkModel::new(self.now)) };
        let (session, key) = (link.session, self.entries[entry].key.clone());
        let steps = self.agents[agent].table.on_opened(self.now, key, session);
        self.apply_run_steps(agent, steps);
    }

    fn close_session(&mut self, agent: usize, entry: usize) {
        let link = &mut self.agents[agent].links[entry];
        link.open = None;
        let (session, key) = (link.session, &self.entries[entry].key);
        let steps = self.agents[agent].table.on_closed(self.now, key, session);
        self.apply_run_steps(agent, steps);
        self.after(RETRY_DELAY, Event::Connect { agent, entry });
    }

    /// Ends the sessions in which a message was not acknowledged in time, and sends the
    /// heartbeats that are due.
    pub(crate) fn check_links(&mut self) {
        for agent in 0..self.agents.len() {
            for entry in 0..self.entries.len() {
                let Some(open) = &self.agents[agent].links[entry].open else { continue };
                let is_active = self.agents[agent].table.is_active(&self.entries[entry].key);
                let is_late = |since: Instant| since + ACK_TIMEOUT <= self.now;
                if open.unacked_since().is_some_and(is_late) {
                    self.close_session(agent, entry);
                } else if open.heartbeat_due(self.now, is_active) {
                    self.send_heartbeat(agent, entry);
                }
            }
        }
    }

    fn send_heartbeat(&mut self, agent: usize, entry: usize) {
        let session = self.agents[agent].links[entry].session;
        let heartbeat = AgentHeartbeat { agent: agent_name(agent), incarnation: 1, session };
        self.send_to_entry(agent, entry, AgentMessage::Heartbeat(heartbeat));
    }

    /// Sends a report that the agent's run table has made.
    pub(crate) fn send_report(&mut self, agent: usize, entry: usize, report: AgentReport) {
        let link = &self.agents[agent].links[entry];
        if link.open.is_some() && report.session == link.session {
            self.send_to_entry(agent, entry, AgentMessage::Report(Box::new(report)));
        }
    }

    fn send_to_entry(&mut self, agent: usize, entry: usize, message: AgentMessage) {
        let link = &mut self.agents[agent].links[entry];
        let Some(open) = &mut link.open else { return };
        let message = open.send(self.now, message);
        let message = Inbound::Agent { agent, session: link.session, message };
        self.after(LINK_DELAY, Event::AtEntry { entry, message });
    }

    /// Handles an agent's message at the entry.
    pub(crate) fn handle_at_entry(
        &mut self,
        entry: usize,
        agent: usize,
        session: SessionId,
        message: &NumberedMessage,
    ) {
        let node = &mut self.entries[entry];
        match &message.message {
            AgentMessage::Report(report) if report.updates.is_empty() => {
                node.counts.usage_reports += 1;
            }
            AgentMessage::Report(_) => node.counts.end_reports += 1,
            AgentMessage::Heartbeat(_) => node.counts.heartbeats += 1,
        }
        node.scheduler.on_agent_message(self.now, link_id(agent, session), message);
    }

    /// Sends orders of an entry's scheduler to an agent.
    pub(crate) fn send_orders(&mut self, entry: usize, link: LinkId, orders: AgentOrders) {
        let (agent, session) = owner_of(link);
        let node = &mut self.entries[entry];
        node.counts.sent += 1;
        node.outgoing.push((agent, session, ToAgent::Orders(Box::new(orders))));
    }

    /// Closes a connection of an entry's scheduler.
    pub(crate) fn close_link(&mut self, entry: usize, link: LinkId) {
        let (agent, session) = owner_of(link);
        let node = &mut self.entries[entry];
        node.counts.sent += 1;
        node.outgoing.push((agent, session, ToAgent::Closed));
    }

    /// Handles an entry's message at the agent.
    pub(crate) fn handle_at_agent(
        &mut self,
        agent: usize,
        entry: usize,
        session: SessionId,
        message: ToAgent,
    ) {
        let key = self.entries[entry].key.clone();
        let node = &mut self.agents[agent];
        let link = &mut node.links[entry];
        let Some(open) = link.open.as_mut().filter(|_| link.session == session) else { return };
        match message {
            ToAgent::Orders(orders) => {
                let reports = open.on_ack(orders.received);
                let sent_at = open.acked_at();
                let table = &mut node.table;
                let mut steps = table.on_reports_acked(self.now, &key, session, reports);
                steps.extend(table.on_orders(self.now, &key, session, sent_at, *orders));
                self.apply_run_steps(agent, steps);
            }
            ToAgent::Closed => self.close_session(agent, entry),
        }
    }
}
