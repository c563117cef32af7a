//! Owns the tasks of an entry from admission to their end: queueing, placement,
//! retries and takeover.
//!
//! Invariants:
//! - a task that may not be repeated is sent to another worker only after the
//!   previous one confirmed "not started";
//! - every admitted task ends exactly once;
//! - a task is reported as "not started" only if it was never sent or its
//!   worker confirmed it.

mod intake;
mod placing;
mod replies;
mod takeover;
mod timers;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use model::{
    AdmitRequest, ConfigInForce, ErrorKind, Failure, JobKey, LeaseState, LinkEvent, MemberRecord,
    MessageKind, RecallOrder, ReleaseOrder, RoutingPolicy, ServiceId, StartOrder, TaskEnd,
    TaskEvent, TaskKey, TaskQuery, WorkerId,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::fair_queue::FairQueue;
use super::placement::WorkerChooser;
use super::retry_budget::RetryBudget;
use super::run_times::RunTimes;
use super::task_table::{TaskPhase, TaskTable};
use super::worker_health::{HealthChange, HealthTracker};
use super::worker_table::WorkerTable;

/// Limits of dispatch at one entry, fixed at its start.
#[derive(Debug, Clone, Copy)]
pub struct DispatchLimits {
    /// Maximum number of tasks that wait at the entry.
    pub queue_limit: usize,
    /// Seed of routing and backoff choices.
    pub seed: u64,
}

/// Action that the caller of the dispatcher must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchStep {
    /// The submission is admitted and waits for its release.
    Admitted {
        /// Key of the submission.
        key: JobKey,
    },
    /// The submission is refused; nothing of it ran.
    Refused {
        /// Key of the submission.
        key: JobKey,
        /// Reason of the refusal.
        failure: Failure,
    },
    /// Send a start order.
    Start {
        /// Worker to send it to.
        worker: WorkerId,
        /// Message to send.
        order: Box<StartOrder>,
    },
    /// Query a worker for the end of a task.
    Attach {
        /// Worker to send it to.
        worker: WorkerId,
        /// Query to send.
        query: TaskQuery,
    },
    /// Recall tasks from a worker.
    Recall {
        /// Worker to send it to.
        worker: WorkerId,
        /// Message to send.
        order: RecallOrder,
    },
    /// A task ended.
    End {
        /// Key of the task.
        key: TaskKey,
        /// How it ended.
        end: TaskEnd,
    },
    /// Report an event of a task.
    TaskEvent {
        /// Key of the task.
        key: TaskKey,
        /// What happened to the task.
        event: TaskEvent,
    },
    /// A worker was ejected or reinstated by outlier detection.
    Health {
        /// Id of the worker.
        worker: WorkerId,
        /// New status of the worker.
        change: HealthChange,
    },
    /// Count a message by its kind.
    Count(MessageKind),
}

/// Dispatch state of one entry.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    limits: DispatchLimits,
    config: Option<Arc<ConfigInForce>>,
    tasks: TaskTable,
    /// Number of tasks of each team that have not ended; its quota limits them.
    team_tasks: IndexMap<model::TeamId, usize>,
    queues: IndexMap<ServiceId, FairQueue>,
    /// Number of tasks in phase [`TaskPhase::Unreleased`].
    unreleased: usize,
    /// Tasks in phase [`TaskPhase::Delayed`], by the end of their backoff.
    delayed: BTreeSet<(Instant, TaskKey)>,
    deadlines: BTreeSet<(Instant, JobKey)>,
    workers: WorkerTable,
    health: HealthTracker,
    times: RunTimes,
    budgets: IndexMap<ServiceId, RetryBudget>,
    chooser: WorkerChooser,
    rng: SmallRng,
    /// Expiry of this entry's lease from control.
    lease_until: Option<Instant>,
    next_tick: Option<Instant>,
}

impl Dispatcher {
    /// Creates a dispatcher without configuration, workers or lease.
    pub fn new(limits: DispatchLimits) -> Dispatcher {
        Dispatcher {
            limits,
            config: None,
            tasks: TaskTable::default(),
            team_tasks: IndexMap::new(),
            queues: IndexMap::new(),
            unreleased: 0,
            delayed: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            workers: WorkerTable::default(),
            health: HealthTracker::default(),
            times: RunTimes::default(),
            budgets: IndexMap::new(),
            chooser: WorkerChooser::new(RoutingPolicy::default(), limits.seed),
            rng: SmallRng::seed_from_u64(limits.seed.wrapping_add(1)),
            lease_until: None,
            next_tick: None,
        }
    }

    /// Applies a configuration: run time priors, retry ratios and the routing
    /// policy.
    pub fn on_config(&mut self, config: Arc<ConfigInForce>) {
        for (service, service_config) in &config.text.services {
            self.times.declare(service, service_config.declared());
            let ratio = service_config.retry_ratio;
            let budget = self.budgets.entry(service.clone());
            budget.or_insert_with(|| RetryBudget::new(ratio)).set_ratio(ratio);
        }
        self.chooser.set_policy(config.text.policy);
        self.config = Some(config);
    }

    /// Routing policy in force.
    pub fn policy(&self) -> RoutingPolicy {
        self.chooser.policy()
    }

    /// Applies a change of the member list and places waiting tasks. `entries`
    /// counts the live entries, this one included.
    pub fn on_members(
        &mut self,
        now: Instant,
        agents: &[MemberRecord],
        entries: usize,
    ) -> Vec<DispatchStep> {
        let removed = self.workers.set_members(agents, entries as u32);
        let mut steps = self.on_workers_removed(now, &removed);
        for agent in agents {
            self.health.add(&agent.node);
        }
        steps.extend(self.place_all(now));
        steps
    }

    /// Applies a change of this entry's lease. A new lease lets waiting claimed
    /// tasks be placed; fencing ends them.
    pub fn on_lease(&mut self, now: Instant, state: LeaseState) -> Vec<DispatchStep> {
        match state {
            LeaseState::ValidUntil(until) => {
                let was_lost = self.lease_until.is_none_or(|until| until <= now);
                self.lease_until = Some(until);
                if was_lost { self.place_all(now) } else { Vec::new() }
            }
            LeaseState::Fenced { .. } => self.abandon_claimed_tasks(now),
        }
    }

    fn has_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Handles an event on the link to a worker.
    pub fn on_link(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        event: LinkEvent,
    ) -> Vec<DispatchStep> {
        match event {
            LinkEvent::View { view } => self.on_view(now, worker, view),
            LinkEvent::Report { report } => self.on_report(now, worker, report),
            LinkEvent::CallLost { key, attempt, sent } => {
                self.on_call_lost(now, worker, &key, attempt, sent)
            }
            LinkEvent::Recalled { answer } => self.on_recalled(now, worker, &answer),
            LinkEvent::RecallLost { queries } => self.on_recall_lost(worker, &queries),
            LinkEvent::ContactLost => self.on_contact_lost(now, worker),
        }
    }

    /// Ends a task; does nothing if it has ended already.
    fn end(&mut self, key: &TaskKey, end: TaskEnd) -> Vec<DispatchStep> {
        let Some(job) = self.tasks.jobs.get_mut(&key.job) else { return Vec::new() };
        let Some(record) = job.tasks.get_mut(key.task as usize) else { return Vec::new() };
        if record.phase == TaskPhase::Done {
            return Vec::new();
        }
        let phase = std::mem::replace(&mut record.phase, TaskPhase::Done);
        let size = record.task.size;
        job.open_tasks -= 1;
        let service = job.service.clone();
        let deadline = job.deadline;
        let job_ended = job.open_tasks == 0;
        match &phase {
            TaskPhase::Unreleased => self.unreleased -= 1,
            TaskPhase::Queued => self.remove_from_queue(&service, key),
            _ => {}
        }
        if let Some(worker) = phase.worker() {
            self.workers.remove_task(worker, &service, &size);
        }
        self.remove_ended_task(key, job_ended, deadline);
        vec![DispatchStep::End { key: key.clone(), end }]
    }

    /// Releases the quota that an ended task used, and drops its submission if
    /// that has ended too.
    fn remove_ended_task(&mut self, key: &TaskKey, job_ended: bool, deadline: Instant) {
        if let Some(tasks) = self.team_tasks.get_mut(&key.job.team) {
            *tasks = tasks.saturating_sub(1);
            if *tasks == 0 {
                self.team_tasks.swap_remove(&key.job.team);
            }
        }
        if job_ended {
            self.tasks.jobs.swap_remove(&key.job);
            self.deadlines.remove(&(deadline, key.job.clone()));
        }
    }

    fn remove_from_queue(&mut self, service: &ServiceId, key: &TaskKey) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove_where(&key.job.team, |queued| queued == key);
        }
    }

    /// Ends a task whose latest attempt did not start: as not started, or as unknown
    /// if an earlier attempt may have run.
    fn end_not_started(
        &mut self,
        key: &TaskKey,
        kind: ErrorKind,
        detail: &str,
    ) -> Vec<DispatchStep> {
        let may_have_run = self.tasks.record(key).is_some_and(|record| record.may_have_run);
        if may_have_run {
            return self.end_unknown(key, detail);
        }
        let failure = Failure::new(kind, detail);
        self.end(key, TaskEnd::NotStarted { failure })
    }

    fn end_unknown(&mut self, key: &TaskKey, reason: &str) -> Vec<DispatchStep> {
        self.end(key, TaskEnd::Unknown { reason: reason.into() })
    }

    /// When [`Dispatcher::on_tick`] must be called next, as of the last
    /// [`Dispatcher::plan_tick`].
    pub fn next_deadline(&self) -> Option<Instant> {
        self.next_tick
    }

    /// Tasks that wait at this entry: unreleased, queued or backing off.
    pub fn waiting(&self) -> usize {
        self.unreleased
            + self.queues.values().map(FairQueue::len).sum::<usize>()
            + self.delayed.len()
    }

    /// Slots of all services at workers that may be given work.
    pub fn known_slots(&self) -> u32 {
        self.workers.all_slots()
    }

    /// Runs the admission check for a submission; with `release`, admitted
    /// tasks are placed at once.
    pub fn on_admit(
        &mut self,
        now: Instant,
        request: AdmitRequest,
        release: Option<ReleaseOrder>,
    ) -> Vec<DispatchStep> {
        self.admit(now, request, release)
    }
}
