//! Forecasts when capacity is free for a job, and how fast it runs then.
//!
//! Handles the load pattern *demand above capacity for some seconds*. Work queued ahead
//! counts in the order in which it is placed, and at this scheduler's part of the
//! capacity. A forecast costs one pass over the agents and one over the waiting steps,
//! however many jobs it is asked for.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{JobId, JobStep, QueueId, QueuedJob, ServerView, ServiceId, span_of_secs};

use super::agent_state::AgentState;
use super::scheduler::Scheduler;
use super::server_sizes::can_run;

/// Total speed of the servers of one service, and who uses it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceSpeed {
    /// Core-seconds of work that are done in a second.
    speed: f64,
    /// Capacity in use by this scheduler's runs, in thousandths of a core.
    own: f64,
    /// The same by those of other schedulers.
    others: f64,
}

impl ServiceSpeed {
    /// Time until this scheduler's part of the capacity has done some work, in
    /// core-milliseconds; at most [`model::MAX_SPAN`], and zero without servers. That part
    /// is taken to be its share of the capacity in use, and at least the capacity of one
    /// task of the job: a scheduler that has no run just now is placing its next one.
    pub(super) fn time_for(&self, work: u128, job: &QueuedJob) -> Duration {
        if work == 0 || self.speed <= 0.0 {
            return Duration::ZERO;
        }
        let task = largest_step(job).map_or(0, |step| step.size.cpu_milli);
        let least = f64::max(task as f64, 1.0);
        let share = f64::max(self.own, least) / f64::max(self.own + self.others, least);
        span_of_secs(work as f64 / (self.speed * share) / 1_000.0)
    }
}

/// What a scheduler expects of its backend servers, as it knows them at one time.
pub(super) struct StartForecast<'scheduler> {
    scheduler: &'scheduler Scheduler,
    /// Slowness of the servers that accept work, fastest first.
    servers: Vec<(f64, &'scheduler ServerView)>,
    /// By service, as far as they were asked for.
    speeds: IndexMap<ServiceId, ServiceSpeed>,
    /// Processor time that is placed ahead of each waiting job, in core-milliseconds.
    ahead: IndexMap<&'scheduler JobId, u128>,
}

impl<'scheduler> StartForecast<'scheduler> {
    pub(super) fn new(now: Instant, scheduler: &'scheduler Scheduler) -> Self {
        let mut servers: Vec<(f64, &ServerView)> = scheduler.open_servers().collect();
        servers.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        let ahead = scheduler.work_before_waiting(now);
        StartForecast { scheduler, servers, speeds: IndexMap::new(), ahead }
    }

    /// Slowness of the fastest server that can hold the largest task of a job; that of the
    /// fastest one of all if none can.
    pub(super) fn slowness(&self, service: &ServiceId, job: &QueuedJob) -> f64 {
        let holds = |(_, server): &&(f64, &ServerView)| holds_largest(server, service, job);
        let fastest = self.servers.iter().find(holds).or(self.servers.first());
        fastest.map_or(1.0, |(slowness, _)| *slowness)
    }

    /// Expected wait of a job of which nothing is placed. One that isn't queued yet, since
    /// its claim is not granted, comes after all work that precedes a new job of its queue.
    pub(super) fn wait(&mut self, service: &ServiceId, job: &QueuedJob) -> Duration {
        let (ahead, scheduler) = (self.ahead.get(&job.id).copied(), self.scheduler);
        let work = ahead.unwrap_or_else(|| scheduler.work_before_new(service, &job.queue));
        if work == 0 {
            return Duration::ZERO;
        }
        if !self.speeds.contains_key(service) {
            self.speeds.insert(service.clone(), self.scheduler.service_speed(service));
        }
        self.speeds.get(service).map_or(Duration::ZERO, |speed| speed.time_for(work, job))
    }
}

impl Scheduler {
    /// Slowness and view of the backend servers that accept new work.
    fn open_servers(&self) -> impl Iterator<Item = (f64, &ServerView)> {
        let servers = self
            .agents
            .values()
            .filter_map(|state| state.server.as_ref().map(|server| (state.slowness(), server)));
        servers.filter(|(_, server)| !server.draining)
    }

    /// Slowness of the fastest backend server that can hold the largest task of a job; that
    /// of the fastest one of all if none can.
    pub(super) fn slowness_for(&self, service: &ServiceId, job: &QueuedJob) -> f64 {
        let holding = self.open_servers().filter(|(_, server)| holds_largest(server, service, job));
        let fastest = holding.map(|(slowness, _)| slowness).min_by(f64::total_cmp);
        fastest.unwrap_or_else(|| self.min_slowness())
    }

    /// Total speed of the servers of a service.
    pub(super) fn service_speed(&self, service: &ServiceId) -> ServiceSpeed {
        let serves = |server: &ServerView| !server.draining && server.service == *service;
        let is_serving = |state: &&AgentState| state.server.as_ref().is_some_and(serves);
        let mut sum = ServiceSpeed::default();
        for state in self.agents.values().filter(is_serving) {
            let capacity = state.server.as_ref().map_or(0, |server| server.capacity.cpu_milli);
            sum.speed += capacity as f64 / 1_000.0 / state.slowness();
            sum.own += state.usage.cpu_milli as f64;
            sum.others += state.other_usage.cpu_milli as f64;
        }
        sum
    }

    /// Processor time that is placed ahead of each waiting job, in core-milliseconds: of the
    /// steps that the latest placement round left waiting for capacity of its service. With
    /// precedence, it is no more than what delays a queue at its guaranteed share; the order is
    /// by priority alone, without deficits and the share of large jobs.
    fn work_before_waiting(&self, now: Instant) -> IndexMap<&JobId, u128> {
        let mut sums: IndexMap<&ServiceId, u128> = IndexMap::new();
        let mut queue_sums: IndexMap<&QueueId, u128> = IndexMap::new();
        let mut ahead = IndexMap::with_capacity(self.ready.len());
        let (at_stake, mut others): (Vec<_>, Vec<_>) =
            self.ready.in_order(now).partition(|group| group.at_stake);
        if let Some(shares) = &self.shares {
            others.sort_by_key(|group| shares.priority(&group.class.queue));
        }
        for group in at_stake.into_iter().chain(others) {
            let Some((service, work)) = group.left_work() else { continue };
            let sum = sums.entry(service).or_default();
            let queue_sum = queue_sums.entry(&group.class.queue).or_default();
            let work_ahead = match &self.shares {
                Some(shares) => shares.limit_ahead(*sum, *queue_sum, self.waiting_queues(service)),
                None => *sum,
            };
            ahead.entry(&group.job).or_insert(work_ahead);
            *sum += work;
            *queue_sum += work;
        }
        ahead
    }

    /// Number of queues with work that waits for capacity of a service.
    fn waiting_queues(&self, service: &ServiceId) -> usize {
        self.ready.left_by_queue(service).filter(|(_, work)| *work > 0).count()
    }
}

/// The step of a job whose tasks take the most processor capacity.
fn largest_step(job: &QueuedJob) -> Option<&JobStep> {
    job.steps.iter().max_by_key(|step| step.size.cpu_milli)
}

fn holds_largest(server: &ServerView, service: &ServiceId, job: &QueuedJob) -> bool {
    largest_step(job).is_some_and(|step| can_run(server, service, step))
}
