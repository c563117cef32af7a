//! Placement of tasks from the fair queue at workers.

use std::time::Instant;

use model::{
    MessageKind, ServiceId, StartOrder, TaskEvent, TaskKey, WorkerId, WorkerSize, attempt_id,
};

use super::super::fair_queue::QueuedTask;
use super::super::placement::{Candidate, Placement};
use super::super::task_table::TaskPhase;
use super::super::worker_table::WorkerOffer;
use super::{DispatchStep, Dispatcher};

/// Maximum number of tasks that one pass may defer and return to the queue.
const MAX_DEFERRED_TASKS: usize = 64;

impl Dispatcher {
    pub(super) fn place_all(&mut self, now: Instant) -> Vec<DispatchStep> {
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        services.iter().flat_map(|service| self.place(now, service)).collect()
    }

    /// Places waiting tasks of one service in fair order. Stops when no
    /// candidate has a free slot for a task that can't be placed, or when too
    /// many tasks are deferred.
    pub(super) fn place(&mut self, now: Instant, service: &ServiceId) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        if self.queues.get(service).is_none_or(|queue| queue.is_empty()) {
            return steps;
        }
        let mut offers = self.workers.offers(now, service, &self.times, &self.health);
        let mean_us = self.times.base_us(service, None);
        let mut deferred = Vec::new();
        while deferred.len() < MAX_DEFERRED_TASKS {
            let Some(queued) = self.queues.get_mut(service).and_then(|queue| queue.pop()) else {
                break;
            };
            match self.choose(now, &queued, &offers, mean_us) {
                Placement::At(position) => {
                    steps.extend(self.send(now, &queued.key, &offers[position]));
                    offers[position].candidate.load += 1;
                    offers[position].candidate.own += 1;
                    self.drop_if_probing(now, &mut offers, position);
                }
                Placement::WaitFor(position) => {
                    offers[position].candidate.load += 1;
                    deferred.push(queued);
                }
                Placement::Unplaced => {
                    deferred.push(queued);
                    if !offers.iter().any(|offer| offer.candidate.has_free_slot()) {
                        break;
                    }
                }
            }
        }
        self.put_back(service, deferred);
        steps
    }

    fn put_back(&mut self, service: &ServiceId, deferred: Vec<QueuedTask>) {
        let Some(queue) = self.queues.get_mut(service) else { return };
        for queued in deferred.into_iter().rev() {
            queue.put_back(queued);
        }
        queue.prune();
    }

    /// Removes the offer of a worker whose probe was just sent: a probe is one
    /// task only.
    fn drop_if_probing(&self, now: Instant, offers: &mut Vec<WorkerOffer>, position: usize) {
        if !self.health.accepts_work(now, &offers[position].worker) {
            offers.remove(position);
        }
    }

    /// Chooses among the offers. Without a lease, only idempotent tasks are placed.
    fn choose(
        &mut self,
        now: Instant,
        queued: &QueuedTask,
        offers: &[WorkerOffer],
        mean_us: f64,
    ) -> Placement {
        let Some(job) = self.tasks.jobs.get(&queued.key.job) else { return Placement::Unplaced };
        if !job.idempotent && !self.has_lease(now) {
            return Placement::Unplaced;
        }
        let Some(record) = job.tasks.get(queued.key.task as usize) else {
            return Placement::Unplaced;
        };
        let size = record.task.size;
        let typical_us = self.times.typical_us(&job.service, record.task.declared);
        let fitting = self.fitting(offers, &size);
        let candidates: Vec<Candidate> =
            fitting.iter().map(|position| offers[*position].candidate).collect();
        match self.chooser.choose(&candidates, typical_us, mean_us) {
            Placement::At(choice) => Placement::At(fitting[choice]),
            Placement::WaitFor(choice) => Placement::WaitFor(fitting[choice]),
            Placement::Unplaced => Placement::Unplaced,
        }
    }

    /// Positions of the offers whose worker has capacity for a task of this
    /// size.
    fn fitting(&self, offers: &[WorkerOffer], size: &WorkerSize) -> Vec<usize> {
        let fits = |offer: &WorkerOffer| self.workers.has_capacity_for(&offer.worker, size);
        (0..offers.len()).filter(|position| fits(&offers[*position])).collect()
    }

    fn send(&mut self, now: Instant, key: &TaskKey, offer: &WorkerOffer) -> Vec<DispatchStep> {
        let Some(job) = self.tasks.jobs.get_mut(&key.job) else { return Vec::new() };
        let Some(release) = job.release.clone() else { return Vec::new() };
        let Some(record) = job.tasks.get_mut(key.task as usize) else { return Vec::new() };
        record.attempt_number += 1;
        record.sent_at = Some(now);
        record.phase =
            TaskPhase::Sent { worker: offer.worker.clone(), incarnation: offer.incarnation };
        let attempt = attempt_id(release.epoch, record.attempt_number);
        let order = StartOrder {
            key: key.clone(),
            attempt,
            owner: release.owner,
            service: job.service.clone(),
            idempotent: job.idempotent,
            remaining_ms: job.deadline.saturating_duration_since(now).as_millis() as u64,
            payload: record.task.payload.clone(),
        };
        let kind = if record.attempt_number > 1 { MessageKind::Retry } else { MessageKind::Useful };
        let size = record.task.size;
        let service = job.service.clone();
        self.workers.add_task(&offer.worker, &service, &size);
        self.sent_steps(key, &offer.worker, order, kind)
    }

    fn sent_steps(
        &mut self,
        key: &TaskKey,
        worker: &WorkerId,
        order: StartOrder,
        kind: MessageKind,
    ) -> Vec<DispatchStep> {
        let kind = if self.health.on_task_sent(worker) { MessageKind::Probe } else { kind };
        let event = TaskEvent::Placed { worker: worker.clone(), attempt: order.attempt };
        vec![
            DispatchStep::Start { worker: worker.clone(), order: Box::new(order) },
            DispatchStep::Count(kind),
            DispatchStep::TaskEvent { key: key.clone(), event },
        ]
    }
}
