//! Takeover by a new leader, and the contact timeout of agents.
//!
//! Invariant: no task of a job from before the term starts until every
//! registered agent has reported its runs or its contact timeout has passed.

use std::time::Instant;

use indexmap::IndexSet;
use model::{Command, EventLine, JobId, JobReply, NodeId, TaskName};

use super::proposed_ends::ProposedEnds;
use super::ready_queue::ReadyQueue;
use super::scheduler::{ScheduleStep, Scheduler, SchedulerKind};

impl Scheduler {
    /// Clears all state that is not in the log. Callers that wait for a job get the
    /// reply that its outcome is unknown, and the connections of agents are closed.
    pub(super) fn reset_volatile_state(&mut self) {
        for link in self.agents.values().filter_map(|state| state.link) {
            self.steps.push(ScheduleStep::CloseLink { link: link.id });
        }
        self.agents.clear();
        let waiting: Vec<JobId> = self.live.keys().cloned().collect();
        for id in waiting {
            self.answer_waiter(&id, JobReply::Unclear);
            self.volatile_store.remove(&id);
        }
        self.live.clear();
        self.placements.clear();
        self.ready = ReadyQueue::default();
        self.proposed_ends = ProposedEnds::default();
        self.unreported_agents = IndexSet::new();
        self.held_jobs.clear();
    }

    /// Holds open jobs until every agent that may run tasks has reported, or
    /// until its grant and the lease of its backend server have expired.
    pub(super) fn begin_takeover(&mut self, now: Instant) {
        self.leader_since = now;
        self.unreported_agents = self.store.registered_agents().clone();
        let open = self.store.jobs().iter().filter(|(_, record)| record.ended.is_none());
        let open: Vec<JobId> = open.map(|(id, _)| id.clone()).collect();
        for id in &open {
            self.make_live(now, id);
        }
        let line = EventLine::new("takeover")
            .with("term", self.term.unwrap_or_default())
            .with("open_jobs", open.len())
            .with("agents", self.unreported_agents.len());
        self.steps.push(ScheduleStep::Log(line));
        self.held_jobs = open.into_iter().collect();
        self.try_complete_takeover(now);
    }

    /// Releases the held jobs once no registered agent is left to report.
    pub(super) fn try_complete_takeover(&mut self, now: Instant) {
        if !self.unreported_agents.is_empty() || self.held_jobs.is_empty() {
            return;
        }
        let waited = now.saturating_duration_since(self.leader_since);
        let line = EventLine::new("takeover_complete")
            .with("jobs", self.held_jobs.len())
            .with("waited_ms", waited.as_millis());
        self.steps.push(ScheduleStep::Log(line));
        for id in std::mem::take(&mut self.held_jobs) {
            self.release_steps(&id);
        }
    }

    /// Deregisters agents that have not reported within the contact timeout.
    pub(super) fn expire_takeover(&mut self, now: Instant) {
        if self.unreported_agents.is_empty()
            || now < self.leader_since + self.limits.contact_timeout()
        {
            return;
        }
        for agent in std::mem::take(&mut self.unreported_agents) {
            self.deregister(now, agent);
        }
        self.try_complete_takeover(now);
    }

    /// Deregisters agents whose last contact is longer ago than the timeout.
    pub(super) fn expire_agents(&mut self, now: Instant) {
        let contact_timeout = self.limits.contact_timeout();
        let expired =
            self.agents.iter().filter(|(_, state)| state.last_contact + contact_timeout <= now);
        let expired: Vec<NodeId> = expired.map(|(agent, _)| agent.clone()).collect();
        for agent in expired {
            self.deregister(now, agent);
        }
    }

    /// Removes an agent and queues its tasks again. The agent's grant and the
    /// backend server's lease have expired, so none of its runs is active.
    fn deregister(&mut self, now: Instant, agent: NodeId) {
        let silent_ms = self
            .agents
            .get(&agent)
            .map_or(0, |state| now.saturating_duration_since(state.last_contact).as_millis());
        let line = EventLine::new("agent_lost").with("agent", &agent).with("silent_ms", silent_ms);
        self.steps.push(ScheduleStep::Log(line));
        if let Some(state) = self.agents.shift_remove(&agent)
            && let Some(link) = state.link
        {
            self.steps.push(ScheduleStep::CloseLink { link: link.id });
        }
        self.on_agent_departed(now, &agent);
        let placed = self.placements.iter();
        let on_agent = placed.filter(|(_, placed)| placed.agent == agent && !placed.ended);
        let lost: Vec<TaskName> = on_agent.map(|(task, _)| task.clone()).collect();
        for task in lost {
            self.placements.swap_remove(&task);
            self.requeue_task(&task);
        }
        if self.kind == SchedulerKind::Control {
            self.steps.push(ScheduleStep::Propose(vec![Command::DeregisterAgent { agent }]));
        }
    }
}
