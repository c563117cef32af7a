//! Applies the replies of workers, and lost contact, to the tasks sent there.
//!
//! A task whose outcome is unknown, since contact was lost after it was sent, is
//! sent again only if it is idempotent and the retry budget allows. Otherwise its
//! worker is queried once in contact again; if the worker is removed or its agent
//! restarts first, the task ends as unknown.

use std::time::{Duration, Instant};

use model::{
    AgentView, AttemptId, ErrorKind, MessageKind, NotStartedReason, RecallAnswer, RecallStatus,
    TaskEnd, TaskEvent, TaskKey, TaskOutcome, TaskReport, TaskStatus, WorkerId,
};

use super::super::retry_budget::backoff_delay;
use super::super::task_table::TaskPhase;
use super::super::worker_health::HealthChange;
use super::super::worker_table::ViewChange;
use super::{DispatchStep, Dispatcher};

/// Whether a retry consumes a token of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryCost {
    /// The worker returned the task in regular operation, such as draining.
    Free,
    /// The previous attempt failed or was refused.
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
            self.health.remove_worker(worker);
            steps.extend(self.on_agent_restarted(now, worker, incarnation));
        }
        self.health.add(worker);
        steps.extend(self.query_unacknowledged(worker));
        steps.extend(self.retry_collections(worker));
        steps.extend(self.place_all(now));
        steps
    }

    /// Handles the restart of an agent: whether tasks sent to an earlier
    /// incarnation started can no longer be determined.
    fn on_agent_restarted(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        incarnation: model::Incarnation,
    ) -> Vec<DispatchStep> {
        let lost = self.tasks.all_where(|phase| match phase {
            TaskPhase::Sent { worker: at, incarnation: sent }
            | TaskPhase::Unacknowledged { worker: at, incarnation: sent } => {
                at == worker && *sent != incarnation
            }
            _ => false,
        });
        lost.iter()
            .flat_map(|key| self.on_task_lost(now, key, "the worker's agent was restarted"))
            .collect()
    }

    /// Queries a worker that is in contact again about every unacknowledged
    /// task there.
    fn query_unacknowledged(&mut self, worker: &WorkerId) -> Vec<DispatchStep> {
        let unacknowledged = self.tasks.all_where(
            |phase| matches!(phase, TaskPhase::Unacknowledged { worker: at, .. } if at == worker),
        );
        unacknowledged.iter().flat_map(|key| self.query_outcome(key, worker)).collect()
    }

    /// Queries the worker about an unacknowledged task, which counts as sent again.
    fn query_outcome(&mut self, key: &TaskKey, worker: &WorkerId) -> Vec<DispatchStep> {
        let query = self.tasks.query(key);
        let Some(record) = self.tasks.record_mut(key) else { return Vec::new() };
        let TaskPhase::Unacknowledged { incarnation, .. } = record.phase else { return Vec::new() };
        record.phase = TaskPhase::Sent { worker: worker.clone(), incarnation };
        vec![
            DispatchStep::Count(MessageKind::Question),
            DispatchStep::Attach { worker: worker.clone(), query },
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
        let mut steps = match report.status {
            TaskStatus::Ended { outcome } => self.on_outcome(now, worker, &report.key, outcome),
            TaskStatus::NotStarted { reason } => {
                self.on_not_started(now, worker, &report.key, reason)
            }
            TaskStatus::Queued | TaskStatus::Running => Vec::new(),
        };
        if let Some(service) = service {
            self.workers.set_load(now, worker, &service, load);
            steps.extend(self.place(now, &service));
        }
        steps.extend(self.drop_departed(now));
        steps
    }

    /// Whether the reply matches the task's open call: same worker, incarnation and
    /// attempt.
    fn expects(&self, worker: &WorkerId, report: &TaskReport) -> bool {
        let Some(record) = self.tasks.record(&report.key) else { return false };
        let (TaskPhase::Sent { worker: at, incarnation }
        | TaskPhase::Unacknowledged { worker: at, incarnation }) = &record.phase
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
        let mut steps = self.update_health(now, worker, failed);
        match outcome {
            TaskOutcome::Completed { run_us, .. } => {
                self.record_run_time(worker, key, Duration::from_micros(run_us));
                let end = TaskEnd::Ran { worker: worker.clone(), outcome };
                steps.extend(self.end(key, end));
            }
            TaskOutcome::Failed { ref reason, .. } if self.acquire_retry(key) => {
                let reason = reason.clone();
                steps.extend(self.retry(now, key, &reason));
            }
            TaskOutcome::Unknown { ref reason } if self.acquire_retry(key) => {
                let reason = reason.clone();
                steps.extend(self.retry(now, key, &reason));
            }
            TaskOutcome::Failed { .. } => {
                let end = TaskEnd::Ran { worker: worker.clone(), outcome };
                steps.extend(self.end(key, end));
            }
            TaskOutcome::Unknown { reason } => steps.extend(self.end_unknown(key, &reason)),
        }
        steps
    }

    fn record_run_time(&mut self, worker: &WorkerId, key: &TaskKey, run: Duration) {
        let Some(job) = self.tasks.jobs.get(&key.job) else { return };
        let Some(record) = job.tasks.get(key.task as usize) else { return };
        self.times.record_run(&job.service, worker, record.task.declared, run);
    }

    fn update_health(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        failed: bool,
    ) -> Vec<DispatchStep> {
        match self.health.on_result(now, worker, failed) {
            HealthChange::Unchanged => Vec::new(),
            change => vec![DispatchStep::Health { worker: worker.clone(), change }],
        }
    }

    /// Whether the task may run again: it is idempotent, not withdrawn, and its
    /// service's retry budget has a token, which this consumes.
    fn acquire_retry(&mut self, key: &TaskKey) -> bool {
        let Some(job) = self.tasks.jobs.get(&key.job) else { return false };
        if !job.idempotent || job.withdrawn {
            return false;
        }
        let service = job.service.clone();
        self.budgets.get_mut(&service).is_some_and(|budget| budget.try_take())
    }

    /// Schedules a retry of a task that may have run.
    fn retry(&mut self, now: Instant, key: &TaskKey, reason: &str) -> Vec<DispatchStep> {
        let event = TaskEvent::Retried { reason: reason.into() };
        if let Some(record) = self.tasks.record_mut(key) {
            record.may_have_run = true;
        }
        self.back_off(now, key);
        vec![DispatchStep::TaskEvent { key: key.clone(), event }]
    }

    /// Takes a task from its worker and schedules it for after its backoff.
    fn back_off(&mut self, now: Instant, key: &TaskKey) {
        let Some(job) = self.tasks.jobs.get_mut(&key.job) else { return };
        let service = job.service.clone();
        let Some(record) = job.tasks.get_mut(key.task as usize) else { return };
        let phase = std::mem::replace(&mut record.phase, TaskPhase::Delayed);
        let size = record.task.size;
        record.retries += 1;
        let retries = record.retries;
        if let Some(worker) = phase.worker() {
            self.workers.remove_task(worker, &service, &size);
        }
        let due = now + backoff_delay(retries, &mut self.rng);
        self.delayed.insert((due, key.clone()));
    }

    fn on_not_started(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        key: &TaskKey,
        reason: NotStartedReason,
    ) -> Vec<DispatchStep> {
        let event = TaskEvent::Refused { worker: worker.clone(), reason };
        let mut steps = vec![DispatchStep::TaskEvent { key: key.clone(), event }];
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
                steps.extend(self.update_health(now, worker, true));
                steps.extend(self.reroute(now, key, RetryCost::Budgeted));
            }
            NotStartedReason::QueueFull | NotStartedReason::NoLease => {
                steps.extend(self.reroute(now, key, RetryCost::Budgeted));
            }
            NotStartedReason::NoInstance
            | NotStartedReason::Draining
            | NotStartedReason::Recalled => {
                steps.extend(self.reroute(now, key, RetryCost::Free));
            }
        }
        steps
    }

    /// Retries a task on another worker after the last one confirmed that it
    /// did not start, if the budget allows.
    fn reroute(&mut self, now: Instant, key: &TaskKey, cost: RetryCost) -> Vec<DispatchStep> {
        let Some(job) = self.tasks.jobs.get(&key.job) else { return Vec::new() };
        let service = job.service.clone();
        let budget = self.budgets.get_mut(&service);
        let allowed = cost == RetryCost::Free || budget.is_some_and(|budget| budget.try_take());
        if !allowed {
            let detail = "no worker accepted the task, and the retry budget is exhausted";
            return self.end_not_started(key, ErrorKind::Overloaded, detail);
        }
        self.back_off(now, key);
        Vec::new()
    }

    /// Handles a start or query call without a reply. `sent` is false only if it
    /// never left this process, so that the task did not start.
    pub(super) fn on_call_lost(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        key: &TaskKey,
        attempt: AttemptId,
        sent: bool,
    ) -> Vec<DispatchStep> {
        let current = self.tasks.attempt(key);
        let Some(record) = self.tasks.record_mut(key) else { return Vec::new() };
        let TaskPhase::Sent { worker: at, incarnation } = &record.phase else { return Vec::new() };
        if at != worker || attempt != current {
            return Vec::new();
        }
        let incarnation = *incarnation;
        if !sent {
            return self.reroute(now, key, RetryCost::Free);
        }
        if self.acquire_retry(key) {
            return self.retry(now, key, "contact with the worker was lost");
        }
        if let Some(record) = self.tasks.record_mut(key) {
            record.phase = TaskPhase::Unacknowledged { worker: worker.clone(), incarnation };
        }
        let event = TaskEvent::Unacknowledged { worker: worker.clone() };
        let mut steps = vec![DispatchStep::TaskEvent { key: key.clone(), event }];
        let in_contact = self.workers.get(worker).is_some_and(|state| !state.contact_lost);
        if in_contact {
            steps.extend(self.query_outcome(key, worker));
        }
        steps
    }

    /// Applies the reply to a recall. It counts as late if all recalled tasks had
    /// ended.
    pub(super) fn on_recalled(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        answer: &RecallAnswer,
    ) -> Vec<DispatchStep> {
        let statuses = &answer.statuses;
        let ended = |status: &&RecallStatus| matches!(status.status, TaskStatus::Ended { .. });
        let late = statuses.iter().filter(ended).count();
        let mut steps = self.apply_recall_reply(now, worker, answer);
        if late > 0 && late == statuses.len() {
            steps.push(DispatchStep::Count(MessageKind::LateCancel));
        }
        steps
    }

    pub(super) fn on_contact_lost(&mut self, now: Instant, worker: &WorkerId) -> Vec<DispatchStep> {
        self.workers.set_contact_lost(worker);
        self.drop_departed(now)
    }

    pub(super) fn drop_departed(&mut self, now: Instant) -> Vec<DispatchStep> {
        let removed = self.workers.remove_departed();
        self.on_workers_removed(now, &removed)
    }

    /// Handles the removal of workers and of all tasks that were sent there.
    pub(super) fn on_workers_removed(
        &mut self,
        now: Instant,
        removed: &[WorkerId],
    ) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        for worker in removed {
            self.health.remove_worker(worker);
            self.times.remove_worker(worker);
            let lost = self.tasks.all_where(|phase| phase.worker() == Some(worker));
            for key in &lost {
                steps.extend(self.on_task_lost(now, key, "the worker was lost"));
            }
            steps.extend(self.drop_from_collections(now, worker));
        }
        steps
    }

    /// Retries or ends a task whose outcome can no longer be determined.
    fn on_task_lost(&mut self, now: Instant, key: &TaskKey, reason: &str) -> Vec<DispatchStep> {
        if self.acquire_retry(key) {
            return self.retry(now, key, reason);
        }
        self.end_unknown(key, reason)
    }
}
