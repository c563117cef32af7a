//! Takeover of a submission from a fenced entry: determines which tasks its
//! previous owner had started before the submission continues.
//!
//! Every agent that was a member at the time of the claim is queried (the
//! collection). A task is queued again only if all of them confirm that they did
//! not start it.

use std::time::Instant;

use model::{
    Incarnation, JobKey, MessageKind, RecallAnswer, RecallOrder, RecallStatus, TaskEnd, TaskKey,
    TaskOutcome, TaskQuery, TaskStatus, WorkerId,
};

use super::super::task_table::{Collection, TaskPhase};
use super::{DispatchStep, Dispatcher};

impl Dispatcher {
    /// Queries every worker about every task. Each "not started" reply bars all
    /// attempts of earlier owners.
    pub(super) fn start_collection(
        &mut self,
        now: Instant,
        key: &JobKey,
        mut collection: Collection,
    ) -> Vec<DispatchStep> {
        // A worker that is not in the table can't be queried.
        let listed = collection.pending.len();
        collection.pending.retain(|worker, _| self.workers.get(worker).is_some());
        collection.memory_lost |= collection.pending.len() < listed;
        let pending: Vec<WorkerId> = collection.pending.keys().cloned().collect();
        let Some(job) = self.tasks.jobs.get_mut(key) else { return Vec::new() };
        job.collection = Some(collection);
        for record in &mut job.tasks {
            record.phase = TaskPhase::Collecting;
        }
        self.unreleased -= job.tasks.len();
        let mut steps = Vec::new();
        for worker in &pending {
            steps.extend(self.query_worker(key, worker));
        }
        if pending.is_empty() {
            steps.extend(self.finish_collection(now, key));
        }
        steps
    }

    fn query_worker(&self, job: &JobKey, worker: &WorkerId) -> Vec<DispatchStep> {
        let collecting = self.tasks.keys_where(job, |phase| *phase == TaskPhase::Collecting);
        let queries: Vec<TaskQuery> = collecting.iter().map(|key| self.tasks.query(key)).collect();
        if queries.is_empty() {
            return Vec::new();
        }
        let order = RecallOrder { queries, stop_running: false };
        vec![
            DispatchStep::Count(MessageKind::Question),
            DispatchStep::Recall { worker: worker.clone(), order },
        ]
    }

    /// Repeats the outstanding queries to a worker that is in contact again.
    pub(super) fn retry_collections(&mut self, worker: &WorkerId) -> Vec<DispatchStep> {
        let jobs = self.jobs_collecting_from(worker);
        jobs.iter().flat_map(|job| self.query_worker(job, worker)).collect()
    }

    fn jobs_collecting_from(&self, worker: &WorkerId) -> Vec<JobKey> {
        let waiting = self.tasks.jobs.iter().filter(|(_, job)| {
            job.collection
                .as_ref()
                .is_some_and(|collection| collection.pending.contains_key(worker))
        });
        waiting.map(|(key, _)| key.clone()).collect()
    }

    /// Handles an unanswered recall; it is repeated after the worker's next
    /// view.
    pub(super) fn on_recall_lost(
        &mut self,
        _worker: &WorkerId,
        queries: &[TaskQuery],
    ) -> Vec<DispatchStep> {
        vec![DispatchStep::Count(MessageKind::Question); usize::from(!queries.is_empty())]
    }

    pub(super) fn apply_recall_reply(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        answer: &RecallAnswer,
    ) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        for status in &answer.statuses {
            steps.extend(self.apply_status(worker, answer.incarnation, status));
        }
        let Some(first) = answer.statuses.first() else { return steps };
        let job = &first.query.key.job;
        steps.extend(self.on_collection_reply(now, job, worker, Some(answer.incarnation)));
        steps
    }

    /// Applies the status of one task at one worker. Only started tasks are
    /// acted on here: "not started" counts once every worker has confirmed it.
    fn apply_status(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        status: &RecallStatus,
    ) -> Vec<DispatchStep> {
        let key = &status.query.key;
        let collecting = self.tasks.record(key).is_some_and(|s| s.phase == TaskPhase::Collecting);
        if !collecting {
            return Vec::new();
        }
        match &status.status {
            TaskStatus::NotStarted { .. } | TaskStatus::Queued => Vec::new(),
            TaskStatus::Running => self.attach_to(key, worker, incarnation),
            TaskStatus::Ended { outcome: TaskOutcome::Unknown { reason } } => {
                self.end_unknown(key, reason)
            }
            TaskStatus::Ended { outcome } => {
                let end = TaskEnd::Ran { worker: worker.clone(), outcome: outcome.clone() };
                self.end(key, end)
            }
        }
    }

    /// Queries the end of a running task. An agent that restarted after its
    /// reply no longer has any record of the task.
    fn attach_to(
        &mut self,
        key: &TaskKey,
        worker: &WorkerId,
        incarnation: Incarnation,
    ) -> Vec<DispatchStep> {
        let view = self.workers.get(worker).and_then(|state| state.view.as_ref());
        if view.is_none_or(|view| view.incarnation != incarnation) {
            return self.end_unknown(key, "the worker's agent was restarted");
        }
        let Some(job) = self.tasks.jobs.get_mut(&key.job) else { return Vec::new() };
        let service = job.service.clone();
        let Some(record) = job.tasks.get_mut(key.task as usize) else { return Vec::new() };
        record.phase = TaskPhase::Sent { worker: worker.clone(), incarnation };
        let size = record.task.size;
        self.workers.add_task(worker, &service, &size);
        let query = self.tasks.query(key);
        vec![
            DispatchStep::Count(MessageKind::Question),
            DispatchStep::Attach { worker: worker.clone(), query },
        ]
    }

    /// Removes a worker that has replied, or that was removed (`None`), from
    /// the collection. Only the incarnation that may have started tasks can
    /// confirm that it did not.
    fn on_collection_reply(
        &mut self,
        now: Instant,
        job: &JobKey,
        worker: &WorkerId,
        incarnation: Option<Incarnation>,
    ) -> Vec<DispatchStep> {
        let Some(record) = self.tasks.jobs.get_mut(job) else { return Vec::new() };
        let Some(collection) = &mut record.collection else { return Vec::new() };
        let Some(expected) = collection.pending.shift_remove(worker) else { return Vec::new() };
        collection.memory_lost |= incarnation != Some(expected);
        if collection.pending.is_empty() { self.finish_collection(now, job) } else { Vec::new() }
    }

    /// Removes a departed worker from all collections: what it started can no
    /// longer be determined.
    pub(super) fn drop_from_collections(
        &mut self,
        now: Instant,
        worker: &WorkerId,
    ) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        for job in self.jobs_collecting_from(worker) {
            steps.extend(self.on_collection_reply(now, &job, worker, None));
        }
        steps
    }

    /// Ends a collection after every worker has replied or was removed. A task
    /// that none of them started is queued, unless the records of an agent were
    /// lost.
    fn finish_collection(&mut self, now: Instant, job: &JobKey) -> Vec<DispatchStep> {
        let Some(record) = self.tasks.jobs.get_mut(job) else { return Vec::new() };
        let Some(collection) = record.collection.take() else { return Vec::new() };
        let service = record.service.clone();
        let mut steps = Vec::new();
        for key in self.tasks.keys_where(job, |phase| *phase == TaskPhase::Collecting) {
            if collection.memory_lost {
                let reason =
                    "its owner died, and a worker that may have started it lost its records";
                steps.extend(self.end_unknown(&key, reason));
            } else {
                self.enqueue(&key);
            }
        }
        steps.extend(self.place(now, &service));
        steps
    }

    /// Handles the fencing of this entry's incarnation: another entry may take
    /// over claimed submissions, so their outcome is unknown here.
    pub(super) fn abandon_claimed_tasks(&mut self, _now: Instant) -> Vec<DispatchStep> {
        self.lease_until = None;
        let mut steps = Vec::new();
        for key in self.tasks.all_where(|phase| *phase != TaskPhase::Done) {
            // Only single requests of idempotent services run without a claim.
            let claimed = self.tasks.jobs.get(&key.job).is_some_and(|job| !job.idempotent);
            if claimed {
                steps.extend(self.end_unknown(&key, "this entry was fenced"));
            }
        }
        steps
    }
}
