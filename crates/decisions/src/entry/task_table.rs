//! Owns the submissions in dispatch at this entry and the phase of each of
//! their tasks.
//!
//! Invariant: a task is at one worker at most, and its attempt number grows
//! each time it is sent.

use std::time::Instant;

use indexmap::IndexMap;
use model::{
    AdmitTask, AttemptId, Incarnation, JobKey, ReleaseOrder, ServiceId, TaskIndex, TaskKey,
    TaskQuery, WorkerId, attempt_id,
};

/// Dispatch phase of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum TaskPhase {
    /// Admitted, but its submission is not released yet: its claim at control is
    /// pending.
    Unreleased,
    /// Its submission was taken over from another entry, and agents are being
    /// queried about what they started.
    Collecting,
    /// In the fair queue.
    Queued,
    /// Waiting for its retry backoff to end.
    Delayed,
    /// Sent to a worker, with the call for its result open.
    Sent { worker: WorkerId, incarnation: Incarnation },
    /// Sent to a worker with which contact was lost; its outcome is unknown
    /// until the worker replies or is removed.
    Unacknowledged { worker: WorkerId, incarnation: Incarnation },
    /// Ended.
    Done,
}

impl TaskPhase {
    /// The worker that may have started the task.
    pub(super) fn worker(&self) -> Option<&WorkerId> {
        match self {
            TaskPhase::Sent { worker, .. } | TaskPhase::Unacknowledged { worker, .. } => {
                Some(worker)
            }
            _ => None,
        }
    }

    /// Whether the task waits at this entry: it was never sent, or it came back
    /// from its last worker and is to be sent again. An earlier attempt may
    /// have run all the same; see `may_have_run`.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self, TaskPhase::Unreleased | TaskPhase::Queued | TaskPhase::Delayed)
    }
}

#[derive(Debug, Clone)]
pub(super) struct TaskRecord {
    pub(super) task: AdmitTask,
    pub(super) phase: TaskPhase,
    /// Number of times that this entry sent the task.
    pub(super) attempt_number: u32,
    /// Number of backoffs, after failed attempts and after refusals.
    pub(super) retries: u32,
    /// Whether an earlier attempt may have run, although the task waits again.
    pub(super) may_have_run: bool,
    pub(super) sent_at: Option<Instant>,
}

/// State of a takeover: the agents that have yet to reply before the submission
/// may continue.
#[derive(Debug, Clone)]
pub(super) struct Collection {
    /// Agents without a reply, each with the incarnation that must give it.
    pub(super) pending: IndexMap<WorkerId, Incarnation>,
    /// Whether an agent that may have started a task no longer has its records.
    pub(super) memory_lost: bool,
}

#[derive(Debug, Clone)]
pub(super) struct JobRecord {
    pub(super) service: ServiceId,
    pub(super) deadline: Instant,
    pub(super) idempotent: bool,
    /// Whether the job tracker withdrew it; none of its tasks is retried then.
    pub(super) withdrawn: bool,
    /// Claim under which tasks are sent; `None` until the release.
    pub(super) release: Option<ReleaseOrder>,
    /// Set while a takeover is in progress.
    pub(super) collection: Option<Collection>,
    pub(super) tasks: Vec<TaskRecord>,
    /// Number of tasks that have not ended.
    pub(super) open_tasks: usize,
}

impl JobRecord {
    /// Id of the latest attempt of a task.
    pub(super) fn attempt(&self, task: TaskIndex) -> AttemptId {
        let epoch = self.release.as_ref().map_or(0, |release| release.epoch);
        let attempt_number =
            self.tasks.get(task as usize).map_or(0, |record| record.attempt_number);
        attempt_id(epoch, attempt_number)
    }
}

/// Submissions in dispatch, by key.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskTable {
    pub(super) jobs: IndexMap<JobKey, JobRecord>,
}

impl TaskTable {
    pub(super) fn record(&self, key: &TaskKey) -> Option<&TaskRecord> {
        self.jobs.get(&key.job)?.tasks.get(key.task as usize)
    }

    pub(super) fn record_mut(&mut self, key: &TaskKey) -> Option<&mut TaskRecord> {
        self.jobs.get_mut(&key.job)?.tasks.get_mut(key.task as usize)
    }

    pub(super) fn attempt(&self, key: &TaskKey) -> AttemptId {
        self.jobs.get(&key.job).map_or(0, |job| job.attempt(key.task))
    }

    pub(super) fn query(&self, key: &TaskKey) -> TaskQuery {
        TaskQuery { key: key.clone(), attempt: self.attempt(key) }
    }

    /// Keys of the tasks of `job` whose phase matches.
    pub(super) fn keys_where(
        &self,
        job: &JobKey,
        matches_phase: impl Fn(&TaskPhase) -> bool,
    ) -> Vec<TaskKey> {
        let records = self.jobs.get(job).into_iter().flat_map(|job| job.tasks.iter().enumerate());
        let matching = records.filter(|(_, record)| matches_phase(&record.phase));
        matching.map(|(task, _)| TaskKey { job: job.clone(), task: task as TaskIndex }).collect()
    }

    /// Keys of all tasks whose phase matches.
    pub(super) fn all_where(&self, matches_phase: impl Fn(&TaskPhase) -> bool) -> Vec<TaskKey> {
        self.jobs.keys().flat_map(|job| self.keys_where(job, &matches_phase)).collect()
    }
}
