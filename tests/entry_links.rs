//! The transport between agents and entries in `EntryModel`. One session links an agent to
//! an entry at a time, with at most one report and one poll in flight. A poll is answered
//! with orders, or without any after a while.
//!
//! All that depends on how messages travel stands here: what is sent and when, what an
//! entry pays for it, and when a session ends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use decisions::schedule::ScheduleStep;
use model::{AgentOrders, AgentPoll, AgentReport, CallId, SessionId};

use crate::entry_model::{EntryModel, Event, Inbound, agent_name};
use crate::overload_model::{LINK_DELAY, MESSAGE_COST};

/// Time without an answer to a report or a poll after which a session ends.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay between attempts to open a session.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A message of an agent to an entry.
pub(crate) enum ToEntry {
    Report(Box<AgentReport>),
    /// A poll with the time at which it was sent.
    Poll(Instant),
}

impl ToEntry {
    /// Processor time of the entry for this message and the replies that it causes.
    pub(crate) fn cost(&self) -> Duration {
        match self {
            ToEntry::Report(_) | ToEntry::Poll(_) => MESSAGE_COST,
        }
    }
}

/// A message of an entry to an agent.
pub(crate) enum ToAgent {
    ReportAcked,
    /// The reply to the poll that was sent at this time.
    Orders(Instant, AgentOrders),
    /// A report or poll is not accepted, so the session ends.
    Rejected,
}

impl ToAgent {
    /// Processor time of the entry for this message besides that of the message that it
    /// replies to.
    pub(crate) fn cost(&self) -> Duration {
        match self {
            ToAgent::ReportAcked | ToAgent::Orders(..) | ToAgent::Rejected => Duration::ZERO,
        }
    }
}

/// An agent's end of its link to an entry.
#[derive(Default)]
pub(crate) struct AgentLink {
    session: SessionId,
    is_open: bool,
    report_sent_at: Option<Instant>,
    poll_sent_at: Option<Instant>,
}

/// An entry's end of its links: agent, session and time of each open poll.
pub(crate) type OpenPolls = BTreeMap<CallId, (usize, SessionId, Instant)>;

impl EntryModel {
    /// Opens a session; tries again later while the agent is cut off.
    pub(crate) fn open_session(&mut self, agent: usize, entry: usize) {
        if self.agents[agent].is_cut {
            return self.after(RETRY_DELAY, Event::Connect { agent, entry });
        }
        let link = &mut self.agents[agent].links[entry];
        *link = AgentLink { session: link.session + 1, is_open: true, ..AgentLink::default() };
        let (session, key) = (link.session, self.entries[entry].key.clone());
        let steps = self.agents[agent].table.on_opened(self.now, key, session);
        self.apply_run_steps(agent, steps);
    }

    fn close_session(&mut self, agent: usize, entry: usize) {
        let link = &mut self.agents[agent].links[entry];
        link.is_open = false;
        let (session, key) = (link.session, &self.entries[entry].key);
        let steps = self.agents[agent].table.on_closed(self.now, key, session);
        self.apply_run_steps(agent, steps);
        self.after(RETRY_DELAY, Event::Connect { agent, entry });
    }

    /// Ends the sessions in which a report or a poll was not answered in time.
    pub(crate) fn check_links(&mut self) {
        for agent in 0..self.agents.len() {
            for entry in 0..self.entries.len() {
                let link = &self.agents[agent].links[entry];
                let sent_at = link.report_sent_at.into_iter().chain(link.poll_sent_at).min();
                if link.is_open && sent_at.is_some_and(|at| at + REPLY_TIMEOUT <= self.now) {
                    self.close_session(agent, entry);
                }
            }
        }
    }

    /// Sends a report that the agent's run table has made.
    pub(crate) fn send_report(&mut self, agent: usize, entry: usize, report: AgentReport) {
        let link = &mut self.agents[agent].links[entry];
        if !link.is_open || report.session != link.session {
            return;
        }
        link.report_sent_at = Some(self.now);
        self.send_to_entry(agent, entry, ToEntry::Report(Box::new(report)));
    }

    fn send_poll(&mut self, agent: usize, entry: usize) {
        self.agents[agent].links[entry].poll_sent_at = Some(self.now);
        self.send_to_entry(agent, entry, ToEntry::Poll(self.now));
    }

    fn send_to_entry(&mut self, agent: usize, entry: usize, message: ToEntry) {
        let session = self.agents[agent].links[entry].session;
        let message = Inbound::Agent { agent, session, message };
        self.after(LINK_DELAY, Event::AtEntry { entry, message });
    }

    /// Handles an agent's message at the entry.
    pub(crate) fn handle_at_entry(
        &mut self,
        entry: usize,
        agent: usize,
        session: SessionId,
        message: ToEntry,
    ) -> Vec<ScheduleStep> {
        let call = self.new_id();
        let node = &mut self.entries[entry];
        match message {
            ToEntry::Report(report) => {
                if report.updates.is_empty() {
                    node.counts.usage_reports += 1;
                } else {
                    node.counts.end_reports += 1;
                }
                let (accepted, steps) = node.scheduler.on_report(self.now, &report);
                let reply = if accepted { ToAgent::ReportAcked } else { ToAgent::Rejected };
                node.outgoing.push((agent, session, reply));
                steps
            }
            ToEntry::Poll(polled_at) => {
                node.counts.polls += 1;
                node.polls.insert(call, (agent, session, polled_at));
                let poll = AgentPoll { agent: agent_name(agent), incarnation: 1, session };
                node.scheduler.on_poll(self.now, call, &poll)
            }
        }
    }

    /// Sends orders of an entry's scheduler with the reply to a poll.
    pub(crate) fn send_orders(&mut self, entry: usize, call: CallId, orders: AgentOrders) {
        let node = &mut self.entries[entry];
        let Some((agent, session, polled_at)) = node.polls.remove(&call) else { return };
        node.counts.orders += u64::from(!orders.orders.is_empty());
        node.outgoing.push((agent, session, ToAgent::Orders(polled_at, orders)));
    }

    /// Answers a poll that the entry's scheduler drops.
    pub(crate) fn drop_poll(&mut self, entry: usize, call: CallId) {
        let node = &mut self.entries[entry];
        let Some((agent, session, _)) = node.polls.remove(&call) else { return };
        node.outgoing.push((agent, session, ToAgent::Rejected));
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
        if !link.is_open || link.session != session {
            return;
        }
        match message {
            ToAgent::ReportAcked => {
                link.report_sent_at = None;
                // Polls start once the first report is accepted.
                let polls = link.poll_sent_at.is_some();
                let steps = node.table.on_report_acked(self.now, &key, session);
                self.apply_run_steps(agent, steps);
                if !polls {
                    self.send_poll(agent, entry);
                }
            }
            ToAgent::Orders(polled_at, orders) => {
                let steps = node.table.on_orders(self.now, &key, session, polled_at, orders);
                self.apply_run_steps(agent, steps);
                self.send_poll(agent, entry);
            }
            ToAgent::Rejected => self.close_session(agent, entry),
        }
    }
}
