//! Time-driven work of the dispatcher: deadlines, backoffs, probes, and recalls of
//! tasks that wait at a worker behind a straggler (a task that runs much longer
//! than expected); and cancellation.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{ErrorKind, JobKey, MessageKind, RecallOrder, ServiceId, TaskKey, TaskQuery, WorkerId};

use super::super::task_table::TaskPhase;
use super::{DispatchStep, Dispatcher};

/// Interval of the search for tasks behind stragglers.
const STRAGGLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the deadline of a task for its worker's own report to arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(30);
/// Multiple of its expected run time after which a sent task counts as a
/// straggler.
const STRAGGLER_FACTOR: f64 = 3.0;

impl Dispatcher {
    /// Handles expired deadlines, ended backoffs, due probes and tasks behind
    /// stragglers.
    pub fn on_tick(&mut self, now: Instant) -> Vec<DispatchStep> {
        let mut steps = self.expire(now);
        let requeued = self.requeue_delayed(now);
        let check_due = self.next_tick.is_none_or(|due| due <= now);
        if check_due {
            steps.extend(self.recall_behind_stragglers(now));
        }
        if requeued || check_due {
            steps.extend(self.place_all(now));
        }
        steps
    }

    /// Sets the time of the next [`Dispatcher::on_tick`]; must be called after
    /// each input.
    pub fn plan_tick(&mut self, now: Instant) {
        let deadline = self.deadlines.first().map(|(at, _)| *at + DEADLINE_GRACE);
        let delayed = self.delayed.first().map(|(at, _)| *at);
        let probe = self.health.next_probe();
        let busy = !self.tasks.jobs.is_empty();
        let straggler_check = busy.then(|| now + STRAGGLER_CHECK_INTERVAL);
        let pending = [deadline, delayed, straggler_check].into_iter().flatten();
        let probe = probe.filter(|at| busy && *at > now);
        self.next_tick = pending.chain(probe).min();
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

    /// Ends the tasks of a submission whose deadline has passed.
    fn expire_job(&mut self, job: &JobKey) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        for key in self.tasks.keys_where(job, |phase| *phase != TaskPhase::Done) {
            let waiting = self.tasks.record(&key).is_some_and(|record| record.phase.is_waiting());
            self.cancel_backoff(&key);
            if waiting {
                let detail = "the deadline passed before the task could start";
                steps.extend(self.end_not_started(&key, ErrorKind::ExpiredBeforeStart, detail));
            } else {
                steps.extend(self.end_unknown(&key, "the deadline passed"));
            }
        }
        steps
    }

    fn cancel_backoff(&mut self, key: &TaskKey) {
        self.delayed.retain(|(_, delayed)| delayed != key);
    }

    /// Queues the tasks whose backoff has ended; returns whether there were
    /// any.
    fn requeue_delayed(&mut self, now: Instant) -> bool {
        let mut requeued = false;
        while let Some((due, key)) = self.delayed.first().cloned() {
            if due > now {
                break;
            }
            self.delayed.remove(&(due, key.clone()));
            let still_delayed =
                self.tasks.record(&key).is_some_and(|s| s.phase == TaskPhase::Delayed);
            if still_delayed {
                self.enqueue(&key);
                requeued = true;
            }
        }
        requeued
    }

    /// Recalls tasks that wait at a worker behind a straggler while other
    /// workers have free slots. Running tasks stay where they are.
    fn recall_behind_stragglers(&mut self, now: Instant) -> Vec<DispatchStep> {
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
                let queries =
                    self.tasks_behind_straggler(now, &service, &offer.worker, excess.min(free));
                free -= queries.len();
                steps.extend(recall(&offer.worker, queries, false));
            }
        }
        steps
    }

    /// The newest tasks sent to a worker whose oldest one has been out for much
    /// longer than expected; at most `max_tasks`.
    fn tasks_behind_straggler(
        &self,
        now: Instant,
        service: &ServiceId,
        worker: &WorkerId,
        max_tasks: usize,
    ) -> Vec<TaskQuery> {
        let keys = self
            .tasks
            .all_where(|phase| matches!(phase, TaskPhase::Sent { worker: at, .. } if at == worker));
        let sent_at = |key: &TaskKey| self.tasks.record(key).and_then(|record| record.sent_at);
        let mut sent: Vec<(Instant, TaskKey)> =
            keys.into_iter().filter_map(|key| Some((sent_at(&key)?, key))).collect();
        sent.sort_unstable();
        let limit_us = self.times.base_us(service, None) * STRAGGLER_FACTOR;
        let limit = Duration::from_micros(limit_us as u64);
        let has_straggler =
            sent.first().is_some_and(|(at, _)| now.saturating_duration_since(*at) > limit);
        if !has_straggler {
            return Vec::new();
        }
        sent.iter().rev().take(max_tasks).map(|(_, key)| self.tasks.query(key)).collect()
    }

    /// Withdraws a submission: ends its waiting tasks, and recalls or stops the
    /// sent ones with one message for each worker.
    pub fn on_withdraw(&mut self, key: &JobKey) -> Vec<DispatchStep> {
        let Some(job) = self.tasks.jobs.get_mut(key) else { return Vec::new() };
        job.withdrawn = true;
        let mut by_worker: IndexMap<WorkerId, Vec<TaskQuery>> = IndexMap::new();
        for task in self.tasks.keys_where(key, |phase| phase.worker().is_some()) {
            let Some(record) = self.tasks.record(&task) else { continue };
            let Some(worker) = record.phase.worker().cloned() else { continue };
            by_worker.entry(worker).or_default().push(self.tasks.query(&task));
        }
        let mut steps = Vec::new();
        for task in self.tasks.keys_where(key, TaskPhase::is_waiting) {
            self.cancel_backoff(&task);
            let detail = "cancelled before it started";
            steps.extend(self.end_not_started(&task, ErrorKind::CancelledBeforeStart, detail));
        }
        for (worker, queries) in by_worker {
            steps.extend(recall(&worker, queries, true));
        }
        steps
    }
}

fn recall(worker: &WorkerId, queries: Vec<TaskQuery>, stop_running: bool) -> Vec<DispatchStep> {
    if queries.is_empty() {
        return Vec::new();
    }
    let order = RecallOrder { queries, stop_running };
    vec![
        DispatchStep::Count(MessageKind::Question),
        DispatchStep::Recall { worker: worker.clone(), order },
    ]
}
