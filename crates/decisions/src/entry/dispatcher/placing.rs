//! Moving tasks from the fair queue to workers.

use std::time::Instant;

use model::{
    MessageKind, ServiceId, StartOrder, TaskKey, TaskNote, WorkerId, WorkerSize, attempt_id,
};

use super::super::fair_queue::QueuedTask;
use super::super::placement::{Candidate, Placement};
use super::super::task_table::TaskPhase;
use super::super::worker_table::Offer;
use super::{DispatchStep, Dispatcher};

/// Most tasks that are looked at and put back in one pass.
const MOST_HELD_BACK: usize = 64;

impl Dispatcher {
    pub(super) fn place_all(&mut self, now: Instant) -> Vec<DispatchStep> {
        let services: Vec<ServiceId> = self.queues.keys().cloned().collect();
        services.iter().flat_map(|service| self.place(now, service)).collect()
    }

    /// Places waiting tasks of one service, in fair order, until no candidate
    /// has room or too many have to wait for a better one.
    pub(super) fn place(&mut self, now: Instant, service: &ServiceId) -> Vec<DispatchStep> {
        let mut steps = Vec::new();
        if self.queues.get(service).is_none_or(|queue| queue.is_empty()) {
            return steps;
        }
        let mut offers = self.workers.offers(now, service, &self.times, &self.health);
        let mean_us = self.times.base_us(service, None);
        let mut held_back = Vec::new();
        while held_back.len() < MOST_HELD_BACK {
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
                Placement::HoldFor(position) => {
                    offers[position].candidate.load += 1;
                    held_back.push(queued);
                }
                Placement::Nowhere => {
                    held_back.push(queued);
                    if !offers.iter().any(|offer| offer.candidate.has_free_slot()) {
                        break;
                    }
                }
            }
        }
        self.put_back(service, held_back);
        steps
    }

    fn put_back(&mut self, service: &ServiceId, held_back: Vec<QueuedTask>) {
        let Some(queue) = self.queues.get_mut(service) else { return };
        for queued in held_back.into_iter().rev() {
            queue.put_back(queued);
        }
        queue.prune();
    }

    /// A worker on probation gets one task only.
    fn drop_if_probing(&self, now: Instant, offers: &mut Vec<Offer>, position: usize) {
        if !self.health.takes_work(now, &offers[position].worker) {
            offers.remove(position);
        }
    }

    fn choose(
        &mut self,
        now: Instant,
        queued: &QueuedTask,
        offers: &[Offer],
        mean_us: f64,
    ) -> Placement {
        let Some(job) = self.tasks.jobs.get(&queued.key.job) else { return Placement::Nowhere };
        if !job.idempotent && !self.has_lease(now) {
            return Placement::Nowhere;
        }
        let Some(slot) = job.tasks.get(queued.key.task as usize) else { return Placement::Nowhere };
        let size = slot.task.size;
        let typical_us = self.times.typical_us(&job.service, slot.task.declared);
        let fitting = self.fitting(offers, &size);
        let candidates: Vec<Candidate> =
            fitting.iter().map(|position| offers[*position].candidate).collect();
        match self.chooser.choose(&candidates, typical_us, mean_us) {
            Placement::At(choice) => Placement::At(fitting[choice]),
            Placement::HoldFor(choice) => Placement::HoldFor(fitting[choice]),
            Placement::Nowhere => Placement::Nowhere,
        }
    }

    /// Positions of the offers whose worker has room for a task of this size.
    fn fitting(&self, offers: &[Offer], size: &WorkerSize) -> Vec<usize> {
        let fits = |offer: &Offer| self.workers.has_room_for(&offer.worker, size);
        (0..offers.len()).filter(|position| fits(&offers[*position])).collect()
    }

    fn send(&mut self, now: Instant, key: &TaskKey, offer: &Offer) -> Vec<DispatchStep> {
        let Some(job) = self.tasks.jobs.get_mut(&key.job) else { return Vec::new() };
        let Some(release) = job.order.clone() else { return Vec::new() };
        let Some(slot) = job.tasks.get_mut(key.task as usize) else { return Vec::new() };
        slot.number += 1;
        slot.sent_at = Some(now);
        slot.phase =
            TaskPhase::Sent { worker: offer.worker.clone(), incarnation: offer.incarnation };
        let attempt = attempt_id(release.epoch, slot.number);
        let order = StartOrder {
            key: key.clone(),
            attempt,
            owner: release.owner,
            service: job.service.clone(),
            idempotent: job.idempotent,
            left_ms: job.deadline.saturating_duration_since(now).as_millis() as u64,
            payload: slot.task.payload.clone(),
        };
        let kind = if slot.number > 1 { MessageKind::Retry } else { MessageKind::Useful };
        let size = slot.task.size;
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
        let kind = if self.health.on_placed(worker) { MessageKind::Probe } else { kind };
        let note = TaskNote::Placed { worker: worker.clone(), attempt: order.attempt };
        vec![
            DispatchStep::Start { worker: worker.clone(), order: Box::new(order) },
            DispatchStep::Count(kind),
            DispatchStep::Note { key: key.clone(), note },
        ]
    }
}
