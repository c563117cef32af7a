//! The scheduler's state and its inputs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{
    AgentOrders, CallId, Command, EntryHost, EventLine, JobCall, JobId, JobPhase, JobRecord,
    JobReply, JobStep, LifeId, LogRecord, NodeId, QueueCatalog, QueuedJob, RoomSize, RunNumber,
    ScheduleState, TaskName, Term,
};

use super::agent_state::AgentState;
use super::entry_list::EntryList;
use super::ready_queue::ReadyQueue;
use crate::control::{JobBook, JobChange};

/// Whose jobs a scheduler places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SchedulerKind {
    /// Control's, while this host leads: jobs that are stored.
    Control,
    /// An entry's: best-effort jobs of its own callers.
    Entry,
}

/// Times that the scheduler goes by.
#[derive(Debug, Clone, Copy)]
pub struct ScheduleLimits {
    /// How long an agent may keep runs at work after it sent a poll.
    pub grant: Duration,
    /// How long a backend server keeps runs at work without a renewal.
    pub lease: Duration,
    /// How long a poll without orders waits.
    pub poll_wait: Duration,
    /// How long word of recorded ends may wait for an order to go with.
    pub noted_wait: Duration,
    /// How much longer a task runs on another rack than that of its data.
    pub remote_factor: f64,
}

/// Clocks of two hosts drift apart by less than this share.
const MAX_CLOCK_DRIFT: f64 = 0.05;
/// A stop takes less than this, and messages on their way as long.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Reports of others' room alone that a scheduler wants in a second, from all
/// agents together.
const MAX_USAGE_REPORTS_PER_SECOND: u32 = 300;
/// Least time between two of them from one agent.
const MIN_USAGE_INTERVAL: Duration = Duration::from_millis(50);

/// Expected run times after which a run first counts as overdue.
const FIRST_OVERDUE_FACTOR: u32 = 3;
/// How often overdue runs are looked for while any are at work.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(60);

impl ScheduleLimits {
    /// How long after its last poll a silent agent's runs are surely over.
    pub(super) fn contact_timeout(&self) -> Duration {
        (self.grant + self.lease).mul_f64(1.0 + MAX_CLOCK_DRIFT) + STOP_MARGIN
    }
}

/// What the scheduling duty does next.
#[derive(Debug, Clone, PartialEq)]
pub enum ScheduleStep {
    /// Puts commands into the log.
    Propose(Vec<Command>),
    /// Answers an agent's poll.
    Orders {
        /// The poll.
        call: CallId,
        /// The orders.
        orders: AgentOrders,
    },
    /// Tells the caller of a best-effort job how it ended.
    JobEnd {
        /// The caller's call.
        call: CallId,
        /// The answer.
        reply: JobReply,
    },
    /// Lets a poll of an earlier session go.
    DropPoll {
        /// The poll.
        call: CallId,
    },
    /// Writes a log line.
    Note(EventLine),
}

/// What becomes of a call about a job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobDecision {
    /// It is answered now.
    Reply(JobReply),
    /// It is answered when this command is committed.
    Commit(Command),
    /// It is answered when the job has ended.
    Wait,
    /// This host does not lead.
    NotLeader,
}

/// Where a task runs.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Placement {
    pub(super) agent: NodeId,
    pub(super) life: LifeId,
    pub(super) run: RunNumber,
    pub(super) size: RoomSize,
    pub(super) since: Instant,
    /// Whether its end was listed and is being recorded.
    pub(super) ended: bool,
    /// After how many expected run times it next counts as overdue.
    pub(super) overdue_factor: u32,
}

impl Placement {
    pub(super) fn new(
        agent: NodeId,
        life: LifeId,
        run: RunNumber,
        size: RoomSize,
        since: Instant,
    ) -> Placement {
        let overdue_factor = FIRST_OVERDUE_FACTOR;
        Placement { agent, life, run, size, since, ended: false, overdue_factor }
    }
}

/// A job that has not ended.
#[derive(Debug, Clone)]
pub(super) struct LiveJob {
    pub(super) job: Arc<QueuedJob>,
    pub(super) deadline: Instant,
    pub(super) since: Instant,
    pub(super) started: bool,
    /// Steps whose tasks were let in.
    pub(super) released_steps: IndexSet<u32>,
    pub(super) last_runs: IndexMap<TaskName, RunNumber>,
    pub(super) first_run: RunNumber,
    /// Who waits for the end of a best-effort job.
    pub(super) waiter: Option<JobWaiter>,
}

impl LiveJob {
    /// When the job must have ended to be of full use to its caller.
    pub(super) fn latest_end(&self) -> Instant {
        self.waiter.map_or(self.deadline, |waiter| waiter.until.min(self.deadline))
    }

    /// When a task must start to end in time.
    pub(super) fn latest_start(&self, step: &JobStep) -> Instant {
        let latest_end = self.latest_end();
        latest_end.checked_sub(step.estimate()).unwrap_or(latest_end)
    }
}

/// The caller of a best-effort job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct JobWaiter {
    pub(super) call: CallId,
    pub(super) until: Instant,
}

/// The scheduler.
#[derive(Debug, Clone)]
pub struct Scheduler {
    pub(super) kind: SchedulerKind,
    pub(super) limits: ScheduleLimits,
    pub(super) store: JobBook,
    /// Best-effort jobs; they are kept by this leader only.
    pub(super) volatile_store: JobBook,
    pub(super) term: Option<Term>,
    pub(super) leader_since: Instant,
    pub(super) agents: IndexMap<NodeId, AgentState>,
    pub(super) live: IndexMap<JobId, LiveJob>,
    pub(super) placements: IndexMap<TaskName, Placement>,
    pub(super) ready: ReadyQueue,
    /// Tasks of which an end is on its way into the record.
    pub(super) proposed_ends: IndexSet<TaskName>,
    /// Agents that a new leader has yet to hear of.
    pub(super) unreported_agents: IndexSet<NodeId>,
    /// Jobs from before this leader, until it knows what runs.
    pub(super) held_jobs: IndexSet<JobId>,
    pub(super) entries: EntryList,
    overdue_checked_at: Instant,
    pub(super) steps: Vec<ScheduleStep>,
}

impl Scheduler {
    /// A scheduler that knows nothing. An entry's begins at once, control's
    /// when its host leads.
    pub fn new(now: Instant, kind: SchedulerKind, limits: ScheduleLimits) -> Scheduler {
        Scheduler {
            kind,
            limits,
            store: JobBook::default(),
            volatile_store: JobBook::default(),
            term: (kind == SchedulerKind::Entry).then_some(0),
            leader_since: now,
            agents: IndexMap::new(),
            live: IndexMap::new(),
            placements: IndexMap::new(),
            ready: ReadyQueue::default(),
            proposed_ends: IndexSet::new(),
            unreported_agents: IndexSet::new(),
            held_jobs: IndexSet::new(),
            entries: EntryList::default(),
            overdue_checked_at: now,
            steps: Vec::new(),
        }
    }

    /// The replicated state was replaced as a whole.
    pub fn on_restored(&mut self, state: ScheduleState) {
        self.store = JobBook::from(state);
        self.share_catalog();
    }

    /// Control has confirmed a newer catalog; for an entry's scheduler.
    pub fn on_catalog(&mut self, catalog: &Arc<QueueCatalog>) {
        self.store.set_catalog(catalog);
        self.share_catalog();
    }

    /// An entry asks control; agents are told where it is.
    pub fn on_entry(&mut self, now: Instant, entry: &EntryHost) -> Vec<ScheduleStep> {
        self.entries.refresh(now, entry);
        self.finish(now)
    }

    /// Whether an agent may be given work: control's agents are recorded first.
    pub(super) fn is_registered(&self, agent: &NodeId) -> bool {
        match self.kind {
            SchedulerKind::Control => self.store.registered().contains(agent),
            SchedulerKind::Entry => true,
        }
    }

    fn share_catalog(&mut self) {
        if let Some(catalog) = self.store.catalog() {
            self.volatile_store.set_catalog(&catalog);
        }
    }

    /// What is known of a job of either kind.
    pub(super) fn record(&self, id: &JobId) -> Option<&JobRecord> {
        self.volatile_store.job(id).or_else(|| self.store.job(id))
    }

    /// The catalog in force.
    pub fn catalog(&self) -> Option<Arc<QueueCatalog>> {
        self.store.catalog()
    }

    /// The term in which this host leads.
    pub fn term(&self) -> Option<Term> {
        self.term
    }

    /// Records were committed.
    pub fn on_applied(&mut self, now: Instant, records: &[LogRecord]) -> Vec<ScheduleStep> {
        for record in records {
            let change = self.store.apply(record);
            if change == JobChange::Catalog {
                self.share_catalog();
            }
            if self.term.is_some() {
                self.on_change(now, change);
            }
        }
        self.finish(now)
    }

    pub(super) fn on_change(&mut self, now: Instant, change: JobChange) {
        match change {
            JobChange::None | JobChange::Catalog => {}
            JobChange::Registered => self.reregister_agents(),
            JobChange::Accepted { job } => self.activate(now, &job),
            JobChange::Closed { job, phase } => self.close_job(now, &job, phase),
            JobChange::RunsEnded { ends, closed } => {
                for end in &ends {
                    self.on_end_recorded(now, end);
                }
                for (job, phase) in closed {
                    self.close_job(now, &job, phase);
                }
            }
        }
    }

    /// An agent that was given up as silent may have come back meanwhile.
    fn reregister_agents(&mut self) {
        let unregistered =
            self.agents.keys().filter(|agent| !self.store.registered().contains(*agent));
        let commands: Vec<Command> =
            unregistered.map(|agent| Command::RegisterAgent { agent: agent.clone() }).collect();
        if !commands.is_empty() {
            self.steps.push(ScheduleStep::Propose(commands));
        }
    }

    /// A call about a job.
    pub fn on_job_call(&mut self, now: Instant, id: CallId, call: &JobCall) -> JobDecision {
        if self.term.is_none() {
            return JobDecision::NotLeader;
        }
        match call {
            JobCall::Accept { job, wait_ms } if job.best_effort => {
                let until = now + Duration::from_millis(*wait_ms);
                self.admit_best_effort(now, job, JobWaiter { call: id, until })
            }
            JobCall::Accept { job, .. } => self.admit(job),
            JobCall::Cancel { queue, job } => match self.store.job(job) {
                None => JobDecision::Reply(JobReply::UnknownJob),
                Some(record) if record.queue != *queue => JobDecision::Reply(JobReply::UnknownJob),
                Some(record) if record.ended.is_some() => JobDecision::Reply(JobReply::Cancelled),
                Some(_) => JobDecision::Commit(Command::CancelJob { job: job.clone() }),
            },
            JobCall::Phase { queue, job } => JobDecision::Reply(self.phase(queue, job)),
            JobCall::Waiting { queue } => JobDecision::Reply(self.waiting(queue)),
        }
    }

    /// What follows once a call is decided on.
    pub fn after_job_call(&mut self, now: Instant) -> Vec<ScheduleStep> {
        self.finish(now)
    }

    fn phase(&self, queue: &str, id: &JobId) -> JobReply {
        let Some(record) = self.store.job(id).filter(|record| record.queue == queue) else {
            return JobReply::UnknownJob;
        };
        if let Some(phase) = record.ended {
            return JobReply::Phase(phase);
        }
        let started = self.live.get(id).is_none_or(|live| live.started);
        JobReply::Phase(if started { JobPhase::Running } else { JobPhase::Queued })
    }

    fn waiting(&self, queue: &str) -> JobReply {
        let waits = |live: &&LiveJob| !live.started && live.job.queue == queue;
        JobReply::Waiting(self.live.values().filter(waits).count() as u64)
    }

    /// A leader is known, or it is this host, or neither.
    pub fn on_leading(&mut self, now: Instant, term: Option<Term>) -> Vec<ScheduleStep> {
        if term == self.term {
            return Vec::new();
        }
        self.term = term;
        self.reset_volatile_state();
        if term.is_some() {
            self.begin_takeover(now);
        }
        self.finish(now)
    }

    /// Deals with what time alone brings.
    pub fn on_tick(&mut self, now: Instant) -> Vec<ScheduleStep> {
        self.expire_takeover(now);
        self.expire_agents(now);
        self.expire_jobs(now);
        self.update_speed_estimates(now);
        self.finish(now)
    }

    /// Runs that have not ended long after they should have teach that their
    /// servers are slow; servers that are quiet are taken for recovered.
    fn update_speed_estimates(&mut self, now: Instant) {
        if now < self.overdue_checked_at + OVERDUE_CHECK_INTERVAL {
            return;
        }
        self.overdue_checked_at = now;
        for (task, placed) in &mut self.placements {
            let Some(state) = self.agents.get_mut(&placed.agent) else { continue };
            let live = self.live.get(&task.job);
            let step = live.and_then(|live| live.job.steps.get(task.step as usize));
            let Some(estimate) = step.map(JobStep::estimate) else { continue };
            let ran = now.saturating_duration_since(placed.since);
            let expected = estimate.mul_f64(state.slowness()) * placed.overdue_factor;
            if !placed.ended && ran > expected {
                placed.overdue_factor = placed.overdue_factor.saturating_add(1);
                state.learn_overdue(now, ran, estimate);
            }
        }
        for state in self.agents.values_mut() {
            state.recover(now);
        }
    }

    /// When [`Scheduler::on_tick`] is next needed.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.term?;
        let polls = self.agents.values().filter_map(|state| self.poll_due(state));
        let contact_timeouts =
            self.agents.values().map(|state| state.last_contact + self.limits.contact_timeout());
        let takeover = (!self.held_jobs.is_empty() || !self.unreported_agents.is_empty())
            .then(|| self.leader_since + self.limits.contact_timeout());
        let paused = (!self.ready.is_empty())
            .then(|| self.agents.values().filter_map(|state| state.paused_until).min())
            .flatten();
        let slowness = self.min_slowness();
        let expiries = self.live.values().filter_map(|live| live.expires_at(slowness));
        let overdue =
            (!self.placements.is_empty()).then(|| self.overdue_checked_at + OVERDUE_CHECK_INTERVAL);
        polls
            .chain(overdue)
            .chain(expiries)
            .chain(contact_timeouts)
            .chain(takeover)
            .chain(paused)
            .min()
    }

    pub(super) fn poll_due(&self, state: &AgentState) -> Option<Instant> {
        let parked = state.parked?;
        if state.sent_entries_version != self.entries.version() {
            return Some(parked.since);
        }
        let wait = match state.has_unsent_ack() {
            true => self.limits.noted_wait,
            false => self.limits.poll_wait,
        };
        Some(parked.since + wait)
    }

    /// Places what can be placed and answers the polls that are due.
    pub(super) fn finish(&mut self, now: Instant) -> Vec<ScheduleStep> {
        if self.term.is_some() {
            for state in self.agents.values_mut() {
                state.paused_until.take_if(|until| *until <= now);
            }
            self.place_ready(now);
            self.answer_polls(now);
        }
        std::mem::take(&mut self.steps)
    }

    /// Reports of others' room alone are spread out as agents become many.
    fn usage_interval(&self) -> Duration {
        let agents = self.agents.len() as u32;
        (Duration::from_secs(1) * agents / MAX_USAGE_REPORTS_PER_SECOND).max(MIN_USAGE_INTERVAL)
    }

    fn answer_polls(&mut self, now: Instant) {
        let Some(term) = self.term else { return };
        let grant_ms = self.limits.grant.as_millis() as u64;
        let room_gap_ms = self.usage_interval().as_millis() as u64;
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
            let noted = state.take_ack();
            let entries_changed = state.sent_entries_version != self.entries.version();
            state.sent_entries_version = self.entries.version();
            let entries = entries_changed.then(|| self.entries.hosts());
            let orders = AgentOrders { term, grant_ms, room_gap_ms, noted, orders, entries };
            self.steps.push(ScheduleStep::Orders { call: parked.call, orders });
        }
    }
}
