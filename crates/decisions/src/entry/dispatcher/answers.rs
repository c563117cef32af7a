//! What workers' answers, and their absence, mean for the tasks sent there.

use std::time::{Duration, Instant};

use model::{
    AgentView, AttemptId, ErrorKind, MessageKind, NotStartedReason, RecallAnswer, RecallFate,
    TaskEnd, TaskFate, TaskKey, TaskNote, TaskOutcome, TaskReport, WorkerId,
};

use super::super::retry_budget::backoff_delay;
use super::super::task_table::TaskPhase;
use super::super::worker_health::HealthChange;
use super::super::worker_table::ViewChange;
use super::{DispatchStep, Dispatcher};

/// Whether trying a task again counts against the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryCost {
    /// The worker gave the task back in an orderly way.
    Free,
    /// Something failed.
    Budgeted,
}

impl Dispatcher {
    pub(super) fn on_view(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        view: AgentView,
    ) -> Vec<DispatchStep> {
        let incarnation = view.incarnation;
        let mut steps = Vec::new();
        if self.workers.set_view(now, worker, view) == ViewChange::Restarted {
            self.health.forget(worker);
            steps.extend(self.lose_incarnations(now, worker, incarnation));
        }
        self.health.add(worker);
        steps.extend(self.ask_in_doubt(worker));
        steps.extend(self.ask_uncollected(worker));
        steps.extend(self.place_all(now));
        steps
    }

    /// Tasks sent to an earlier incarnation of a worker: nobody can tell any
    /// more whether they started.
    fn lose_incarnations(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        incarnation: model::Incarnation,
    ) -> Vec<DispatchStep> {
        let lost = self.tasks.all_where(|phase| match phase {
            TaskPhase::Sent { worker: at, incarnation: sent }
            | TaskPhase::InDoubt { worker: at, incarnation: sent } => {
                at == worker && *sent != incarnation
            }
            _ => false,
        });
        lost.iter()
            .flat_map(|key| self.lose(now, key, "the worker's agent was restarted"))
            .collect()
    }

    /// Asks a worker that is back about every task in doubt there.
    fn ask_in_doubt(&mut self, worker: &WorkerId) -> Vec<DispatchStep> {
        let in_doubt = self.tasks.all_where(
            |phase| matches!(phase, TaskPhase::InDoubt { worker: at, .. } if at == worker),
        );
        in_doubt.iter().flat_map(|key| self.ask(key, worker)).collect()
    }

    fn ask(&mut self, key: &TaskKey, worker: &WorkerId) -> Vec<DispatchStep> {
        let question = self.tasks.question(key);
        let Some(slot) = self.tasks.slot_mut(key) else { return Vec::new() };
        let TaskPhase::InDoubt { incarnation, .. } = slot.phase else { return Vec::new() };
        slot.phase = TaskPhase::Sent { worker: worker.clone(), incarnation };
        vec![
            DispatchStep::Count(MessageKind::Question),
            DispatchStep::Attach { worker: worker.clone(), question },
        ]
    }

    pub(super) fn on_report(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        report: TaskReport,
    ) -> Vec<DispatchStep> {
        if !self.expects(worker, &report) {
            return vec![DispatchStep::Count(MessageKind::LateAnswer)];
        }
        let service = self.tasks.jobs.get(&report.key.job).map(|job| job.service.clone());
        let load = report.running + report.queued;
        let mut steps = match report.fate {
            TaskFate::Ended { outcome } => self.on_outcome(now, worker, &report.key, outcome),
            TaskFate::NotStarted { reason } => {
                self.on_not_started(now, worker, &report.key, reason)
            }
            TaskFate::Queued | TaskFate::Running => Vec::new(),
        };
        if let Some(service) = service {
            self.workers.set_load(now, worker, &service, load);
            steps.extend(self.place(now, &service));
        }
        steps.extend(self.drop_departed(now));
        steps
    }

    /// Whether this answer is to the question that is open: same worker, same
    /// incarnation, same attempt.
    fn expects(&self, worker: &WorkerId, report: &TaskReport) -> bool {
        let Some(slot) = self.tasks.slot(&report.key) else { return false };
        let (TaskPhase::Sent { worker: at, incarnation }
        | TaskPhase::InDoubt { worker: at, incarnation }) = &slot.phase
        else {
            return false;
        };
        at == worker
            && *incarnation == report.incarnation
            && self.tasks.attempt(&report.key) == report.attempt
    }

    fn on_outcome(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        key: &TaskKey,
        outcome: TaskOutcome,
    ) -> Vec<DispatchStep> {
        let failed = !matches!(outcome, TaskOutcome::Completed { .. });
        let mut steps = self.count_health(now, worker, failed);
        match outcome {
            TaskOutcome::Completed { run_us, .. } => {
                self.learn(worker, key, Duration::from_micros(run_us));
                let end = TaskEnd::Ran { worker: worker.clone(), outcome };
                steps.extend(self.end(key, end));
            }
            TaskOutcome::Failed { ref reason, .. } if self.may_repeat(key) => {
                let reason = reason.clone();
                steps.extend(self.repeat(now, key, &reason));
            }
            TaskOutcome::Unknown { ref reason } if self.may_repeat(key) => {
                let reason = reason.clone();
                steps.extend(self.repeat(now, key, &reason));
            }
            TaskOutcome::Failed { .. } => {
                let end = TaskEnd::Ran { worker: worker.clone(), outcome };
                steps.extend(self.end(key, end));
            }
            TaskOutcome::Unknown { reason } => steps.extend(self.end_unknown(key, &reason)),
        }
        steps
    }

    fn learn(&mut self, worker: &WorkerId, key: &TaskKey, run: Duration) {
        let Some(job) = self.tasks.jobs.get(&key.job) else { return };
        let Some(slot) = job.tasks.get(key.task as usize) else { return };
        self.times.learn(&job.service, worker, slot.task.declared, run);
    }

    fn count_health(&mut self, now: Instant, worker: &WorkerId, failed: bool) -> Vec<DispatchStep> {
        match self.health.on_result(now, worker, failed) {
            HealthChange::Same => Vec::new(),
            change => vec![DispatchStep::Health { worker: worker.clone(), change }],
        }
    }

    /// Whether the task may run more than once, has time left, and its
    /// service's budget allows another try.
    fn may_repeat(&mut self, key: &TaskKey) -> bool {
        let Some(job) = self.tasks.jobs.get(&key.job) else { return false };
        if !job.idempotent || job.withdrawn {
            return false;
        }
        let service = job.service.clone();
        self.budgets.get_mut(&service).is_some_and(|budget| budget.take())
    }

    fn repeat(&mut self, now: Instant, key: &TaskKey, reason: &str) -> Vec<DispatchStep> {
        let note = TaskNote::Retried { reason: reason.into() };
        if let Some(slot) = self.tasks.slot_mut(key) {
            slot.may_have_run = true;
        }
        self.delay(now, key);
        vec![DispatchStep::Note { key: key.clone(), note }]
    }

    /// Takes a task from its worker and lets it wait out its backoff.
    fn delay(&mut self, now: Instant, key: &TaskKey) {
        let Some(job) = self.tasks.jobs.get_mut(&key.job) else { return };
        let service = job.service.clone();
        let Some(slot) = job.tasks.get_mut(key.task as usize) else { return };
        let phase = std::mem::replace(&mut slot.phase, TaskPhase::Delayed);
        let size = slot.task.size;
        slot.retries += 1;
        let retries = slot.retries;
        if let Some(worker) = phase.worker() {
            self.workers.remove_task(worker, &service, &size);
        }
        let due = now + backoff_delay(retries, &mut self.generator);
        self.delayed.insert((due, key.clone()));
    }

    fn on_not_started(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        key: &TaskKey,
        reason: NotStartedReason,
    ) -> Vec<DispatchStep> {
        let note = TaskNote::Refused { worker: worker.clone(), reason };
        let mut steps = vec![DispatchStep::Note { key: key.clone(), note }];
        self.health.on_probe_lost(now, worker);
        let withdrawn = self.tasks.jobs.get(&key.job).is_some_and(|job| job.withdrawn);
        if withdrawn {
            let detail = "cancelled before it started";
            steps.extend(self.end_not_started(key, ErrorKind::CancelledBeforeStart, detail));
            return steps;
        }
        match reason {
            NotStartedReason::Expired => {
                let detail = "the deadline passed before the task could start";
                steps.extend(self.end_not_started(key, ErrorKind::ExpiredBeforeStart, detail));
            }
            NotStartedReason::OwnerFenced | NotStartedReason::Overtaken => {
                steps.extend(self.end_unknown(key, "another entry has taken the submission over"));
            }
            NotStartedReason::Unreachable => {
                steps.extend(self.count_health(now, worker, true));
                steps.extend(self.move_on(now, key, RetryCost::Budgeted));
            }
            NotStartedReason::QueueFull | NotStartedReason::NoLease => {
                steps.extend(self.move_on(now, key, RetryCost::Budgeted));
            }
            NotStartedReason::NoInstance
            | NotStartedReason::Draining
            | NotStartedReason::Recalled => {
                steps.extend(self.move_on(now, key, RetryCost::Free));
            }
        }
        steps
    }

    /// Sends a task that surely did not start on to another worker.
    fn move_on(&mut self, now: Instant, key: &TaskKey, cost: RetryCost) -> Vec<DispatchStep> {
        let Some(job) = self.tasks.jobs.get(&key.job) else { return Vec::new() };
        let service = job.service.clone();
        let budget = self.budgets.get_mut(&service);
        let allowed = cost == RetryCost::Free || budget.is_some_and(|budget| budget.take());
        if !allowed {
            let detail = "no worker took the task, and the retry budget is used up";
            return self.end_not_started(key, ErrorKind::Overloaded, detail);
        }
        self.delay(now, key);
        Vec::new()
    }

    pub(super) fn on_call_lost(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        key: &TaskKey,
        attempt: AttemptId,
        sent: bool,
    ) -> Vec<DispatchStep> {
        let current = self.tasks.attempt(key);
        let Some(slot) = self.tasks.slot_mut(key) else { return Vec::new() };
        let TaskPhase::Sent { worker: at, incarnation } = &slot.phase else { return Vec::new() };
        if at != worker || attempt != current {
            return Vec::new();
        }
        let incarnation = *incarnation;
        if !sent {
            return self.move_on(now, key, RetryCost::Free);
        }
        if self.may_repeat(key) {
            return self.repeat(now, key, "contact with the worker was lost");
        }
        if let Some(slot) = self.tasks.slot_mut(key) {
            slot.phase = TaskPhase::InDoubt { worker: worker.clone(), incarnation };
        }
        let note = TaskNote::InDoubt { worker: worker.clone() };
        let mut steps = vec![DispatchStep::Note { key: key.clone(), note }];
        let heard = self.workers.get(worker).is_some_and(|state| !state.silent);
        if heard {
            steps.extend(self.ask(key, worker));
        }
        steps
    }

    pub(super) fn on_recalled(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        answer: &RecallAnswer,
    ) -> Vec<DispatchStep> {
        let fates = &answer.fates;
        let ended = |fate: &&RecallFate| matches!(fate.fate, TaskFate::Ended { .. });
        let late = fates.iter().filter(ended).count();
        let mut steps = self.on_collected(now, worker, answer);
        if late > 0 && late == fates.len() {
            steps.push(DispatchStep::Count(MessageKind::LateCancel));
        }
        steps
    }

    pub(super) fn on_silent(&mut self, now: Instant, worker: &WorkerId) -> Vec<DispatchStep> {
        self.workers.set_silent(worker);
        self.drop_departed(now)
    }

    pub(super) fn drop_departed(&mut self, now: Instant) -> Vec<DispatchStep> {
        let gone = self.workers.take_gone();
        self.lose_workers(now, &gone)
    }

    /// Workers that are gone for good, with all that was sent there.
    pub(super) fn lose_workers(&mut self, now: Instant, gone: &[WorkerId]) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        for worker in gone {
            self.health.forget(worker);
            self.times.forget(worker);
            let lost = self.tasks.all_where(|phase| phase.worker() == Some(worker));
            for key in &lost {
                steps.extend(self.lose(now, key, "the worker was lost"));
            }
            steps.extend(self.forget_uncollected(now, worker));
        }
        steps
    }

    /// A task that nobody can tell of any more.
    fn lose(&mut self, now: Instant, key: &TaskKey, reason: &str) -> Vec<DispatchStep> {
        if self.may_repeat(key) {
            return self.repeat(now, key, reason);
        }
        self.end_unknown(key, reason)
    }
}
