//! Finding out what a dead owner had started, before its submission goes on.

use std::time::Instant;

use model::{
    Incarnation, JobKey, MessageKind, RecallAnswer, RecallFate, RecallOrder, TaskEnd, TaskFate,
    TaskKey, TaskOutcome, TaskQuestion, WorkerId,
};

use super::super::task_table::{Collection, TaskPhase};
use super::{DispatchStep, Dispatcher};

impl Dispatcher {
    /// Asks every worker about every task. Each answer "not started" bars all
    /// attempts of earlier owners.
    pub(super) fn start_collection(
        &mut self,
        now: Instant,
        key: &JobKey,
        mut collection: Collection,
    ) -> Vec<DispatchStep> {
        // A worker that is not known here can't be asked.
        let listed = collection.unheard.len();
        collection.unheard.retain(|worker, _| self.workers.get(worker).is_some());
        collection.memory_lost |= collection.unheard.len() < listed;
        let unheard: Vec<WorkerId> = collection.unheard.keys().cloned().collect();
        let Some(job) = self.tasks.jobs.get_mut(key) else { return Vec::new() };
        job.collection = Some(collection);
        for slot in &mut job.tasks {
            slot.phase = TaskPhase::Collecting;
        }
        self.held -= job.tasks.len();
        let mut steps = Vec::new();
        for worker in &unheard {
            steps.extend(self.ask_about(key, worker));
        }
        if unheard.is_empty() {
            steps.extend(self.finish_collection(now, key));
        }
        steps
    }

    fn ask_about(&self, job: &JobKey, worker: &WorkerId) -> Vec<DispatchStep> {
        let open = self.tasks.keys_where(job, |phase| *phase == TaskPhase::Collecting);
        let questions: Vec<TaskQuestion> =
            open.iter().map(|key| self.tasks.question(key)).collect();
        if questions.is_empty() {
            return Vec::new();
        }
        let order = RecallOrder { questions, stop_running: false };
        vec![
            DispatchStep::Count(MessageKind::Question),
            DispatchStep::Recall { worker: worker.clone(), order },
        ]
    }

    /// A worker is heard again: it is asked once more for what it still owes.
    pub(super) fn ask_uncollected(&mut self, worker: &WorkerId) -> Vec<DispatchStep> {
        let owed = self.jobs_waiting_for(worker);
        owed.iter().flat_map(|job| self.ask_about(job, worker)).collect()
    }

    fn jobs_waiting_for(&self, worker: &WorkerId) -> Vec<JobKey> {
        let waiting = self.tasks.jobs.iter().filter(|(_, job)| {
            job.collection
                .as_ref()
                .is_some_and(|collection| collection.unheard.contains_key(worker))
        });
        waiting.map(|(key, _)| key.clone()).collect()
    }

    /// A recall got no answer; it is asked again with the next view.
    pub(super) fn on_recall_lost(
        &mut self,
        _worker: &WorkerId,
        questions: &[TaskQuestion],
    ) -> Vec<DispatchStep> {
        vec![DispatchStep::Count(MessageKind::Question); usize::from(!questions.is_empty())]
    }

    pub(super) fn on_collected(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        answer: &RecallAnswer,
    ) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        for fate in &answer.fates {
            steps.extend(self.take_fate(worker, answer.incarnation, fate));
        }
        let Some(first) = answer.fates.first() else { return steps };
        let job = &first.question.key.job;
        steps.extend(self.heard_from(now, job, worker, Some(answer.incarnation)));
        steps
    }

    /// One task's fate at one worker. Only what started matters here: "not
    /// started" counts once every worker has said so.
    fn take_fate(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        fate: &RecallFate,
    ) -> Vec<DispatchStep> {
        let key = &fate.question.key;
        let collecting = self.tasks.slot(key).is_some_and(|s| s.phase == TaskPhase::Collecting);
        if !collecting {
            return Vec::new();
        }
        match &fate.fate {
            TaskFate::NotStarted { .. } | TaskFate::Queued => Vec::new(),
            TaskFate::Running => self.attach_to(key, worker, incarnation),
            TaskFate::Ended { outcome: TaskOutcome::Unknown { reason } } => {
                self.end_unknown(key, reason)
            }
            TaskFate::Ended { outcome } => {
                let end = TaskEnd::Ran { worker: worker.clone(), outcome: outcome.clone() };
                self.end(key, end)
            }
        }
    }

    /// Waits for the end of a task that runs. An agent that was restarted since
    /// it said so knows nothing of it any more.
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
        let Some(slot) = job.tasks.get_mut(key.task as usize) else { return Vec::new() };
        slot.phase = TaskPhase::Sent { worker: worker.clone(), incarnation };
        let size = slot.task.size;
        self.workers.add_task(worker, &service, &size);
        let question = self.tasks.question(key);
        vec![
            DispatchStep::Count(MessageKind::Question),
            DispatchStep::Attach { worker: worker.clone(), question },
        ]
    }

    /// A worker has answered, or is gone (`None`). Only the incarnation that
    /// may have started tasks can tell that it did not.
    fn heard_from(
        &mut self,
        now: Instant,
        job: &JobKey,
        worker: &WorkerId,
        incarnation: Option<Incarnation>,
    ) -> Vec<DispatchStep> {
        let Some(slot) = self.tasks.jobs.get_mut(job) else { return Vec::new() };
        let Some(collection) = &mut slot.collection else { return Vec::new() };
        let Some(expected) = collection.unheard.shift_remove(worker) else { return Vec::new() };
        collection.memory_lost |= incarnation != Some(expected);
        if collection.unheard.is_empty() { self.finish_collection(now, job) } else { Vec::new() }
    }

    /// A worker is gone before it answered: what it started can't be known.
    pub(super) fn forget_uncollected(
        &mut self,
        now: Instant,
        worker: &WorkerId,
    ) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        for job in self.jobs_waiting_for(worker) {
            steps.extend(self.heard_from(now, &job, worker, None));
        }
        steps
    }

    /// Every worker has answered or is gone. A task that none of them started
    /// goes on, unless a worker's memory was lost on the way.
    fn finish_collection(&mut self, now: Instant, job: &JobKey) -> Vec<DispatchStep> {
        let Some(slot) = self.tasks.jobs.get_mut(job) else { return Vec::new() };
        let Some(collection) = slot.collection.take() else { return Vec::new() };
        let service = slot.service.clone();
        let mut steps = Vec::new();
        for key in self.tasks.keys_where(job, |phase| *phase == TaskPhase::Collecting) {
            if collection.memory_lost {
                let reason = "its owner died, and so did a worker that may have started it";
                steps.extend(self.end_unknown(&key, reason));
            } else {
                self.enqueue(&key);
            }
        }
        steps.extend(self.place(now, &service));
        steps
    }

    /// This entry's incarnation was fenced: whatever was sent may be taken
    /// over by another entry.
    pub(super) fn give_up_all(&mut self, _now: Instant) -> Vec<DispatchStep> {
        self.lease_until = None;
        let mut steps = Vec::new();
        for key in self.tasks.all_where(|phase| *phase != TaskPhase::Done) {
            let claimed = self.tasks.jobs.get(&key.job).is_some_and(|job| !job.idempotent);
            if claimed {
                steps.extend(self.end_unknown(&key, "this entry was fenced"));
            }
        }
        steps
    }
}
