//! Handles agents' heartbeats and reports: sessions (connections of an agent to
//! this scheduler), lives (process lifetimes) of their backend servers, refused
//! starts and ended runs.
//!
//! Invariant: messages of an earlier session change nothing, and a new session
//! begins with the list of all runs.

use std::time::{Duration, Instant};

use model::{
    AgentHeartbeat, AgentMessage, AgentOrder, AgentReport, Command, EndKind, EndNumber, EndedRun,
    EventLine, LinkId, MAX_INCARNATION, MAX_SESSION, NodeId, NumberedMessage, ResourceAmount,
    RunUpdate, ServerReport, ServerView, StartRefusal, TaskName, TaskRun,
};

use super::agent_link::AgentLink;
use super::agent_state::AgentState;
use super::live_job::Placement;
use super::scheduler::{ScheduleStep, Scheduler, SchedulerKind};
use super::server_sizes::ServerShape;
use super::speed_estimate::mean_factor;
use super::speed_preference::slowness_factor;

/// How long a backend server gets no work after it refused a start for lack of
/// capacity or as unhealthy.
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of different backend servers that a scheduler remembers.
const MAX_SEEN_SERVERS: usize = 8_192;

impl Scheduler {
    /// Handles a message of an agent. Its connection is closed if this host does not
    /// lead, or if the message is of an earlier session or starts one without the list
    /// of runs.
    pub fn on_agent_message(&mut self, now: Instant, link: LinkId, message: &NumberedMessage) {
        let accepted = match &message.message {
            AgentMessage::Report(report) => self.on_report(now, link, report),
            AgentMessage::Heartbeat(heartbeat) => self.on_heartbeat(link, heartbeat),
        };
        let Some(agent) = accepted else {
            return self.steps.push(ScheduleStep::CloseLink { link });
        };
        if let Some(state) = self.agents.get_mut(agent) {
            state.last_contact = now;
            if let Some(link) = &mut state.link {
                link.on_message(now, message.number);
            }
        }
        self.require_check(agent);
    }

    /// Handles the loss of an agent's connection. The agent's runs may still be active.
    pub fn on_link_lost(&mut self, now: Instant, link: LinkId) {
        for state in self.agents.values_mut() {
            if state.link.take_if(|open| open.id == link).is_some() {
                state.link_lost_at = Some(now);
            }
        }
        self.on_claim_keeper_lost(now);
    }

    /// Handles a heartbeat; `None` if it is not accepted.
    fn on_heartbeat<'a>(&self, link: LinkId, heartbeat: &'a AgentHeartbeat) -> Option<&'a NodeId> {
        let is_current = self.term.is_some() && self.has_link(&heartbeat.agent, link);
        is_current.then_some(&heartbeat.agent)
    }

    /// Handles a report; `None` if it is not accepted.
    fn on_report<'a>(
        &mut self,
        now: Instant,
        link: LinkId,
        report: &'a AgentReport,
    ) -> Option<&'a NodeId> {
        if self.term.is_none() || !self.enter_session(now, link, report) {
            return None;
        }
        self.update_server_view(now, report);
        self.take_reported_speed(report);
        self.take_reported_kinds(now, report);
        if let Some(runs) = &report.runs {
            self.reconcile_runs(now, report, runs);
        }
        self.apply_updates(now, report);
        for update in &report.claims {
            self.on_claim_update(now, &report.agent, update);
        }
        if !report.runs_partial {
            self.unreported_agents.swap_remove(&report.agent);
        }
        self.try_complete_takeover(now);
        Some(&report.agent)
    }

    /// Checks a report's session, and starts a new one if the report is newer and
    /// lists all runs; `false` if the report has to be ignored.
    fn enter_session(&mut self, now: Instant, link: LinkId, report: &AgentReport) -> bool {
        let agent = &report.agent;
        let reported = (report.incarnation, report.session);
        let known = self.agents.get(agent).map(|state| (state.incarnation, state.session));
        if known == Some(reported) && self.has_link(agent, link) {
            return true;
        }
        if known.is_some_and(|known| known >= reported) || report.runs.is_none() {
            return false;
        }
        if reported.0 > MAX_INCARNATION || reported.1 > MAX_SESSION {
            let line = EventLine::new("report_refused")
                .with("agent", agent)
                .with("incarnation", reported.0)
                .with("session", reported.1);
            self.steps.push(ScheduleStep::Log(line));
            return false;
        }
        if !self.is_registered(agent) {
            let agent = agent.clone();
            self.steps.push(ScheduleStep::Propose(vec![Command::RegisterAgent { agent }]));
        }
        let (incarnation, session) = reported;
        let state = self.agents.entry(agent.clone());
        let state = state.or_insert_with(|| AgentState::new(now, incarnation, session));
        if let Some(earlier) = state.link.take() {
            self.steps.push(ScheduleStep::CloseLink { link: earlier.id });
        }
        state.begin_session(now, incarnation, session);
        state.link = Some(AgentLink::new(link));
        state.link_lost_at = None;
        state.last_contact = now;
        let line = EventLine::new("agent_session")
            .with("agent", agent)
            .with("incarnation", incarnation)
            .with("session", session)
            .with("runs", report.runs.as_ref().map_or(0, Vec::len))
            .with("partial", report.runs_partial);
        self.steps.push(ScheduleStep::Log(line));
        self.list_claims(now, agent);
        true
    }

    fn has_link(&self, agent: &NodeId, link: LinkId) -> bool {
        let open = self.agents.get(agent).and_then(|state| state.link);
        open.is_some_and(|open| open.id == link)
    }

    /// Updates the state of the backend server, and resets it for a new life.
    fn update_server_view(&mut self, now: Instant, report: &AgentReport) {
        let Some(state) = self.agents.get_mut(&report.agent) else { return };
        self.placement_due |= !report.other_usage.fits(&state.other_usage);
        state.other_usage = report.other_usage;
        let server = match &report.server {
            ServerReport::Unchanged => return,
            ServerReport::Absent => None,
            ServerReport::Present(server) => Some(server),
        };
        let evacuated = self.store.evacuated();
        let is_evacuated = server.is_some_and(|server| evacuated.contains(&server.domain));
        state.reports_draining = server.is_some_and(|server| server.draining);
        let draining = state.reports_draining || is_evacuated;
        let server = server.map(|server| ServerView { draining, ..server.clone() });
        let server = server.as_ref();
        if state.server.as_ref() == server {
            return;
        }
        self.placement_due = true;
        let new_life = server.map(|server| &server.life) != state.life();
        state.server = server.cloned();
        self.seen_servers.extend(server.map(ServerShape::of));
        if self.seen_servers.len() > MAX_SEEN_SERVERS {
            self.seen_servers.shift_remove_index(0);
        }
        if new_life {
            state.begin_life(now);
            self.move_placements(&report.agent);
        }
        let line = EventLine::new("server_view").with("agent", &report.agent);
        let line = match server {
            None => line.with("life", "none"),
            Some(server) => line
                .with("life", &server.life)
                .with("cpu_milli", server.capacity.cpu_milli)
                .with("draining", server.draining),
        };
        self.steps.push(ScheduleStep::Log(line));
    }

    /// Takes the speed that an agent reports for its backend server.
    fn take_reported_speed(&mut self, report: &AgentReport) {
        let Some(speed) = report.speed.filter(|_| self.limits.speed_reports) else { return };
        let Some(state) = self.agents.get_mut(&report.agent) else { return };
        if state.server.is_none() {
            return;
        }
        self.counts.speed_reports += 1;
        let factor = slowness_factor(self.limits.incarnation, &report.agent)
            * mean_factor(self.limits.estimate_spread);
        if let Some(before) = state.set_reported_speed(speed, factor) {
            let line = EventLine::new("agent_speed")
                .with("agent", &report.agent)
                .with("slowness", format_args!("{:.3}", state.slowness()))
                .with("before", format_args!("{before:.3}"))
                .with("jobs", speed.jobs);
            self.steps.push(ScheduleStep::Log(line));
        }
    }

    /// Moves the placements on an agent to the current life of its backend server, which
    /// may have accepted runs that were ordered for an earlier one. Those that it does not
    /// have are reported as ended.
    fn move_placements(&mut self, agent: &NodeId) {
        let life = self.agents.get(agent).and_then(|state| state.life().cloned());
        let placed = self.placements.values_mut();
        for placed in placed.filter(|placed| placed.agent == *agent && !placed.ended) {
            placed.life = life.clone().unwrap_or_default();
        }
        self.recompute_usage(agent);
    }

    /// Reconciles the placements on an agent with its list of runs. A listed run that is not
    /// placed there is adopted or stopped.
    fn reconcile_runs(&mut self, now: Instant, report: &AgentReport, runs: &[TaskRun]) {
        let agent = &report.agent;
        if !report.runs_partial {
            self.requeue_missing(report, runs);
        }
        for run in runs {
            if !self.adopt(now, report, run) {
                self.push_order(&report.agent, AgentOrder::Stop { run: run.clone() });
            }
        }
        for run in &report.unowned {
            if self.adopt(now, report, run) {
                self.push_order(&report.agent, AgentOrder::Keep { run: run.clone() });
            }
        }
        self.recompute_usage(agent);
    }

    /// Queues the tasks again that are placed on an agent whose list of all runs does not show
    /// them: their runs never arrived there, or ended with its life.
    fn requeue_missing(&mut self, report: &AgentReport, runs: &[TaskRun]) {
        let missing: Vec<TaskRun> = self
            .placements
            .iter()
            .filter(|(task, placed)| {
                let mut listed = runs.iter().chain(&report.unowned);
                let is_active = placed.agent == report.agent && !placed.ended;
                is_active && !listed.any(|run| run.task == **task && run.run == placed.run)
            })
            .map(|(task, placed)| TaskRun { task: task.clone(), run: placed.run })
            .collect();
        for run in missing {
            if !report.updates.iter().any(|update| *run_of(update) == run) {
                self.placements.swap_remove(&run.task);
                self.requeue_task(&run.task);
            }
        }
    }

    /// Adopts a listed run if it is the task's placement and its job has not ended, or if
    /// the task is open and not placed; `false` if the run should be stopped.
    fn adopt(&mut self, now: Instant, report: &AgentReport, run: &TaskRun) -> bool {
        if let Some(placed) = self.placements.get(&run.task) {
            let is_placed = placed.agent == report.agent && placed.run == run.run;
            return is_placed && self.live.contains_key(&run.task.job);
        }
        if self.claims.is_pending(&run.task.job) {
            // Without the claim, the run is another entry's, or an earlier process's.
            return false;
        }
        let record = self.record(&run.task.job);
        let open = record.is_some_and(|record| !record.is_done(&run.task));
        let life = self.agents.get(&report.agent).and_then(|state| state.life().cloned());
        let (Some(size), true, Some(life)) = (self.size_of(&run.task), open, life) else {
            return false;
        };
        let agent = report.agent.clone();
        let queue = self.live.get(&run.task.job).map(|live| live.job.queue.clone());
        let queue = queue.unwrap_or_default();
        let placed = Placement::new(agent, life, run.run, size, now).of_queue(queue);
        self.placements.insert(run.task.clone(), placed);
        if let Some(live) = self.live.get_mut(&run.task.job) {
            live.started = true;
            live.begun = true;
            let last = live.last_runs.entry(run.task.clone()).or_insert(0);
            *last = (*last).max(run.run);
        }
        true
    }

    fn size_of(&self, task: &TaskName) -> Option<ResourceAmount> {
        let live = self.live.get(&task.job)?;
        let is_known = live.job.has_task(task);
        live.job.steps.get(task.step as usize).filter(|_| is_known).map(|step| step.size)
    }

    /// Recomputes an agent's usage from the placements.
    fn recompute_usage(&mut self, agent: &NodeId) {
        let placed = self.placements.values();
        let on_agent = placed.filter(|placed| placed.agent == *agent && !placed.ended);
        if let Some(state) = self.agents.get_mut(agent) {
            state.clear_runs();
            for placed in on_agent {
                state.add_run(&placed.size, &placed.queue);
            }
        }
        self.placement_due = true;
    }

    /// Applies refused starts and ended runs. Ends of stored jobs are proposed to
    /// the log; those of best-effort jobs take effect at once, if the run is placed here:
    /// every entry numbers its runs from 1, and the agent reports the end of a run that
    /// nobody claimed to all of them. The end of a stored job's run that was given up and
    /// replaced is not recorded.
    fn apply_updates(&mut self, now: Instant, report: &AgentReport) {
        let mut ends = Vec::new();
        for update in &report.updates {
            match update {
                RunUpdate::Refused { run, refusal } => {
                    self.on_refused(now, &report.agent, run, *refusal);
                }
                RunUpdate::Ended { number, run, kind, ran_ms } => {
                    if self.is_new_end(&report.agent, *number, run) {
                        let ran = ran_ms.map(Duration::from_millis);
                        let is_placed = self.on_ended(now, &report.agent, run, *kind, ran);
                        if is_placed || (self.is_stored(run) && !self.is_superseded(run)) {
                            ends.push(EndedRun { run: run.clone(), kind: *kind });
                        } else {
                            // There is nothing to record here.
                            self.acknowledge_end(now, run);
                        }
                    }
                }
            }
        }
        let (volatile_ends, ends): (Vec<EndedRun>, Vec<EndedRun>) =
            ends.into_iter().partition(|end| !self.is_stored(&end.run));
        if !volatile_ends.is_empty() {
            let change = self.volatile_store.end_runs(&volatile_ends, 0);
            self.on_change(now, change);
        }
        if !ends.is_empty() {
            for end in &ends {
                self.proposed_ends.add(&end.run);
            }
            self.steps.push(ScheduleStep::Propose(vec![Command::EndRuns { ends }]));
        }
    }

    /// Records a reported end that has to be acknowledged; `false` if it is a
    /// duplicate. Ends of best-effort jobs are not acknowledged.
    fn is_new_end(&mut self, agent: &NodeId, number: EndNumber, run: &TaskRun) -> bool {
        match self.kind {
            SchedulerKind::Entry => true,
            SchedulerKind::Control => {
                let state = self.agents.get_mut(agent);
                state.is_some_and(|state| state.add_reported_end(number, run))
            }
        }
    }

    /// Whether the end of a run has to be recorded in the log.
    fn is_stored(&self, run: &TaskRun) -> bool {
        self.kind == SchedulerKind::Control && self.store.job(&run.task.job).is_some()
    }

    /// Whether a later run of the task was ordered since, because this one was given up: its
    /// end doesn't count, as the lease that it was listed under has expired.
    fn is_superseded(&mut self, run: &TaskRun) -> bool {
        let later = self.placements.get(&run.task).filter(|placed| placed.run > run.run);
        let Some(placed) = later else { return false };
        let line = EventLine::new("end_superseded")
            .with("run", run)
            .with("by", placed.run)
            .with("agent", &placed.agent);
        self.steps.push(ScheduleStep::Log(line));
        true
    }

    fn on_refused(&mut self, now: Instant, agent: &NodeId, run: &TaskRun, refusal: StartRefusal) {
        let line = EventLine::new("start_refused")
            .with("run", run)
            .with("agent", agent)
            .with("cause", refusal);
        self.steps.push(ScheduleStep::Log(line));
        self.counts.refused += 1;
        if let Some(state) = self.agents.get_mut(agent) {
            match refusal {
                StartRefusal::Room => state.pause(now + REFUSAL_PAUSE),
                StartRefusal::Unhealthy => {
                    state.pause(now + REFUSAL_PAUSE);
                    state.record_failure(now);
                }
                _ => {}
            }
        }
        if self.remove_placement(agent, run) {
            if let Some(live) = self.live.get_mut(&run.task.job) {
                live.unrefused_runs = live.unrefused_runs.saturating_sub(1);
            }
            self.return_share(now, &run.task);
            self.requeue_task(&run.task);
        }
    }

    /// Removes the placement of a run; `false` if the run is not placed there.
    fn remove_placement(&mut self, agent: &NodeId, run: &TaskRun) -> bool {
        let placed = self.placements.get(&run.task);
        if !placed.is_some_and(|placed| placed.agent == *agent && placed.run == run.run) {
            return false;
        }
        if let Some(placed) = self.placements.swap_remove(&run.task) {
            self.release_capacity(&placed);
        }
        true
    }

    /// Releases the capacity of a placement whose run has not been reported as
    /// ended before.
    fn release_capacity(&mut self, placed: &Placement) {
        if let Some(state) = self.agents.get_mut(&placed.agent)
            && state.life() == Some(&placed.life)
            && !placed.ended
        {
            state.remove_run(&placed.size, &placed.queue);
            self.placement_due = true;
        }
    }

    /// Handles a reported end: its capacity is released at once, while the job
    /// continues only once the end is recorded. `ran` is the run time that the
    /// agent measured; without it this scheduler's own delays count as run time. Returns
    /// `false` if the run is not placed on the agent.
    fn on_ended(
        &mut self,
        now: Instant,
        agent: &NodeId,
        run: &TaskRun,
        kind: EndKind,
        ran: Option<Duration>,
    ) -> bool {
        let placed = self.placements.get(&run.task).cloned();
        let Some(placed) = placed.filter(|placed| placed.agent == *agent && placed.run == run.run)
        else {
            return false;
        };
        self.release_capacity(&placed);
        if let Some(live) = self.live.get_mut(&run.task.job) {
            live.begun = true;
        }
        let seen = now.saturating_duration_since(placed.since);
        let ran = ran.unwrap_or(seen);
        self.report_delay.add_sample(seen.saturating_sub(ran));
        let estimate = self.live.get(&run.task.job).and_then(|live| {
            live.job.steps.get(run.task.step as usize).map(model::JobStep::estimate)
        });
        if let Some(state) = self.agents.get_mut(agent) {
            match (kind, estimate) {
                (EndKind::Done, Some(estimate)) => state.record_run_time(now, ran, estimate),
                (EndKind::Stopped, Some(estimate)) => state.add_overdue_sample(now, ran, estimate),
                (EndKind::Failed, _) => state.record_failure(now),
                _ => {}
            }
        }
        if let (Some(estimate), EndKind::Done) = (estimate, kind)
            && let Some(live) = self.live.get_mut(&run.task.job)
        {
            live.run_ratio = live.run_ratio.max(placed.run_ratio(ran, estimate));
        }
        if let Some(placed) = self.placements.get_mut(&run.task) {
            placed.ended = true;
        }
        if kind != EndKind::Done {
            let line = EventLine::new("run_ended")
                .with("run", run)
                .with("agent", agent)
                .with("kind", kind)
                .with("ran_ms", ran.as_millis());
            self.steps.push(ScheduleStep::Log(line));
        }
        true
    }

    /// Allows agents to acknowledge the end of a run to their backend servers. Only
    /// control does.
    fn acknowledge_end(&mut self, now: Instant, run: &TaskRun) {
        if self.kind == SchedulerKind::Control {
            for state in self.agents.values_mut() {
                state.mark_end_recorded(now, run);
            }
            self.agent_checks.require(now + self.limits.ack_delay);
        }
    }

    /// Handles a recorded end: it can be acknowledged, and the job continues.
    pub(super) fn on_end_recorded(&mut self, now: Instant, end: &EndedRun) {
        let task = &end.run.task;
        self.acknowledge_end(now, &end.run);
        let was_proposed = self.proposed_ends.remove(&end.run);
        let current = self.placements.get(task).is_some_and(|placed| placed.run == end.run.run);
        if current {
            self.placements.swap_remove(task);
        }
        match end.kind {
            EndKind::Done => self.release_steps(&task.job),
            EndKind::Failed | EndKind::Stopped | EndKind::Lapsed if current || was_proposed => {
                self.requeue_task(task);
            }
            _ => {}
        }
    }
}

fn run_of(update: &RunUpdate) -> &TaskRun {
    match update {
        RunUpdate::Refused { run, .. } | RunUpdate::Ended { run, .. } => run,
    }
}
