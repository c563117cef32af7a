//! Task placement: queues the tasks of steps whose dependencies are done, and
//! places each on the agent that a search finds.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{
    AgentOrder, EventLine, JobId, JobPhase, JobReply, JobStep, NodeId, QueuedJob, RunNumber,
    StepIndex, TaskName, TaskRun, later, scaled,
};

use super::agent_search::{AgentChoice, AgentSearch};
use super::live_job::{LiveJob, Placement};
use super::placement_order::OrderedGroup;
use super::placement_round::PlacementRound;
use super::queue_shares::ShareRank;
use super::scheduler::{ScheduleLimits, ScheduleStep, Scheduler};
use super::server_sizes::ServerSizes;
use super::step_spread::StepSpread;
use crate::control::JobStore;

/// Number of groups that were searched for in vain after which a placement round skips
/// most others, which bounds the cost of a round while capacity is short.
const MAX_VAIN_GROUPS: usize = 24;
/// Number of the skipped groups that a round tries all the same. They take turns, so that
/// no group is hidden for good by others that can't run.
const MAX_RETRIED_GROUPS: usize = 8;
/// Number of tasks of one group that a round places; the others wait for the next round, so
/// that inputs are handled between.
const MAX_GROUP_STARTS: usize = 256;
/// Size of the range of run numbers that each leadership term has for a task, so
/// that the runs of different leaders have different numbers. A task that lasts has
/// many runs in one term.
const RUNS_PER_TERM: RunNumber = 100_000;

impl Scheduler {
    /// Starts scheduling a newly accepted job.
    pub(super) fn activate(&mut self, now: Instant, id: &JobId) {
        if self.make_live(now, id) {
            self.release_steps(id);
        }
    }

    /// Creates the scheduling state of a job; `false` if its record has no job
    /// description, or if an earlier version stored it with more steps or tasks than
    /// can be scheduled. Such a job stays queued until it is cancelled.
    pub(super) fn make_live(&mut self, now: Instant, id: &JobId) -> bool {
        let Some(record) = self.record(id) else { return false };
        let Some(job) = record.job.clone() else { return false };
        if let Err(error) = job.check_size() {
            let line = EventLine::new("job_unschedulable").with("job", id).with("reason", error);
            self.steps.push(ScheduleStep::Log(line));
            return false;
        }
        let critical_path = job.critical_path();
        let rule = self.rule_of(&job);
        let objective = rule.map_or(critical_path, |rule| rule.objective(critical_path));
        let terms = self.term.unwrap_or_default().saturating_sub(record.accepted_term);
        let has_done = !record.done.is_empty();
        let rule = rule.cloned();
        let class = self.admit_work(now, &job, rule.as_ref());
        self.add_rack_demand(now, &job, rule.as_ref());
        let live = LiveJob {
            class,
            job,
            deadline: later(now, objective),
            since: now,
            critical_path,
            started: has_done,
            begun: has_done,
            unrefused_runs: 0,
            run_ratio: 0.0,
            released_steps: IndexSet::new(),
            last_runs: IndexMap::new(),
            first_run: terms * RUNS_PER_TERM + 1,
            waiter: None,
        };
        self.live.insert(id.clone(), live);
        true
    }

    /// Queues the tasks of each step whose dependencies are done, except those
    /// done or placed already. Held jobs are skipped: which of their tasks run
    /// is not known until the takeover is complete.
    pub(super) fn release_steps(&mut self, id: &JobId) {
        if self.is_held(id) {
            return;
        }
        let Some(live) = self.live.get_mut(id) else { return };
        let record = self.volatile_store.job(id).or_else(|| self.store.job(id));
        let Some(record) = record else { return };
        let job = live.job.clone();
        for step in 0..job.steps.len() as StepIndex {
            if live.released_steps.contains(&step) || !JobStore::is_step_ready(record, &job, step) {
                continue;
            }
            live.released_steps.insert(step);
            let work = core_millis(&job.steps[step as usize]);
            let latest_start = live.latest_start(&job.steps[step as usize]);
            let class = live.class.clone();
            self.counts.late_queued += u64::from(latest_start < live.since);
            for task in job.tasks_of(step) {
                let is_placed =
                    self.placements.contains_key(&task) || self.proposed_ends.contains(&task);
                if !record.is_done(&task) && !is_placed {
                    self.ready.push(id, step, task.index, latest_start, work, &class);
                    self.placement_due = true;
                }
            }
        }
        self.mark_at_stake(id);
    }

    /// Marks the waiting tasks of a started job whose caller waits.
    fn mark_at_stake(&mut self, id: &JobId) {
        let live = self.live.get(id);
        if let Some(live) = live.filter(|live| live.started && live.waiter.is_some()) {
            self.ready.mark_at_stake(id, &live.job);
        }
    }

    /// Queues a task again whose run is over without the task being done.
    pub(super) fn requeue_task(&mut self, task: &TaskName) {
        let Some(live) = self.live.get(&task.job) else { return };
        let Some(step) = live.job.steps.get(task.step as usize) else { return };
        let done = self.record(&task.job).is_none_or(|record| record.is_done(task));
        let is_placed = self.placements.contains_key(task) || self.proposed_ends.contains(task);
        if !done && live.released_steps.contains(&task.step) && !is_placed {
            let latest_start = live.latest_start(step);
            let work = core_millis(step);
            self.ready.push(&task.job, task.step, task.index, latest_start, work, &live.class);
            self.placement_due = true;
            self.mark_at_stake(&task.job);
            self.note_expiry(&task.job);
        }
    }

    /// Ends the scheduling of a job: removes its queued tasks, answers its caller
    /// and, unless the job completed, stops its runs.
    pub(super) fn close_job(&mut self, now: Instant, id: &JobId, phase: JobPhase) {
        self.answer_waiter(id, JobReply::Phase(phase));
        if phase == JobPhase::Completed {
            self.learn_run_time(now, id);
        }
        let Some(live) = self.live.swap_remove(id) else { return };
        self.volatile_store.remove(id);
        self.ready.remove_job(id, live.job.steps.len() as StepIndex);
        let line = EventLine::new("job_closed")
            .with("job", id)
            .with("queue", &live.job.queue)
            .with("phase", phase)
            .with("after_ms", now.saturating_duration_since(live.since).as_millis())
            .with("objective_ms", live.deadline.saturating_duration_since(live.since).as_millis())
            .with("tasks", live.job.task_count())
            .with("placed", live.last_runs.len());
        self.steps.push(ScheduleStep::Log(line));
        let stopping = match phase {
            JobPhase::Completed => Vec::new(),
            _ => self.stop_runs(&live.job),
        };
        self.close_claim(now, id, stopping);
    }

    /// Orders to stop all runs of a job, and returns their tasks.
    fn stop_runs(&mut self, job: &QueuedJob) -> Vec<TaskName> {
        let mut stopping = Vec::new();
        for task in (0..job.steps.len()).flat_map(|step| job.tasks_of(step as StepIndex)) {
            let Some(placed) = self.placements.get(&task).filter(|placed| !placed.ended) else {
                continue;
            };
            let run = TaskRun { task: task.clone(), run: placed.run };
            let agent = placed.agent.clone();
            self.push_order(&agent, AgentOrder::Stop { run });
            stopping.push(task);
        }
        stopping
    }

    /// Places ready tasks in the queue's order while there is free capacity; does
    /// nothing unless something has changed that a placement depends on.
    pub(super) fn place_ready(&mut self, now: Instant) {
        if self.ready.is_empty() || !std::mem::take(&mut self.placement_due) {
            return;
        }
        self.run_placement_round(now);
        self.end_round();
    }

    /// Records the work that the round has left waiting for capacity. A step that no known
    /// backend server can hold, even when it is idle, waits for none and delays no other.
    fn end_round(&mut self) {
        let mut ready = std::mem::take(&mut self.ready);
        let servers = self.agents.values().filter_map(|state| state.server.as_ref());
        let mut sizes = ServerSizes::new(servers.filter(|server| !server.draining));
        ready.end_round(|group| {
            let live = self.live.get(&group.job)?;
            let step = live.job.steps.get(group.step as usize)?;
            self.service_of(&live.job).filter(|service| sizes.can_run(service, step))
        });
        self.ready = ready;
    }

    fn run_placement_round(&mut self, now: Instant) {
        let mut round = PlacementRound::default();
        let order = self.placement_order(now, &mut round);
        let tried = self.place_groups(now, &order, &mut round);
        let retried = self.take_turns(&order[tried..]);
        self.place_groups(now, &retried, &mut round);
    }

    /// Places the tasks of groups in this order. Stops once too many of them were
    /// searched for in vain, and returns how many were tried. A group that is known to
    /// find no agent costs nothing and doesn't count.
    fn place_groups(
        &mut self,
        now: Instant,
        groups: &[OrderedGroup],
        round: &mut PlacementRound,
    ) -> usize {
        let mut vain_groups = 0;
        for (position, ordered) in groups.iter().enumerate() {
            let key = &ordered.key;
            if vain_groups >= MAX_VAIN_GROUPS {
                return position;
            }
            let Some(group) = self.ready.group(*key) else { continue };
            let step = group.step;
            let Some(live) = self.live.get(&group.job) else { continue };
            let job = live.job.clone();
            if !self.claims.allows_placement(&job.id) {
                continue;
            }
            let before = self.search_effort(round);
            self.place_group(now, ordered, &job, step, round);
            let is_left = self.ready.group(*key).is_some();
            if is_left && ordered.reserves_fast() {
                round.reserve_fast(self.service_of(&job));
            }
            vain_groups += usize::from(is_left && self.search_effort(round) > before);
        }
        groups.len()
    }

    /// Number of passes over agents so far, up to a constant.
    fn search_effort(&self, round: &PlacementRound) -> u64 {
        self.counts.searches + round.class_count() as u64
    }

    /// Chooses the skipped groups whose turn it is, oldest first.
    fn take_turns(&mut self, skipped: &[OrderedGroup]) -> Vec<OrderedGroup> {
        if skipped.is_empty() {
            return Vec::new();
        }
        let next = self.next_turn;
        let turn = |group: &OrderedGroup| (group.number() < next, group.number());
        let mut chosen = skipped.to_vec();
        let count = MAX_RETRIED_GROUPS.min(chosen.len());
        chosen.select_nth_unstable_by_key(count - 1, turn);
        chosen.truncate(count);
        chosen.sort_unstable_by_key(turn);
        self.next_turn = chosen.last().map_or(0, |group| group.number() + 1);
        chosen
    }

    /// Places the tasks of one group while an agent meets their demand.
    fn place_group(
        &mut self,
        now: Instant,
        group: &OrderedGroup,
        job: &QueuedJob,
        step: StepIndex,
        round: &mut PlacementRound,
    ) {
        let key = group.key;
        let Some(mut search) = self.agent_search(now, job, step, round) else { return };
        let mut spread = StepSpread::default();
        let mut starts = 0;
        let mut last: Option<(NodeId, f64)> = None;
        while self.ready.group(key).is_some() {
            if starts >= MAX_GROUP_STARTS {
                self.placement_due = true;
                break;
            }
            // The agent chosen last keeps its cost, the lowest, while it has room.
            let again = last.take().filter(|(agent, _)| {
                search.takes_another(round, agent) && !self.is_own_rival(&job.queue)
            });
            let choice = match again {
                Some((agent, cost)) => AgentChoice::Agent(agent, cost),
                None => self.choose_agent(job, &search, round, &spread),
            };
            let (agent, cost) = match choice {
                AgentChoice::Agent(agent, cost) => (agent, cost),
                AgentChoice::Wait { fastest } => {
                    if search.limit.is_none() {
                        round.add_search(&search.demand, fastest);
                    }
                    break;
                }
            };
            let Some(index) = self.ready.take(key) else { break };
            let task = TaskName { job: job.id.clone(), occurrence: 0, step, index };
            // An earlier run may have completed the task while it was queued.
            if self.record(&job.id).is_none_or(|record| record.is_done(&task)) {
                continue;
            }
            let run = self.place(now, job, task, &agent);
            self.use_share(now, job, search.step, group.rank);
            self.count_start(&search, round, &agent);
            round.take_capacity(&agent, &search.demand.size);
            search.add_run(&agent);
            starts += 1;
            spread.add(agent.clone(), cost, run);
            last = Some((agent, cost));
        }
        self.mark_at_stake(&job.id);
        self.order_starts(now, job, &search, group.rank, spread);
    }

    /// Counts a start that wastes capacity, as far as is known now.
    fn count_start(&mut self, search: &AgentSearch<'_>, round: &PlacementRound, agent: &NodeId) {
        let candidates = round.candidates(&search.demand.class);
        let Some(candidate) = candidates.iter().find(|one| one.agent == *agent) else { return };
        let (run_time, utilization) = (candidate.run_time, candidate.utilization());
        let too_late = search.urgency.outlasts_caller(run_time);
        self.counts.too_late += u64::from(too_late);
        let unreserved = search.urgency.is_reserved(run_time, utilization);
        self.counts.unreserved += u64::from(unreserved);
        self.counts.spared_starts += u64::from(candidate.rack_fit.is_spared);
        self.counts.remote_starts += u64::from(candidate.rack_fit.is_remote());
    }

    /// Records the placement of a task and returns its run.
    fn place(&mut self, now: Instant, job: &QueuedJob, task: TaskName, agent: &NodeId) -> TaskRun {
        let size = job.steps[task.step as usize].size;
        let mut run = 1;
        if let Some(live) = self.live.get_mut(&task.job) {
            let last = live.last_runs.get(&task).copied().unwrap_or(0);
            run = last.saturating_add(1).max(live.first_run);
            live.last_runs.insert(task.clone(), run);
            live.started = true;
            live.unrefused_runs += 1;
        }
        self.counts.interfering += u64::from(self.interference_at(&job.queue, agent) > 0.0);
        let mut life = Default::default();
        let mut slowness = 1.0;
        if let Some(state) = self.agents.get_mut(agent) {
            state.add_run(&size, &job.queue);
            life = state.life().cloned().unwrap_or_default();
            slowness = state.slowness();
        }
        let placed = Placement::new(agent.clone(), life, run, size, now);
        let placed = Placement { slowness, ..placed.of_queue(job.queue.clone()) };
        self.counts.placed += 1;
        self.placements.insert(task.clone(), placed);
        TaskRun { task, run }
    }

    /// Queues one start order for each agent of the step.
    fn order_starts(
        &mut self,
        now: Instant,
        job: &QueuedJob,
        search: &AgentSearch<'_>,
        rank: Option<ShareRank>,
        spread: StepSpread,
    ) {
        for (agent, runs) in spread.into_starts() {
            let live = self.live.get(&job.id);
            let waited =
                live.map_or(Duration::ZERO, |live| now.saturating_duration_since(live.since));
            let caller = live.and_then(|live| live.waiter).map(|waiter| waiter.until);
            let caller = caller.map(|until| until.saturating_duration_since(now).as_millis());
            let Some(state) = self.agents.get(&agent) else { continue };
            let Some(life) = state.life().cloned() else { continue };
            let names: Vec<String> =
                runs.iter().map(|run| format!("{}#{}", run.task.index, run.run)).collect();
            let mut line = EventLine::new("tasks_placed")
                .with("job", &job.id)
                .with("step", search.index)
                .with("tasks", names.join(","))
                .with("agent", &agent)
                .with("life", &life)
                .with("slowness", format_args!("{:.2}", state.slowness()))
                .with("free_cpu_milli", state.free_capacity().cpu_milli)
                .with("waited_ms", waited.as_millis())
                .with("run_ms", scaled(search.step.estimate(), state.slowness()).as_millis())
                .with("caller_ms", caller.map_or_else(|| "none".into(), |ms| ms.to_string()));
            if let Some(rank) = rank {
                line = line
                    .with("queue", &job.queue)
                    .with("priority", rank.priority())
                    .with("decided_by", rank.cause());
            }
            self.steps.push(ScheduleStep::Log(line));
            let size = search.step.size;
            let spec = job.spec.clone();
            let ScheduleLimits { speed_reports, interference, .. } = self.limits;
            let estimate_ms = (speed_reports || interference).then_some(search.step.estimate_ms);
            let queue = interference.then(|| job.queue.clone());
            let start = AgentOrder::Start { life, runs, spec, size, estimate_ms, queue };
            self.push_order(&agent, start);
        }
    }
}

/// Processor time of one task, in core-milliseconds.
pub(super) fn core_millis(step: &JobStep) -> u64 {
    step.size.cpu_milli.saturating_mul(step.estimate_ms) / 1_000
}
