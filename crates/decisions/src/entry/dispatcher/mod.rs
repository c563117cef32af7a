//! Decides what becomes of every task at an entry, from admission to its end.
//!
//! Invariants:
//! - a task that may not be repeated is sent to another worker only after the
//!   one before confirmed "not started";
//! - every admitted task ends exactly once;
//! - "not started" is said only of tasks that were never sent, or whose
//!   worker confirmed it.

mod answers;
mod intake;
mod placing;
mod takeover;
mod upkeep;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use model::{
    AdmitRequest, ConfigInForce, ErrorKind, Failure, JobKey, LeaseState, LinkEvent, MemberRecord,
    MessageKind, RecallOrder, ReleaseOrder, RoutingPolicy, ServiceId, StartOrder, TaskEnd, TaskKey,
    TaskNote, TaskQuestion, WorkerId,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::fair_queue::FairQueue;
use super::placement::Chooser;
use super::retry_budget::RetryBudget;
use super::run_times::RunTimes;
use super::task_table::{TaskPhase, TaskTable};
use super::worker_health::{HealthBook, HealthChange};
use super::worker_table::WorkerTable;

/// Limits of dispatch at one entry.
#[derive(Debug, Clone, Copy)]
pub struct DispatchLimits {
    /// Tasks that may wait.
    pub queue_limit: usize,
    /// Seed of random choices.
    pub seed: u64,
}

/// What dispatch does next.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchStep {
    /// The submission is let in.
    Admitted {
        /// The submission.
        key: JobKey,
    },
    /// The submission is refused; nothing of it ran.
    Refused {
        /// The submission.
        key: JobKey,
        /// Why.
        failure: Failure,
    },
    /// Sends a start order.
    Start {
        /// To which worker.
        worker: WorkerId,
        /// The order.
        order: Box<StartOrder>,
    },
    /// Asks for a task's end.
    Attach {
        /// At which worker.
        worker: WorkerId,
        /// The question.
        question: TaskQuestion,
    },
    /// Takes tasks back.
    Recall {
        /// At which worker.
        worker: WorkerId,
        /// The order.
        order: RecallOrder,
    },
    /// A task ended.
    End {
        /// The task.
        key: TaskKey,
        /// How.
        end: TaskEnd,
    },
    /// A step on a task's way.
    Note {
        /// The task.
        key: TaskKey,
        /// The step.
        note: TaskNote,
    },
    /// A worker was ejected or reinstated.
    Health {
        /// The worker.
        worker: WorkerId,
        /// What changed.
        change: HealthChange,
    },
    /// Counts a message by its kind.
    Count(MessageKind),
}

/// Dispatch at one entry.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    limits: DispatchLimits,
    config: Option<Arc<ConfigInForce>>,
    tasks: TaskTable,
    team_tasks: IndexMap<model::TeamId, usize>,
    queues: IndexMap<ServiceId, FairQueue>,
    held: usize,
    delayed: BTreeSet<(Instant, TaskKey)>,
    deadlines: BTreeSet<(Instant, JobKey)>,
    workers: WorkerTable,
    health: HealthBook,
    times: RunTimes,
    budgets: IndexMap<ServiceId, RetryBudget>,
    chooser: Chooser,
    generator: SmallRng,
    lease_until: Option<Instant>,
    next_upkeep: Option<Instant>,
}

impl Dispatcher {
    /// Dispatch that knows no configuration and no worker yet.
    pub fn new(limits: DispatchLimits) -> Dispatcher {
        Dispatcher {
            limits,
            config: None,
            tasks: TaskTable::default(),
            team_tasks: IndexMap::new(),
            queues: IndexMap::new(),
            held: 0,
            delayed: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            workers: WorkerTable::default(),
            health: HealthBook::default(),
            times: RunTimes::default(),
            budgets: IndexMap::new(),
            chooser: Chooser::new(RoutingPolicy::default(), limits.seed),
            generator: SmallRng::seed_from_u64(limits.seed.wrapping_add(1)),
            lease_until: None,
            next_upkeep: None,
        }
    }

    /// A configuration came into force.
    pub fn on_config(&mut self, config: Arc<ConfigInForce>) {
        for (service, service_text) in &config.text.services {
            self.times.declare(service, service_text.declared());
            let ratio = service_text.retry_ratio;
            let budget = self.budgets.entry(service.clone());
            budget.or_insert_with(|| RetryBudget::new(ratio)).set_ratio(ratio);
        }
        self.chooser.set_policy(config.text.policy);
        self.config = Some(config);
    }

    /// The routing policy in force.
    pub fn policy(&self) -> RoutingPolicy {
        self.chooser.policy()
    }

    /// The member list changed.
    pub fn on_members(
        &mut self,
        now: Instant,
        agents: &[MemberRecord],
        entries: usize,
    ) -> Vec<DispatchStep> {
        let gone = self.workers.set_members(agents, entries as u32);
        let mut steps = self.lose_workers(now, &gone);
        for agent in agents {
            self.health.add(&agent.node);
        }
        steps.extend(self.place_all(now));
        steps
    }

    /// The lease at control changed.
    pub fn on_lease(&mut self, now: Instant, state: LeaseState) -> Vec<DispatchStep> {
        match state {
            LeaseState::HeldUntil(until) => {
                let was_lost = self.lease_until.is_none_or(|until| until <= now);
                self.lease_until = Some(until);
                if was_lost { self.place_all(now) } else { Vec::new() }
            }
            LeaseState::Fenced { .. } => self.give_up_all(now),
        }
    }

    fn has_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// A link saw something.
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
            LinkEvent::RecallLost { questions } => self.on_recall_lost(worker, &questions),
            LinkEvent::Silent => self.on_silent(now, worker),
        }
    }

    /// Ends a task, once.
    fn end(&mut self, key: &TaskKey, end: TaskEnd) -> Vec<DispatchStep> {
        let Some(job) = self.tasks.jobs.get_mut(&key.job) else { return Vec::new() };
        let Some(slot) = job.tasks.get_mut(key.task as usize) else { return Vec::new() };
        if slot.phase == TaskPhase::Done {
            return Vec::new();
        }
        let phase = std::mem::replace(&mut slot.phase, TaskPhase::Done);
        let size = slot.task.size;
        job.open -= 1;
        let service = job.service.clone();
        let deadline = job.deadline;
        let job_ended = job.open == 0;
        match &phase {
            TaskPhase::Held => self.held -= 1,
            TaskPhase::Queued => self.unqueue(&service, key),
            _ => {}
        }
        if let Some(worker) = phase.worker() {
            self.workers.remove_task(worker, &service, &size);
        }
        self.release_quota(key, job_ended, deadline);
        vec![DispatchStep::End { key: key.clone(), end }]
    }

    fn release_quota(&mut self, key: &TaskKey, job_ended: bool, deadline: Instant) {
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

    fn unqueue(&mut self, service: &ServiceId, key: &TaskKey) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove_where(&key.job.team, |queued| queued == key);
        }
    }

    fn end_not_started(
        &mut self,
        key: &TaskKey,
        kind: ErrorKind,
        detail: &str,
    ) -> Vec<DispatchStep> {
        let may_have_run = self.tasks.slot(key).is_some_and(|slot| slot.may_have_run);
        if may_have_run {
            return self.end_unknown(key, detail);
        }
        let failure = Failure::new(kind, detail);
        self.end(key, TaskEnd::NotStarted { failure })
    }

    fn end_unknown(&mut self, key: &TaskKey, reason: &str) -> Vec<DispatchStep> {
        self.end(key, TaskEnd::Unknown { reason: reason.into() })
    }

    /// When [`Dispatcher::on_tick`] is next needed.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.next_upkeep
    }

    /// Tasks that wait at this entry.
    pub fn waiting(&self) -> usize {
        self.held + self.queues.values().map(FairQueue::len).sum::<usize>() + self.delayed.len()
    }

    /// Slots of all services at workers that take work.
    pub fn known_slots(&self) -> u32 {
        self.workers.all_slots()
    }

    /// Asks to let a submission in; with `release`, its tasks are placed at
    /// once.
    pub fn on_admit(
        &mut self,
        now: Instant,
        request: AdmitRequest,
        release: Option<ReleaseOrder>,
    ) -> Vec<DispatchStep> {
        self.admit(now, request, release)
    }
}
