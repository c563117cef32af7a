//! Owns the submissions that dispatch works on and the phase of each task.
//!
//! Invariant: a task is at one worker at most, and its attempt number grows
//! each time it is sent.

use std::time::Instant;

use indexmap::IndexMap;
use model::{
    AdmitTask, AttemptId, Incarnation, JobKey, ReleaseOrder, ServiceId, TaskIndex, TaskKey,
    TaskQuestion, WorkerId, attempt_id,
};

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum TaskPhase {
    /// Admitted; its submission is not claimed yet.
    Held,
    /// Its submission is taken over; agents are being asked.
    Collecting,
    /// Waits in the fair queue.
    Queued,
    /// Waits until its backoff is over.
    Delayed,
    /// Sent to a worker; a call is open.
    Sent { worker: WorkerId, incarnation: Incarnation },
    /// Sent to a worker with which contact was lost.
    InDoubt { worker: WorkerId, incarnation: Incarnation },
    /// Ended.
    Done,
}

impl TaskPhase {
    /// The worker that may have started the task.
    pub(super) fn worker(&self) -> Option<&WorkerId> {
        match self {
            TaskPhase::Sent { worker, .. } | TaskPhase::InDoubt { worker, .. } => Some(worker),
            _ => None,
        }
    }

    /// Whether the task has surely not been sent.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self, TaskPhase::Held | TaskPhase::Queued | TaskPhase::Delayed)
    }
}

#[derive(Debug, Clone)]
pub(super) struct TaskSlot {
    pub(super) task: AdmitTask,
    pub(super) phase: TaskPhase,
    pub(super) number: u32,
    pub(super) retries: u32,
    /// Whether an earlier try may have run, although the task waits again.
    pub(super) may_have_run: bool,
    pub(super) sent_at: Option<Instant>,
}

/// What is still to be heard before a taken-over submission goes on.
#[derive(Debug, Clone)]
pub(super) struct Collection {
    /// Agents that have not answered, by the incarnation that must.
    pub(super) unheard: IndexMap<WorkerId, Incarnation>,
    pub(super) memory_lost: bool,
}

#[derive(Debug, Clone)]
pub(super) struct JobSlot {
    pub(super) service: ServiceId,
    pub(super) deadline: Instant,
    pub(super) idempotent: bool,
    pub(super) withdrawn: bool,
    pub(super) order: Option<ReleaseOrder>,
    pub(super) collection: Option<Collection>,
    pub(super) tasks: Vec<TaskSlot>,
    pub(super) open: usize,
}

impl JobSlot {
    /// The attempt under which a task was last sent.
    pub(super) fn attempt(&self, task: TaskIndex) -> AttemptId {
        let epoch = self.order.as_ref().map_or(0, |order| order.epoch);
        let number = self.tasks.get(task as usize).map_or(0, |slot| slot.number);
        attempt_id(epoch, number)
    }
}

/// Submissions by key.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskTable {
    pub(super) jobs: IndexMap<JobKey, JobSlot>,
}

impl TaskTable {
    pub(super) fn slot(&self, key: &TaskKey) -> Option<&TaskSlot> {
        self.jobs.get(&key.job)?.tasks.get(key.task as usize)
    }

    pub(super) fn slot_mut(&mut self, key: &TaskKey) -> Option<&mut TaskSlot> {
        self.jobs.get_mut(&key.job)?.tasks.get_mut(key.task as usize)
    }

    pub(super) fn attempt(&self, key: &TaskKey) -> AttemptId {
        self.jobs.get(&key.job).map_or(0, |job| job.attempt(key.task))
    }

    pub(super) fn question(&self, key: &TaskKey) -> TaskQuestion {
        TaskQuestion { key: key.clone(), attempt: self.attempt(key) }
    }

    /// Keys of the tasks of `job` for which `wanted` holds.
    pub(super) fn keys_where(
        &self,
        job: &JobKey,
        wanted: impl Fn(&TaskPhase) -> bool,
    ) -> Vec<TaskKey> {
        let slots = self.jobs.get(job).into_iter().flat_map(|job| job.tasks.iter().enumerate());
        let chosen = slots.filter(|(_, slot)| wanted(&slot.phase));
        chosen.map(|(task, _)| TaskKey { job: job.clone(), task: task as TaskIndex }).collect()
    }

    /// Keys of all tasks for which `wanted` holds.
    pub(super) fn all_where(&self, wanted: impl Fn(&TaskPhase) -> bool) -> Vec<TaskKey> {
        self.jobs.keys().flat_map(|job| self.keys_where(job, &wanted)).collect()
    }
}
