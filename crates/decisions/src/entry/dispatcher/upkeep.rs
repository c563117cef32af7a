//! What time alone brings: deadlines, backoffs that are over, probes that are
//! due, work stuck behind stragglers; and cancellation.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    ErrorKind, JobKey, MessageKind, RecallOrder, ServiceId, TaskKey, TaskQuestion, WorkerId,
};

use super::super::task_table::TaskPhase;
use super::{DispatchStep, Dispatcher};

/// How often work that is stuck behind stragglers is looked for.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time given to a worker's own word on a task whose deadline has passed.
const DEADLINE_GRACE: Duration = Duration::from_millis(30);
/// A task that has been away for so many times its expected run time is a
/// straggler.
const STRAGGLER_FACTOR: f64 = 3.0;

impl Dispatcher {
    /// Deals with everything that time alone brings.
    pub fn on_tick(&mut self, now: Instant) -> Vec<DispatchStep> {
        let mut steps = self.expire(now);
        let due_again = self.wake_delayed(now);
        let upkeep_due = self.next_upkeep.is_none_or(|due| due <= now);
        if upkeep_due {
            steps.extend(self.recall_stuck(now));
        }
        if due_again || upkeep_due {
            steps.extend(self.place_all(now));
        }
        steps
    }

    /// Sets when time alone next matters; called after every step.
    pub fn plan_upkeep(&mut self, now: Instant) {
        let deadline = self.deadlines.first().map(|(at, _)| *at + DEADLINE_GRACE);
        let delayed = self.delayed.first().map(|(at, _)| *at);
        let probe = self.health.next_probe();
        let busy = !self.tasks.jobs.is_empty();
        let upkeep = busy.then(|| now + UPKEEP_INTERVAL);
        let pending = [deadline, delayed, upkeep].into_iter().flatten();
        let probe = probe.filter(|at| busy && *at > now);
        self.next_upkeep = pending.chain(probe).min();
    }

    fn expire(&mut self, now: Instant) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        while let Some((deadline, job)) = self.deadlines.first().cloned() {
            if deadline + DEADLINE_GRACE > now {
                break;
            }
            self.deadlines.remove(&(deadline, job.clone()));
            steps.extend(self.expire_job(&job));
        }
        steps
    }

    fn expire_job(&mut self, job: &JobKey) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        for key in self.tasks.keys_where(job, |phase| *phase != TaskPhase::Done) {
            let waiting = self.tasks.slot(&key).is_some_and(|slot| slot.phase.is_waiting());
            self.forget_delay(&key);
            if waiting {
                let detail = "the deadline passed before the task could start";
                steps.extend(self.end_not_started(&key, ErrorKind::ExpiredBeforeStart, detail));
            } else {
                steps.extend(self.end_unknown(&key, "the deadline passed"));
            }
        }
        steps
    }

    fn forget_delay(&mut self, key: &TaskKey) {
        self.delayed.retain(|(_, delayed)| delayed != key);
    }

    /// Puts tasks whose backoff is over into the queue again.
    fn wake_delayed(&mut self, now: Instant) -> bool {
        let mut woke = false;
        while let Some((due, key)) = self.delayed.first().cloned() {
            if due > now {
                break;
            }
            self.delayed.remove(&(due, key.clone()));
            let still = self.tasks.slot(&key).is_some_and(|s| s.phase == TaskPhase::Delayed);
            if still {
                self.enqueue(&key);
                woke = true;
            }
        }
        woke
    }

    /// Calls back work that waits at a worker behind a straggler while other
    /// workers have free slots. What runs stays where it is.
    fn recall_stuck(&mut self, now: Instant) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        for service in services {
            let offers = self.workers.offers(now, &service, &self.times, &self.health);
            let mut free: usize = offers
                .iter()
                .map(|o| o.candidate.slots.saturating_sub(o.candidate.load) as usize)
                .sum();
            for offer in offers.iter().filter(|offer| offer.candidate.own > offer.candidate.slots) {
                let excess = (offer.candidate.own - offer.candidate.slots) as usize;
                let questions = self.stuck_at(now, &service, &offer.worker, excess.min(free));
                free -= questions.len();
                steps.extend(recall(&offer.worker, questions, false));
            }
        }
        steps
    }

    /// The newest tasks sent to a worker where the oldest has been away for
    /// much longer than expected.
    fn stuck_at(
        &self,
        now: Instant,
        service: &ServiceId,
        worker: &WorkerId,
        most: usize,
    ) -> Vec<TaskQuestion> {
        let keys = self
            .tasks
            .all_where(|phase| matches!(phase, TaskPhase::Sent { worker: at, .. } if at == worker));
        let sent_at = |key: &TaskKey| self.tasks.slot(key).and_then(|slot| slot.sent_at);
        let mut sent: Vec<(Instant, TaskKey)> =
            keys.into_iter().filter_map(|key| Some((sent_at(&key)?, key))).collect();
        sent.sort_unstable();
        let limit_us = self.times.base_us(service, None) * STRAGGLER_FACTOR;
        let limit = Duration::from_micros(limit_us as u64);
        let stuck = sent.first().is_some_and(|(at, _)| now.saturating_duration_since(*at) > limit);
        if !stuck {
            return Vec::new();
        }
        sent.iter().rev().take(most).map(|(_, key)| self.tasks.question(key)).collect()
    }

    /// Takes back every task of the submission that has not started, and stops
    /// those that run, with one message for each worker.
    pub fn on_withdraw(&mut self, key: &JobKey) -> Vec<DispatchStep> {
        let Some(job) = self.tasks.jobs.get_mut(key) else { return Vec::new() };
        job.withdrawn = true;
        let mut by_worker: IndexMap<WorkerId, Vec<TaskQuestion>> = IndexMap::new();
        for task in self.tasks.keys_where(key, |phase| phase.worker().is_some()) {
            let Some(slot) = self.tasks.slot(&task) else { continue };
            let Some(worker) = slot.phase.worker().cloned() else { continue };
            by_worker.entry(worker).or_default().push(self.tasks.question(&task));
        }
        let mut steps = Vec::new();
        for task in self.tasks.keys_where(key, TaskPhase::is_waiting) {
            self.forget_delay(&task);
            let detail = "cancelled before it started";
            steps.extend(self.end_not_started(&task, ErrorKind::CancelledBeforeStart, detail));
        }
        for (worker, questions) in by_worker {
            steps.extend(recall(&worker, questions, true));
        }
        steps
    }
}

fn recall(
    worker: &WorkerId,
    questions: Vec<TaskQuestion>,
    stop_running: bool,
) -> Vec<DispatchStep> {
    if questions.is_empty() {
        return Vec::new();
    }
    let order = RecallOrder { questions, stop_running };
    vec![
        DispatchStep::Count(MessageKind::Question),
        DispatchStep::Recall { worker: worker.clone(), order },
    ]
}
