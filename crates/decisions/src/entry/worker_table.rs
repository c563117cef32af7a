//! Owns the state of the workers as seen by one entry: views, contact, load,
//! and the tasks that this entry sent there.
//!
//! Invariants:
//! - a worker without contact or view, or one that is draining or departed, is
//!   never offered for placement;
//! - `own` counts exactly the tasks that were sent and have not ended.

use std::time::Instant;

use indexmap::IndexMap;
use model::{AgentView, Incarnation, MemberRecord, ServiceId, WorkerId, WorkerSize};

use super::placement::Candidate;
use super::run_times::RunTimes;
use super::worker_health::HealthTracker;

/// Tasks that one entry may leave waiting at an agent, for policies that do not
/// queue at the entry.
const MAX_AGENT_QUEUE_TASKS: u32 = 64;

/// Weight of a load report that has just arrived. It is below 1 because the
/// report describes the agent at the time of sending, and other entries act on
/// the same reports.
const FRESH_REPORT_WEIGHT: f64 = 0.3;

#[derive(Debug, Clone, Default)]
struct ServiceUsage {
    /// Tasks that this entry sent.
    own: u32,
    /// Tasks of other entries, by the latest report.
    foreign: u32,
    last_report: Option<Instant>,
}

impl ServiceUsage {
    /// Derives the tasks of other entries from the agent's report of all its tasks.
    fn update_foreign(&mut self, now: Instant, load: u32) {
        self.foreign = load.saturating_sub(self.own);
        self.last_report = Some(now);
    }

    /// Estimates the tasks of other entries at the worker. The weight of the
    /// latest report halves with each mean run time of its age; the rest
    /// assumes that every other entry sends as much as this one.
    fn estimate_foreign(&self, now: Instant, mean_us: f64, entries: u32) -> u32 {
        let age = self
            .last_report
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64() * 1e6);
        let weight = FRESH_REPORT_WEIGHT * 0.5_f64.powf(age / mean_us.max(1.0));
        let assumed = f64::from(self.own * (entries - 1));
        (weight * f64::from(self.foreign) + (1.0 - weight) * assumed).round() as u32
    }
}

#[derive(Debug, Clone)]
pub(super) struct WorkerState {
    pub(super) view: Option<AgentView>,
    /// Whether contact is lost, or no view has arrived yet.
    pub(super) contact_lost: bool,
    /// Whether the worker is no longer a member.
    pub(super) departed: bool,
    usages: IndexMap<ServiceId, ServiceUsage>,
    /// Resources taken by the tasks that this entry sent.
    in_use: WorkerSize,
}

impl WorkerState {
    fn new() -> WorkerState {
        WorkerState {
            view: None,
            contact_lost: true,
            departed: false,
            usages: IndexMap::new(),
            in_use: WorkerSize::default(),
        }
    }

    /// The view, if the worker may be given work.
    fn usable_view(&self) -> Option<&AgentView> {
        let view = self.view.as_ref()?;
        (!self.contact_lost && !self.departed && !view.draining).then_some(view)
    }

    fn slots(&self, service: &ServiceId) -> u32 {
        let rows = self.usable_view().into_iter().flat_map(|view| view.services.iter());
        rows.filter(|row| row.service == *service).map(|row| row.slots).sum()
    }

    fn has_capacity_for(&self, wanted: &WorkerSize) -> bool {
        let Some(view) = self.usable_view() else { return false };
        let after = WorkerSize {
            cores: self.in_use.cores + wanted.cores,
            memory_mb: self.in_use.memory_mb + wanted.memory_mb,
            accelerators: self.in_use.accelerators + wanted.accelerators,
        };
        view.size.fits(&after)
    }

    fn has_tasks(&self) -> bool {
        self.usages.values().any(|usage| usage.own > 0)
    }
}

/// Effect of a new view on the tasks sent to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ViewChange {
    /// The agent process is the same as before.
    Same,
    /// The agent has a new incarnation; the state of the previous one is lost.
    Restarted,
}

/// A worker offered for placement.
#[derive(Debug, Clone)]
pub(super) struct WorkerOffer {
    pub(super) worker: WorkerId,
    pub(super) incarnation: Incarnation,
    pub(super) candidate: Candidate,
}

/// Known workers, by id.
#[derive(Debug, Clone)]
pub(super) struct WorkerTable {
    workers: IndexMap<WorkerId, WorkerState>,
    /// Live entries, this one included; at least 1.
    entries: u32,
}

impl Default for WorkerTable {
    fn default() -> WorkerTable {
        WorkerTable { workers: IndexMap::new(), entries: 1 }
    }
}

impl WorkerTable {
    /// Applies the member list; returns the workers that were removed.
    pub(super) fn set_members(&mut self, agents: &[MemberRecord], entries: u32) -> Vec<WorkerId> {
        self.entries = entries.max(1);
        for agent in agents {
            let state = self.workers.entry(agent.node.clone()).or_insert_with(WorkerState::new);
            state.departed = false;
        }
        for (worker, state) in &mut self.workers {
            state.departed = !agents.iter().any(|agent| agent.node == *worker);
        }
        self.remove_departed()
    }

    /// Removes and returns departed workers with which there is no contact or
    /// which have no task of this entry left.
    pub(super) fn remove_departed(&mut self) -> Vec<WorkerId> {
        let is_removable =
            |state: &WorkerState| state.departed && (state.contact_lost || !state.has_tasks());
        let names: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, s)| is_removable(s))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &names {
            self.workers.swap_remove(name);
        }
        names
    }

    /// Applies a view and marks the worker as in contact.
    pub(super) fn set_view(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        view: AgentView,
    ) -> ViewChange {
        let state = self.workers.entry(worker.clone()).or_insert_with(WorkerState::new);
        state.contact_lost = false;
        for row in &view.services {
            let usage = state.usages.entry(row.service.clone()).or_default();
            usage.update_foreign(now, row.running + row.queued);
        }
        let known = state.view.replace(view).map(|before| before.incarnation);
        let current = state.view.as_ref().map(|view| view.incarnation);
        if known.is_some() && known != current { ViewChange::Restarted } else { ViewChange::Same }
    }

    /// Marks contact with a worker as lost.
    pub(super) fn set_contact_lost(&mut self, worker: &WorkerId) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.contact_lost = true;
        }
    }

    pub(super) fn get(&self, worker: &WorkerId) -> Option<&WorkerState> {
        self.workers.get(worker)
    }

    /// Adds a sent task to the usage of the worker.
    pub(super) fn add_task(&mut self, worker: &WorkerId, service: &ServiceId, size: &WorkerSize) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        state.usages.entry(service.clone()).or_default().own += 1;
        state.in_use.cores += size.cores;
        state.in_use.memory_mb += size.memory_mb;
        state.in_use.accelerators += size.accelerators;
    }

    /// Removes an ended task from the usage of the worker.
    pub(super) fn remove_task(
        &mut self,
        worker: &WorkerId,
        service: &ServiceId,
        size: &WorkerSize,
    ) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        let usage = state.usages.entry(service.clone()).or_default();
        usage.own = usage.own.saturating_sub(1);
        state.in_use.cores = state.in_use.cores.saturating_sub(size.cores);
        state.in_use.memory_mb = state.in_use.memory_mb.saturating_sub(size.memory_mb);
        state.in_use.accelerators = state.in_use.accelerators.saturating_sub(size.accelerators);
    }

    /// Applies the load that a reply carried. The load excludes the task that
    /// the reply ends, so `own` must be reduced first.
    pub(super) fn set_load(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        service: &ServiceId,
        load: u32,
    ) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        state.usages.entry(service.clone()).or_default().update_foreign(now, load);
    }

    /// Workers that may be given tasks of `service` now.
    pub(super) fn offers(
        &self,
        now: Instant,
        service: &ServiceId,
        times: &RunTimes,
        health: &HealthTracker,
    ) -> Vec<WorkerOffer> {
        let open = self
            .workers
            .iter()
            .filter(|(worker, state)| state.slots(service) > 0 && health.accepts_work(now, worker));
        open.filter_map(|(worker, state)| self.offer(now, service, worker, state, times)).collect()
    }

    fn offer(
        &self,
        now: Instant,
        service: &ServiceId,
        worker: &WorkerId,
        state: &WorkerState,
        times: &RunTimes,
    ) -> Option<WorkerOffer> {
        let slots = state.slots(service);
        let usage = state.usages.get(service).cloned().unwrap_or_default();
        let candidate = Candidate {
            slots,
            load: usage.own
                + usage.estimate_foreign(now, times.base_us(service, None), self.entries),
            own: usage.own,
            slowness: times.slowness(service, worker),
            queue_limit: MAX_AGENT_QUEUE_TASKS,
            // One waiting task for each slot keeps the slot busy until the next
            // order arrives.
            prefetch: slots,
            credits: (slots / self.entries).max(1),
        };
        let incarnation = state.view.as_ref()?.incarnation;
        Some(WorkerOffer { worker: worker.clone(), incarnation, candidate })
    }

    pub(super) fn has_capacity_for(&self, worker: &WorkerId, wanted: &WorkerSize) -> bool {
        self.workers.get(worker).is_some_and(|state| state.has_capacity_for(wanted))
    }

    /// Slots of `service` at all workers that may be given work.
    pub(super) fn total_slots(&self, service: &ServiceId) -> u32 {
        self.workers.values().map(|state| state.slots(service)).sum()
    }

    /// Slots of all services at all workers that may be given work.
    pub(super) fn all_slots(&self) -> u32 {
        let views = self.workers.values().filter_map(WorkerState::usable_view);
        views.flat_map(|view| view.services.iter()).map(|row| row.slots).sum()
    }

    /// Tasks of `service` that this entry has sent and that have not ended.
    pub(super) fn own_tasks(&self, service: &ServiceId) -> u32 {
        let usages = self.workers.values().filter_map(|state| state.usages.get(service));
        usages.map(|usage| usage.own).sum()
    }

    /// Live entries, this one included.
    pub(super) fn entries(&self) -> u32 {
        self.entries
    }

    /// Sizes of the workers that serve `service`.
    pub(super) fn sizes(&self, service: &ServiceId) -> Vec<WorkerSize> {
        let open = self.workers.values().filter(|state| state.slots(service) > 0);
        open.filter_map(|state| state.view.as_ref().map(|view| view.size)).collect()
    }

    /// Services with a live backend server.
    pub(super) fn served(&self) -> Vec<ServiceId> {
        let views = self.workers.values().filter_map(WorkerState::usable_view);
        let rows = views.flat_map(|view| view.services.iter()).filter(|row| row.slots > 0);
        let mut served: Vec<ServiceId> = rows.map(|row| row.service.clone()).collect();
        served.sort_unstable();
        served.dedup();
        served
    }
}
