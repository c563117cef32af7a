//! Owns the scheduler's state, dispatches its inputs and settles what follows from
//! them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{
    AdmissionRule, AgentOrders, CallId, Command, EntryHost, EventLine, Incarnation, JobCall, JobId,
    JobPhase, JobRecord, JobReply, JobStep, LeaderHint, LinkId, LogRecord, NodeId, Precedence,
    QueueCatalog, QueueId, ResourceAmount, ScheduleState, ServiceId, ServiceServers, TaskName,
    Term, later, scaled,
};

use super::agent_checks::AgentChecks;
use super::agent_state::AgentState;
use super::host_lists::HostLists;
use super::job_claims::JobClaims;
use super::kind_interference::KindInterference;
use super::live_job::{JobWaiter, LiveJob, Placement};
use super::load_counts::LoadCounts;
use super::proposed_ends::ProposedEnds;
use super::queue_shares::{QueueCounts, QueueShares};
use super::rack_demand::RackDemand;
use super::ready_queue::ReadyQueue;
use super::report_delay::ReportDelay;
use super::run_time_quantiles::RunTimeQuantiles;
use super::server_sizes::ServerShape;
use crate::control::{JobChange, JobStore};
use crate::run_bounds::contact_timeout;

/// Which jobs a scheduler places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SchedulerKind {
    /// Stored jobs; active while this control host leads.
    Control,
    /// Best-effort jobs of one entry's callers; always active.
    Entry,
}

/// Identity of a scheduler's process, and its timing and cost parameters.
#[derive(Debug, Clone, Copy)]
pub struct ScheduleLimits {
    /// Incarnation of an entry, which increases with each start of its process.
    pub incarnation: Incarnation,
    /// How long an agent may keep runs active after it sent an acknowledged message.
    pub grant: Duration,
    /// How long a backend server keeps runs active without a lease renewal.
    pub lease: Duration,
    /// How long a message of an agent waits for orders that acknowledge it.
    pub reply_wait: Duration,
    /// How long an acknowledgement of recorded ends waits to be sent along with
    /// an order.
    pub ack_delay: Duration,
    /// Factor on the run time of a task outside the rack of its data.
    pub remote_factor: f64,
    /// Standard deviation of the natural logarithm of run times over their estimates; 0
    /// takes estimates as exact.
    pub estimate_spread: f64,
    /// Whether start orders carry the estimated run time, and the speeds that agents
    /// report are used.
    pub speed_reports: bool,
    /// Which best-effort jobs are refused.
    pub admission: AdmissionRule,
    /// How queues are ordered while capacity is short; by latest start alone if absent.
    pub precedence: Option<Precedence>,
    /// Share of the capacity that precedence guarantees each queue with waiting work.
    pub guaranteed_share: f64,
    /// Whether tasks leave racks in high demand to those whose data is there.
    pub rack_reserve: bool,
    /// Whether start orders carry the queue, and what agents report of interference between
    /// kinds of tasks is used.
    pub interference: bool,
}

/// Time in which a start that a backend server does not accept is reported as refused.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Interval of the check for overdue runs while any task is placed.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(60);

impl ScheduleLimits {
    /// Time since an agent's last contact after which none of its runs is
    /// active: grant and lease, with the margins for clock drift and stops.
    pub(super) fn contact_timeout(&self) -> Duration {
        contact_timeout(self.grant, self.lease)
    }
}

/// An effect for the scheduling service to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum ScheduleStep {
    /// Proposes commands to the replicated log.
    Propose(Vec<Command>),
    /// Sends orders to an agent.
    Orders {
        /// The agent's connection.
        link: LinkId,
        /// Orders, grant and acknowledgements for the agent.
        orders: Box<AgentOrders>,
    },
    /// Answers the caller of a best-effort job with its outcome.
    JobEnd {
        /// Call id under which the job was submitted.
        call: CallId,
        /// Outcome of the job, as far as this scheduler knows it.
        reply: JobReply,
    },
    /// Closes the connection of an agent, whose session is over.
    CloseLink {
        /// The agent's connection.
        link: LinkId,
    },
    /// Writes a log event.
    Log(EventLine),
}

/// How a call about a job is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum JobDecision {
    /// The call is answered immediately.
    Reply(JobReply),
    /// The call is answered once this command is committed.
    Commit(Command),
    /// The call is answered with [`ScheduleStep::JobEnd`].
    Wait,
    /// This host does not lead; the caller has to go to the leader.
    NotLeader,
}

/// State machine that places the tasks of jobs on agents. It does no I/O:
/// [`Scheduler::settle`] returns the steps that follow from the inputs since its last
/// call.
#[derive(Debug, Clone)]
pub struct Scheduler {
    pub(super) kind: SchedulerKind,
    pub(super) limits: ScheduleLimits,
    /// Stored jobs, registered agents and the catalog, built from the log.
    pub(super) store: JobStore,
    /// Best-effort jobs: not replicated, lost with this process or its
    /// leadership.
    pub(super) volatile_store: JobStore,
    /// Term in which this host leads; always set for an entry's scheduler.
    pub(super) term: Option<Term>,
    /// Start of the term, or of an entry's scheduler.
    pub(super) leader_since: Instant,
    pub(super) agents: IndexMap<NodeId, AgentState>,
    /// What the backend servers that this scheduler has seen offer.
    pub(super) seen_servers: IndexSet<ServerShape>,
    /// Jobs that have not ended.
    pub(super) live: IndexMap<JobId, LiveJob>,
    pub(super) placements: IndexMap<TaskName, Placement>,
    pub(super) ready: ReadyQueue,
    /// Shares of the queues; `None` without the setting.
    pub(super) shares: Option<QueueShares>,
    /// Demand for racks; `None` without the setting.
    pub(super) rack_demand: Option<RackDemand>,
    /// Whether anything changed since the last placement round that a placement
    /// depends on: waiting tasks, free capacity, or the agents that accept work.
    pub(super) placement_due: bool,
    /// Lowest sequence number of the waiting groups that a round tries next, of those
    /// that it would skip.
    pub(super) next_turn: u64,
    pub(super) proposed_ends: ProposedEnds,
    /// Registered agents that have not reported in this term yet.
    pub(super) unreported_agents: IndexSet<NodeId>,
    /// Jobs from before this term, and best-effort jobs admitted during the
    /// takeover: none of their tasks starts until every registered agent has
    /// reported or timed out.
    pub(super) held_jobs: IndexSet<JobId>,
    pub(super) claims: JobClaims,
    pub(super) hosts: HostLists,
    pub(super) agent_checks: AgentChecks,
    /// Agents to which a message is due.
    pub(super) due_agents: IndexSet<NodeId>,
    /// When a waiting task last accepted only fast servers.
    pub(super) fast_wanted_at: Option<Instant>,
    pub(super) counts: LoadCounts,
    pub(super) report_delay: ReportDelay,
    /// How run times of best-effort jobs compare to their estimates.
    pub(super) run_times: RunTimeQuantiles,
    /// Interference between kinds of tasks; `None` without the setting.
    pub(super) interference: Option<KindInterference>,
    overdue_checked_at: Instant,
    /// Time of the next check for expired jobs: the earliest expiry at the last check,
    /// or that of a job admitted since.
    pub(super) next_expiry: Option<Instant>,
    /// Time of the latest check for expired jobs.
    pub(super) expiry_checked_at: Instant,
    pub(super) steps: Vec<ScheduleStep>,
}

impl Scheduler {
    /// Creates a scheduler without jobs or agents. An entry's is active at once,
    /// control's from [`Scheduler::on_leadership`].
    pub fn new(now: Instant, kind: SchedulerKind, limits: ScheduleLimits) -> Scheduler {
        Scheduler {
            kind,
            limits,
            store: JobStore::default(),
            volatile_store: JobStore::default(),
            term: (kind == SchedulerKind::Entry).then_some(0),
            leader_since: now,
            agents: IndexMap::new(),
            seen_servers: IndexSet::new(),
            live: IndexMap::new(),
            placements: IndexMap::new(),
            ready: ReadyQueue::default(),
            shares: limits.precedence.map(|Precedence::Priority| {
                QueueShares::new(now).with_guarantee(limits.guaranteed_share)
            }),
            rack_demand: limits.rack_reserve.then(|| RackDemand::new(now)),
            next_turn: 0,
            placement_due: false,
            proposed_ends: ProposedEnds::default(),
            unreported_agents: IndexSet::new(),
            held_jobs: IndexSet::new(),
            claims: JobClaims::default(),
            hosts: HostLists::default(),
            agent_checks: AgentChecks::new(now),
            due_agents: IndexSet::new(),
            fast_wanted_at: None,
            counts: LoadCounts::default(),
            report_delay: ReportDelay::default(),
            run_times: RunTimeQuantiles::default(),
            interference: limits.interference.then(|| KindInterference::new(now)),
            overdue_checked_at: now,
            next_expiry: None,
            expiry_checked_at: now,
            steps: Vec::new(),
        }
    }

    /// Handles the installation of a snapshot of the replicated state.
    pub fn on_restored(&mut self, state: ScheduleState) {
        self.store = JobStore::from(state);
        self.follow_evacuation();
        self.share_catalog();
    }

    /// Sets a newer catalog confirmed by control; for an entry's scheduler.
    pub fn on_catalog(&mut self, catalog: &Arc<QueueCatalog>) {
        self.store.set_catalog(catalog);
        self.share_catalog();
    }

    /// Records a query from an entry, so that agents learn its address.
    pub fn on_entry(&mut self, now: Instant, entry: &EntryHost) {
        if self.hosts.refresh(now, entry) {
            self.agent_checks.require(now);
        }
    }

    /// Records the control group, so that agents learn its members.
    pub fn on_controls(&mut self, now: Instant, controls: LeaderHint) {
        if self.hosts.set_controls(controls) {
            self.agent_checks.require(now);
        }
    }

    /// Whether an agent may be given work. Control first records the agent in
    /// the log, so that the next leader waits for its report.
    pub(super) fn is_registered(&self, agent: &NodeId) -> bool {
        match self.kind {
            SchedulerKind::Control => self.store.registered_agents().contains(agent),
            SchedulerKind::Entry => true,
        }
    }

    /// Copies the catalog to the store of best-effort jobs.
    fn share_catalog(&mut self) {
        if let Some(catalog) = self.store.catalog() {
            self.volatile_store.set_catalog(&catalog);
            if let Some(shares) = &mut self.shares {
                shares.on_catalog(&catalog);
            }
        }
        self.placement_due = true;
    }

    /// Looks up a job, best-effort or stored.
    pub(super) fn record(&self, id: &JobId) -> Option<&JobRecord> {
        self.volatile_store.job(id).or_else(|| self.store.job(id))
    }

    /// Returns the catalog in force, if one is known.
    pub fn catalog(&self) -> Option<Arc<QueueCatalog>> {
        self.store.catalog()
    }

    /// Returns the counts of work since the last call.
    pub fn take_counts(&mut self) -> LoadCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the counts of the queues that were short of capacity since the last call.
    pub fn take_queue_counts(&mut self) -> Vec<QueueCounts> {
        let Some(shares) = &mut self.shares else { return Vec::new() };
        // No round has run since if nothing waits any more.
        shares.set_contention(&self.ready.contended_services());
        shares.take_counts()
    }

    /// Number of jobs that have not ended.
    pub fn live_jobs(&self) -> usize {
        self.live.len()
    }

    /// The backend servers of agents that are connected, by service.
    pub fn known_servers(&self) -> Vec<ServiceServers> {
        let mut services: IndexMap<&ServiceId, (usize, ResourceAmount)> = IndexMap::new();
        for server in self.agents.values().filter_map(|state| state.server.as_ref()) {
            let (servers, highest) = services.entry(&server.service).or_default();
            *servers += 1;
            *highest = highest.highest(&server.capacity);
        }
        let summary = |(service, (servers, highest)): (&ServiceId, (usize, ResourceAmount))| {
            ServiceServers { service: service.clone(), servers, highest }
        };
        services.into_iter().map(summary).collect()
    }

    /// Highest slowness of a backend server, as it is estimated now; `None` without
    /// one.
    pub fn max_slowness(&self) -> Option<f64> {
        let servers = self.agents.values().filter(|state| state.server.is_some());
        servers.map(AgentState::slowness).max_by(f64::total_cmp)
    }

    /// Whether the speeds that agents report are used.
    pub fn uses_speed_reports(&self) -> bool {
        self.limits.speed_reports
    }

    /// Number of agents whose reported speed is used, and of those among them that this
    /// scheduler's own runs show to be much slower.
    pub fn reported_speeds(&self) -> (usize, usize) {
        let used = self.agents.values().filter(|state| state.used_slowness().is_some());
        let slower = self.agents.values().filter(|state| state.is_slower_than_reported());
        (used.count(), slower.count())
    }

    /// How much longer runs seem to this scheduler than to their agents.
    pub fn report_delay(&self) -> Duration {
        self.report_delay.estimate()
    }

    /// Number of steps with tasks that wait for free capacity.
    pub fn waiting_steps(&self) -> usize {
        self.ready.len()
    }

    /// Returns the term in which this host leads, or `None` if it does not.
    pub fn term(&self) -> Option<Term> {
        self.term
    }

    /// Applies committed log records.
    pub fn on_applied(&mut self, now: Instant, records: &[LogRecord]) {
        for record in records {
            let change = self.store.apply(record);
            match change {
                JobChange::Catalog => self.share_catalog(),
                JobChange::Evacuation => {
                    self.follow_evacuation();
                    self.agent_checks.require(now);
                }
                _ => {}
            }
            if self.term.is_some() {
                self.on_change(now, change);
            }
        }
    }

    /// Updates the scheduling state after a change of stored or best-effort jobs.
    pub(super) fn on_change(&mut self, now: Instant, change: JobChange) {
        match change {
            JobChange::None | JobChange::Catalog | JobChange::Evacuation => {}
            JobChange::Registered => {
                self.placement_due = true;
                self.reregister_agents();
            }
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

    /// Registers connected agents that are not in the store: an agent that was
    /// deregistered after its contact timeout may have reconnected meanwhile.
    fn reregister_agents(&mut self) {
        let unregistered =
            self.agents.keys().filter(|agent| !self.store.registered_agents().contains(*agent));
        let commands: Vec<Command> =
            unregistered.map(|agent| Command::RegisterAgent { agent: agent.clone() }).collect();
        if !commands.is_empty() {
            self.steps.push(ScheduleStep::Propose(commands));
        }
    }

    /// Decides on a call about a job.
    pub fn on_job_call(&mut self, now: Instant, id: CallId, call: &JobCall) -> JobDecision {
        if self.term.is_none() {
            return JobDecision::NotLeader;
        }
        match call {
            JobCall::Submit { job, wait_ms } if job.best_effort => {
                let until = later(now, Duration::from_millis(*wait_ms));
                self.admit_best_effort(now, job, JobWaiter { call: id, since: now, until })
            }
            JobCall::Submit { job, .. } => self.admit(now, job),
            JobCall::Cancel { queue, job } => match self.store.job(job) {
                None => JobDecision::Reply(JobReply::UnknownJob),
                Some(record) if !self.store.is_same_queue(&record.queue, queue) => {
                    JobDecision::Reply(JobReply::UnknownJob)
                }
                Some(record) if record.ended.is_some() => JobDecision::Reply(JobReply::Cancelled),
                Some(_) => JobDecision::Commit(Command::CancelJob { job: job.clone() }),
            },
            JobCall::Phase { queue, job } => JobDecision::Reply(self.phase(queue, job)),
            JobCall::Waiting { queue } => JobDecision::Reply(self.waiting(now, queue)),
        }
    }

    /// Phase of a stored job; queued until a task is placed that is not refused.
    fn phase(&self, queue: &QueueId, id: &JobId) -> JobReply {
        let record = self.store.job(id);
        let is_asked = |record: &&JobRecord| self.store.is_same_queue(&record.queue, queue);
        let Some(record) = record.filter(is_asked) else {
            return JobReply::UnknownJob;
        };
        if let Some(phase) = record.ended {
            return JobReply::Phase(phase);
        }
        let is_placed = || self.placements.keys().any(|task| task.job == *id);
        let has_begun = self.live.get(id).is_none_or(|live| live.begun || is_placed());
        JobReply::Phase(if has_begun { JobPhase::Running } else { JobPhase::Queued })
    }

    /// Number of jobs of a queue of which no task has begun, as far as is known.
    fn waiting(&self, now: Instant, queue: &QueueId) -> JobReply {
        let is_asked = |live: &LiveJob| self.store.is_same_queue(&live.job.queue, queue);
        let placed = self.placements.iter();
        let accepted = placed.filter(|(_, placed)| placed.since + REFUSAL_TIME <= now);
        let accepted: IndexSet<&JobId> = accepted.map(|(task, _)| &task.job).collect();
        let waits =
            |live: &&LiveJob| !live.begun && !accepted.contains(&live.job.id) && is_asked(live);
        JobReply::Waiting(self.live.values().filter(waits).count() as u64)
    }

    /// Handles a change of leadership; `term` is set while this host leads.
    pub fn on_leadership(&mut self, now: Instant, term: Option<Term>) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.reset_volatile_state();
        if term.is_some() {
            self.begin_takeover(now);
        }
    }

    /// Handles a deadline that has passed without an input: what agents have not told by
    /// now is not merely waiting to be handled. [`Scheduler::settle`] has to follow.
    pub fn on_idle(&mut self, now: Instant) {
        self.claims.is_idle = true;
        if self.term.is_some() {
            self.update_speed_estimates(now);
        }
    }

    /// Raises the slowness estimate of backend servers with overdue runs, and
    /// lets the estimates of servers without recent samples decay.
    fn update_speed_estimates(&mut self, now: Instant) {
        if now < self.overdue_checked_at + OVERDUE_CHECK_INTERVAL {
            return;
        }
        self.overdue_checked_at = now;
        // Urgency and speed estimates change with time.
        self.placement_due = true;
        for (task, placed) in &mut self.placements {
            let Some(state) = self.agents.get_mut(&placed.agent) else { continue };
            let live = self.live.get(&task.job);
            let step = live.and_then(|live| live.job.steps.get(task.step as usize));
            let Some(estimate) = step.map(JobStep::estimate) else { continue };
            let seen = now.saturating_duration_since(placed.since);
            let ran = seen.saturating_sub(self.report_delay.estimate());
            let expected = scaled(estimate, state.slowness()).saturating_mul(placed.overdue_factor);
            if !placed.ended && ran > expected {
                placed.overdue_factor = placed.overdue_factor.saturating_add(1);
                state.add_overdue_sample(now, ran, estimate);
                self.counts.overdue += 1;
            }
        }
        for state in self.agents.values_mut() {
            state.decay_speed(now);
        }
    }

    /// Time at which [`Scheduler::on_idle`] and [`Scheduler::settle`] are next due
    /// without an input.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.term?;
        let takeover = (!self.held_jobs.is_empty() || !self.unreported_agents.is_empty())
            .then(|| self.leader_since + self.limits.contact_timeout());
        let has_tasks = !self.placements.is_empty() || !self.ready.is_empty();
        let overdue = has_tasks.then(|| self.overdue_checked_at + OVERDUE_CHECK_INTERVAL);
        let checks = self.agent_checks.next();
        let claims = self.claims.next_check();
        [checks, overdue, self.next_expiry, takeover, claims].into_iter().flatten().min()
    }

    /// Does what is due, places ready tasks, sends orders and returns all steps. It
    /// follows every batch of inputs: while a scheduler lags, its next input is there
    /// before any timeout.
    pub fn settle(&mut self, now: Instant) -> Vec<ScheduleStep> {
        if self.term.is_some() {
            self.doubt_after_pause(now);
            self.expire_takeover(now);
            self.expire_jobs(now);
            self.check_interference(now);
            self.check_agents(now);
            self.release_claims();
            self.check_claims(now);
            self.judge_racks(now);
            self.place_ready(now);
            self.send_orders();
        }
        self.claims.is_idle = false;
        std::mem::take(&mut self.steps)
    }
}
