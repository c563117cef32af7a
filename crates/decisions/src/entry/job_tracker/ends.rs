//! Handles the ends of tasks and submissions.

use std::time::{Duration, Instant};

use model::{ErrorKind, Failure, JobAnswer, JobKey, TaskEnd, TaskKey, caller_answer};

use super::answer::{build_answer, describe_end, ran_tasks};
use super::job::{Job, JobPhase};
use super::{FigureEvent, JobTracker, TrackerStep};

/// Time that a record may take, even past the deadline, before callers learn
/// that the outcome is unknown.
const RECORD_GRACE: Duration = Duration::from_millis(250);

impl JobTracker {
    /// Handles the end of a task. The first task that does not complete causes
    /// the rest to be withdrawn.
    pub fn on_task_ended(&mut self, now: Instant, key: &TaskKey, end: TaskEnd) -> Vec<TrackerStep> {
        let Some(job) = self.jobs.get_mut(&key.job) else { return Vec::new() };
        let accepts_ends = job.accepts_ends();
        let Some(slot) = job.ends.get_mut(key.task as usize) else { return Vec::new() };
        if slot.is_some() || !accepts_ends {
            return Vec::new();
        }
        let line = format!("task {} {}", key.task, describe_end(&end));
        let failed = !matches!(&end, TaskEnd::Ran { outcome, .. }
            if matches!(outcome, model::TaskOutcome::Completed { .. }));
        *slot = Some(end);
        job.open_tasks -= 1;
        job.log(now, line);
        let mut steps = Vec::new();
        if failed && job.open_tasks > 0 && !job.has_failed_task {
            job.has_failed_task = true;
            steps.push(TrackerStep::Withdraw { key: key.job.clone() });
        }
        if job.open_tasks == 0 {
            steps.extend(self.on_all_ended(now, &key.job));
        }
        steps
    }

    fn on_all_ended(&mut self, now: Instant, key: &JobKey) -> Vec<TrackerStep> {
        let Some(job) = self.jobs.get(key) else { return Vec::new() };
        match job.phase {
            JobPhase::Running => self.finish(now, key),
            JobPhase::OwnedElsewhere => {
                let detail = "the deadline passed while another entry worked on the submission";
                self.drop_refused(key, Failure::new(ErrorKind::DeadlinePassed, detail))
            }
            _ => Vec::new(),
        }
    }

    /// Records the answer after all tasks have ended, or gives it at once if
    /// the ledger does not track the submission.
    pub(super) fn finish(&mut self, now: Instant, key: &JobKey) -> Vec<TrackerStep> {
        let Some(job) = self.jobs.get_mut(key) else { return Vec::new() };
        let ends: Vec<TaskEnd> = job.ends.iter().flatten().cloned().collect();
        let answer = build_answer(&ends, job.cancelled);
        if job.durable { self.record(now, key, answer) } else { self.end(now, key, answer) }
    }

    /// Requests control to record the answer and sets the timer of the next
    /// attempt.
    pub(super) fn record(
        &mut self,
        now: Instant,
        key: &JobKey,
        answer: JobAnswer,
    ) -> Vec<TrackerStep> {
        let owner = self.owner.clone();
        let Some(job) = self.jobs.get_mut(key) else { return Vec::new() };
        job.log(now, "recording the answer".to_owned());
        let epoch = job.epoch;
        let deadline = job.deadline;
        job.phase = JobPhase::Recording { answer: answer.clone() };
        self.set_timer(deadline.max(now + RECORD_GRACE), key);
        vec![TrackerStep::Record { key: key.clone(), epoch, owner, answer }]
    }

    /// Ends a submission with its final answer and sends that to all waiting
    /// calls.
    pub(super) fn end(
        &mut self,
        now: Instant,
        key: &JobKey,
        answer: JobAnswer,
    ) -> Vec<TrackerStep> {
        let keep = self.limits.keep_ended;
        let Some(job) = self.jobs.get_mut(key) else { return Vec::new() };
        let mut steps = vec![TrackerStep::Figure(figure(now, key, job, &answer))];
        let reply = caller_answer(answer.clone(), job.single);
        let calls = job.take_waiters();
        steps.extend(
            calls.into_iter().map(|call| TrackerStep::Answer { call, answer: reply.clone() }),
        );
        job.phase = JobPhase::Ended { answer };
        if job.durable {
            self.set_timer(now + keep, key);
        } else {
            self.jobs.swap_remove(key);
        }
        steps
    }
}

fn figure(now: Instant, key: &JobKey, job: &Job, answer: &JobAnswer) -> FigureEvent {
    let ends: Vec<TaskEnd> = job.ends.iter().flatten().cloned().collect();
    let (tasks, ideal) = ran_tasks(&ends);
    let failure = match answer {
        JobAnswer::Complete { .. } => None,
        JobAnswer::Failed { failure } => Some(failure.kind),
    };
    let response = now.saturating_duration_since(job.arrived_at);
    let percent = response.as_secs_f64() / ideal.as_secs_f64().max(1e-6) * 100.0;
    let slowdown_percent = (failure.is_none() && tasks > 0).then_some(percent as u64);
    FigureEvent {
        service: job.service.clone(),
        team: key.team.clone(),
        failure,
        tasks,
        slowdown_percent,
    }
}
