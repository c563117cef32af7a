//! Searches the agents for the one on which a task of a step costs least.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{JobStep, NodeId, QueueRule, QueuedJob, ServiceId, StepIndex, TaskName};

use super::agent_state::AgentState;
use super::placement_round::{AgentClass, AgentDemand, Candidate, PlacementRound, SparedCapacity};
use super::scheduler::Scheduler;
use super::server_sizes::has_label;
use super::step_spread::StepSpread;
use super::task_urgency::{RunTimeRange, TaskUrgency};

/// How long a part of fast servers stays kept after a task needed one.
const FAST_DEMAND_MEMORY: Duration = Duration::from_secs(1);

/// Maximum number of runs of one step on one backend server, so that a job of very many small
/// tasks leaves other jobs a part of the runs that a scheduler may have there.
const MAX_SERVER_RUNS: usize = 256;
/// Maximum number of runs of one step at a time. A scheduler checks all its runs several times
/// a second.
const MAX_STEP_RUNS: usize = 2_048;

/// Runs of a step, where their number is limited.
pub(super) struct RunLimit {
    max_per_server: usize,
    /// Number of the runs by agent.
    placed: IndexMap<NodeId, usize>,
    total: usize,
}

impl RunLimit {
    fn add(&mut self, agent: &NodeId) {
        *self.placed.entry(agent.clone()).or_default() += 1;
        self.total += 1;
    }

    fn allows(&self, agent: &NodeId) -> bool {
        let placed = self.placed.get(agent).copied().unwrap_or(0);
        placed < self.max_per_server && self.total < MAX_STEP_RUNS
    }
}

/// A search for agents for the tasks of one step.
pub(super) struct AgentSearch<'job> {
    pub(super) index: StepIndex,
    pub(super) step: &'job JobStep,
    pub(super) urgency: TaskUrgency,
    pub(super) demand: AgentDemand,
    /// `None` for a step whose number of runs is not limited.
    pub(super) limit: Option<RunLimit>,
}

impl AgentSearch<'_> {
    /// Whether an agent has free capacity that the tasks may take.
    fn has_room(&self, candidate: &Candidate) -> bool {
        let (run_time, utilization) = (candidate.run_time, candidate.utilization());
        let is_spared = match self.demand.spared {
            SparedCapacity::Nothing => false,
            SparedCapacity::Kept => self.urgency.is_kept(run_time, utilization),
            SparedCapacity::Reserved => self.urgency.is_reserved(run_time, utilization),
        };
        candidate.free.fits(&self.demand.size) && candidate.free_runs > 0 && !is_spared
    }

    /// Whether an agent that was just chosen for the step remains the best choice.
    pub(super) fn takes_another(&self, round: &PlacementRound, agent: &NodeId) -> bool {
        let candidates = round.candidates(&self.demand.class);
        let Some(candidate) = candidates.iter().find(|candidate| candidate.agent == *agent) else {
            return false;
        };
        self.has_room(candidate)
            && self.is_below_limit(agent)
            && !self.urgency.is_reserved(candidate.run_time, candidate.utilization())
    }

    /// Counts a run that was placed on an agent.
    pub(super) fn add_run(&mut self, agent: &NodeId) {
        if let Some(limit) = &mut self.limit {
            limit.add(agent);
        }
    }

    /// Whether one more task of the step may run on the agent.
    fn is_below_limit(&self, agent: &NodeId) -> bool {
        self.limit.as_ref().is_none_or(|limit| limit.allows(agent))
    }
}

/// Result of a search for an agent.
pub(super) enum AgentChoice {
    /// The agent to place the task on, and its cost.
    Agent(NodeId, f64),
    /// No agent has enough free capacity and is fast enough; `fastest` is the run
    /// time on the fastest one with enough free capacity, infinity without one.
    Wait { fastest: f64 },
}

impl Scheduler {
    /// Prepares the search for agents of a step; `None` if it is known in this
    /// round that no agent meets its demand.
    pub(super) fn agent_search<'job>(
        &mut self,
        now: Instant,
        job: &'job QueuedJob,
        step: StepIndex,
        round: &mut PlacementRound,
    ) -> Option<AgentSearch<'job>> {
        let job_step = job.steps.get(step as usize)?;
        let (class, urgency) = self.step_urgency(now, job, step, round)?;
        let max_run_time = urgency.max_run_time();
        let fast_wanted = self.fast_wanted_at.is_some_and(|at| now < at + FAST_DEMAND_MEMORY);
        let spared = if urgency.needs_fast() {
            SparedCapacity::Nothing
        } else if round.is_fast_reserved(&class.service) {
            SparedCapacity::Reserved
        } else if fast_wanted {
            SparedCapacity::Kept
        } else {
            SparedCapacity::Nothing
        };
        let remote = self.remote_rule(now, job, job_step, &urgency);
        let demand = AgentDemand { class, size: job_step.size, max_run_time, spared, remote };
        if round.is_unmet(&demand) {
            return None;
        }
        let limit = self.run_limit(job, step, job_step);
        Some(AgentSearch { index: step, step: job_step, urgency, demand, limit })
    }

    /// Agents that the tasks of a step may run on, and their urgency there; `None` if
    /// the job has no such step or its queue is unknown.
    pub(super) fn step_urgency(
        &mut self,
        now: Instant,
        job: &QueuedJob,
        step: StepIndex,
        round: &mut PlacementRound,
    ) -> Option<(AgentClass, TaskUrgency)> {
        let job_step = job.steps.get(step as usize)?;
        let class = AgentClass::new(self.service_of(job)?, job_step);
        let range = match round.range(&class) {
            Some(range) => range,
            None => {
                let candidates = self.candidates(now, &class, job_step);
                round.add_class(class.clone(), candidates)
            }
        };
        let urgency = self.urgency(now, job, job_step, range);
        Some((class, urgency))
    }

    /// Agents of a class that accept work.
    fn candidates(&mut self, now: Instant, class: &AgentClass, step: &JobStep) -> Vec<Candidate> {
        self.counts.agents_priced += self.agents.len() as u64;
        let racks = self.rack_view(class, step);
        let eligible = self.agents.iter().filter(|(agent, state)| {
            state.accepts_work(now) && is_eligible(state, class) && self.is_registered(agent)
        });
        let candidates = eligible.map(|(agent, state)| Candidate {
            agent: agent.clone(),
            run_time: self.relative_run_time(state, step),
            free: state.free_capacity(),
            free_runs: state.free_runs(),
            cpu_milli: state.server.as_ref().map_or(0, |server| server.capacity.cpu_milli),
            rack_fit: racks.fit(state.server.as_ref()),
        });
        candidates.collect()
    }

    /// Chooses the agent of the lowest cost that meets the demand.
    pub(super) fn choose_agent(
        &mut self,
        job: &QueuedJob,
        search: &AgentSearch<'_>,
        round: &PlacementRound,
        spread: &StepSpread,
    ) -> AgentChoice {
        let candidates = round.candidates(&search.demand.class);
        self.counts.searches += 1;
        self.counts.agents_priced += candidates.len() as u64;
        let mut fastest = f64::INFINITY;
        let mut best: Option<(&NodeId, f64)> = None;
        for candidate in candidates.iter().filter(|one| search.has_room(one)) {
            let Candidate { agent, run_time, rack_fit, .. } = candidate;
            if !search.is_below_limit(agent) {
                continue;
            }
            let accepted_run_time = rack_fit.accepted_run_time(search.demand.remote, *run_time);
            let Some(accepted_run_time) = accepted_run_time else { continue };
            fastest = fastest.min(accepted_run_time);
            if accepted_run_time > search.demand.max_run_time {
                continue;
            }
            let utilization = candidate.utilization();
            let cost = search.urgency.cost(*run_time, utilization)
                + rack_fit.cost(&search.urgency, *run_time);
            // An agent chosen for the step keeps its first cost, unless the rest of
            // its capacity is reserved for more urgent tasks.
            let reserved = search.urgency.is_reserved(*run_time, utilization);
            let cost = if reserved { cost } else { spread.cost(agent, cost) };
            let cost = cost + run_time * self.interference_at(&job.queue, agent);
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((agent, cost));
            }
        }
        match best {
            Some((agent, cost)) => AgentChoice::Agent(agent.clone(), cost),
            None => AgentChoice::Wait { fastest },
        }
    }

    pub(super) fn service_of(&self, job: &QueuedJob) -> Option<ServiceId> {
        self.rule_of(job).map(|rule| rule.service.clone())
    }

    /// Rule of a job's queue, which may have been removed since it was accepted.
    pub(super) fn rule_of(&self, job: &QueuedJob) -> Option<&QueueRule> {
        self.store.rule(&job.queue).or_else(|| self.volatile_store.rule(&job.queue))
    }

    /// Limit on the runs of a step, with those that are placed; `None` for a step that has no
    /// more tasks than may run on one backend server. Counts over the step's tasks or over all
    /// placements, whichever are fewer.
    fn run_limit(&self, job: &QueuedJob, index: StepIndex, step: &JobStep) -> Option<RunLimit> {
        let max_per_server = match step.max_per_server {
            0 => MAX_SERVER_RUNS,
            limit => MAX_SERVER_RUNS.min(limit as usize),
        };
        if step.count as usize <= max_per_server {
            return None;
        }
        let mut limit = RunLimit { max_per_server, placed: IndexMap::new(), total: 0 };
        if step.count as usize > self.placements.len() {
            let is_of_step = |task: &TaskName| task.job == job.id && task.step == index;
            let placed = self.placements.iter().filter(|(task, _)| is_of_step(task));
            placed.for_each(|(_, placed)| limit.add(&placed.agent));
        } else {
            let placed = job.tasks_of(index).filter_map(|task| self.placements.get(&task));
            placed.for_each(|placed| limit.add(&placed.agent));
        }
        Some(limit)
    }

    /// Computes the urgency of a task relative to servers of these run times.
    fn urgency(
        &self,
        now: Instant,
        job: &QueuedJob,
        job_step: &JobStep,
        range: RunTimeRange,
    ) -> TaskUrgency {
        let estimate = job_step.estimate().as_secs_f64().max(f64::MIN_POSITIVE);
        let remaining =
            |until: Instant| until.saturating_duration_since(now).as_secs_f64() / estimate;
        let live = self.live.get(&job.id);
        let deadline_remaining = live.map_or(0.0, |live| remaining(live.latest_end()));
        let waiter = live.and_then(|live| live.waiter);
        let caller_remaining = waiter.map_or(f64::INFINITY, |waiter| remaining(waiter.until));
        let urgency = TaskUrgency::new(deadline_remaining, caller_remaining, range);
        urgency.with_estimate_spread(self.limits.estimate_spread)
    }

    /// Expected run time on an agent, in multiples of the estimate.
    fn relative_run_time(&self, state: &AgentState, job_step: &JobStep) -> f64 {
        let Some(server) = &state.server else { return f64::INFINITY };
        let is_remote =
            job_step.data_rack.as_ref().is_some_and(|rack| !server.labels.contains(rack));
        let remote_factor = if is_remote { self.limits.remote_factor } else { 1.0 };
        state.slowness() * remote_factor
    }
}

/// Whether a backend server serves the service and has the required label.
fn is_eligible(state: &AgentState, class: &AgentClass) -> bool {
    let Some(server) = &state.server else { return false };
    server.service == class.service && has_label(&server.labels, class.required_label.as_ref())
}
