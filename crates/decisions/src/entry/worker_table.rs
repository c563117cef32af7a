//! Owns what an entry knows of the workers: views, silence, load and what this
//! entry has sent there.
//!
//! Invariants:
//! - a worker that is silent, draining, departed or without a view is never
//!   offered;
//! - `own` counts exactly the tasks that were sent and have not ended.

use std::time::Instant;

use indexmap::IndexMap;
use model::{AgentView, Incarnation, MemberRecord, ServiceId, WorkerId, WorkerSize};

use super::placement::Candidate;
use super::run_times::RunTimes;
use super::worker_health::HealthBook;

/// Most tasks that one entry lets wait at an agent, for policies that do not
/// wait at the entry.
const AGENT_QUEUE: u32 = 64;

/// How far a word on other entries' load is trusted that has just come: it was
/// true when the agent sent it, and the others act on such words too.
const FRESH_TRUST: f64 = 0.3;

#[derive(Debug, Clone, Default)]
struct ServiceUse {
    own: u32,
    /// Tasks of other entries, by the latest word.
    foreign: u32,
    heard_at: Option<Instant>,
}

impl ServiceUse {
    fn hear(&mut self, now: Instant, load: u32) {
        self.foreign = load.saturating_sub(self.own);
        self.heard_at = Some(now);
    }

    /// Tasks of other entries that may be there. A word that is old says little;
    /// then the others are taken to send as much as this entry.
    fn foreign_at(&self, now: Instant, mean_us: f64, entries: u32) -> u32 {
        let age =
            self.heard_at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64() * 1e6);
        let trust = FRESH_TRUST * 0.5_f64.powf(age / mean_us.max(1.0));
        let usual = f64::from(self.own * (entries - 1));
        (trust * f64::from(self.foreign) + (1.0 - trust) * usual).round() as u32
    }
}

#[derive(Debug, Clone)]
pub(super) struct WorkerState {
    pub(super) view: Option<AgentView>,
    pub(super) silent: bool,
    pub(super) departed: bool,
    uses: IndexMap<ServiceId, ServiceUse>,
    in_use: WorkerSize,
}

impl WorkerState {
    fn new() -> WorkerState {
        WorkerState {
            view: None,
            silent: true,
            departed: false,
            uses: IndexMap::new(),
            in_use: WorkerSize::default(),
        }
    }

    /// The view, when the worker may be given work.
    fn open_view(&self) -> Option<&AgentView> {
        let view = self.view.as_ref()?;
        (!self.silent && !self.departed && !view.draining).then_some(view)
    }

    fn slots(&self, service: &ServiceId) -> u32 {
        let rows = self.open_view().into_iter().flat_map(|view| view.services.iter());
        rows.filter(|row| row.service == *service).map(|row| row.slots).sum()
    }

    fn has_room_for(&self, wanted: &WorkerSize) -> bool {
        let Some(view) = self.open_view() else { return false };
        let after = WorkerSize {
            cores: self.in_use.cores + wanted.cores,
            memory_mb: self.in_use.memory_mb + wanted.memory_mb,
            accelerators: self.in_use.accelerators + wanted.accelerators,
        };
        view.size.holds(&after)
    }

    fn has_tasks(&self) -> bool {
        self.uses.values().any(|usage| usage.own > 0)
    }
}

/// What a new view means for the tasks sent to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ViewChange {
    /// The same process as before.
    Same,
    /// Another incarnation: what the one before knew is lost.
    Restarted,
}

/// A worker offered for placement.
#[derive(Debug, Clone)]
pub(super) struct Offer {
    pub(super) worker: WorkerId,
    pub(super) incarnation: Incarnation,
    pub(super) candidate: Candidate,
}

/// Workers by id.
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
    /// Takes the member list; returns workers that are gone for good.
    pub(super) fn set_members(&mut self, agents: &[MemberRecord], entries: u32) -> Vec<WorkerId> {
        self.entries = entries.max(1);
        for agent in agents {
            let state = self.workers.entry(agent.node.clone()).or_insert_with(WorkerState::new);
            state.departed = false;
        }
        for (worker, state) in &mut self.workers {
            state.departed = !agents.iter().any(|agent| agent.node == *worker);
        }
        self.take_gone()
    }

    /// Removes departed workers with which there is no contact, or nothing
    /// left to hear from.
    pub(super) fn take_gone(&mut self) -> Vec<WorkerId> {
        let gone = |state: &WorkerState| state.departed && (state.silent || !state.has_tasks());
        let names: Vec<WorkerId> =
            self.workers.iter().filter(|(_, s)| gone(s)).map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.workers.swap_remove(name);
        }
        names
    }

    /// Takes a view.
    pub(super) fn set_view(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        view: AgentView,
    ) -> ViewChange {
        let state = self.workers.entry(worker.clone()).or_insert_with(WorkerState::new);
        state.silent = false;
        for row in &view.services {
            let usage = state.uses.entry(row.service.clone()).or_default();
            usage.hear(now, row.running + row.queued);
        }
        let known = state.view.replace(view).map(|before| before.incarnation);
        let current = state.view.as_ref().map(|view| view.incarnation);
        if known.is_some() && known != current { ViewChange::Restarted } else { ViewChange::Same }
    }

    /// Marks a worker as silent.
    pub(super) fn set_silent(&mut self, worker: &WorkerId) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.silent = true;
        }
    }

    pub(super) fn get(&self, worker: &WorkerId) -> Option<&WorkerState> {
        self.workers.get(worker)
    }

    /// Counts a task that was sent.
    pub(super) fn add_task(&mut self, worker: &WorkerId, service: &ServiceId, size: &WorkerSize) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        state.uses.entry(service.clone()).or_default().own += 1;
        state.in_use.cores += size.cores;
        state.in_use.memory_mb += size.memory_mb;
        state.in_use.accelerators += size.accelerators;
    }

    /// Counts a task that ended.
    pub(super) fn remove_task(
        &mut self,
        worker: &WorkerId,
        service: &ServiceId,
        size: &WorkerSize,
    ) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        let usage = state.uses.entry(service.clone()).or_default();
        usage.own = usage.own.saturating_sub(1);
        state.in_use.cores = state.in_use.cores.saturating_sub(size.cores);
        state.in_use.memory_mb = state.in_use.memory_mb.saturating_sub(size.memory_mb);
        state.in_use.accelerators = state.in_use.accelerators.saturating_sub(size.accelerators);
    }

    /// Takes the load that an answer carried; `own` no longer counts the task
    /// that the answer ends.
    pub(super) fn set_load(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        service: &ServiceId,
        load: u32,
    ) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        state.uses.entry(service.clone()).or_default().hear(now, load);
    }

    /// Workers that can be given tasks of `service` now.
    pub(super) fn offers(
        &self,
        now: Instant,
        service: &ServiceId,
        times: &RunTimes,
        health: &HealthBook,
    ) -> Vec<Offer> {
        let open = self
            .workers
            .iter()
            .filter(|(worker, state)| state.slots(service) > 0 && health.takes_work(now, worker));
        open.filter_map(|(worker, state)| self.offer(now, service, worker, state, times)).collect()
    }

    fn offer(
        &self,
        now: Instant,
        service: &ServiceId,
        worker: &WorkerId,
        state: &WorkerState,
        times: &RunTimes,
    ) -> Option<Offer> {
        let slots = state.slots(service);
        let usage = state.uses.get(service).cloned().unwrap_or_default();
        let candidate = Candidate {
            slots,
            load: usage.own + usage.foreign_at(now, times.base_us(service, None), self.entries),
            own: usage.own,
            speed: times.speed(service, worker),
            queue_room: AGENT_QUEUE,
            // One waiting task for each slot: none stands idle until the next order.
            prefetch: slots,
            credits: (slots / self.entries).max(1),
        };
        let incarnation = state.view.as_ref()?.incarnation;
        Some(Offer { worker: worker.clone(), incarnation, candidate })
    }

    pub(super) fn has_room_for(&self, worker: &WorkerId, wanted: &WorkerSize) -> bool {
        self.workers.get(worker).is_some_and(|state| state.has_room_for(wanted))
    }

    /// Slots of `service` at all workers that may be given work.
    pub(super) fn total_slots(&self, service: &ServiceId) -> u32 {
        self.workers.values().map(|state| state.slots(service)).sum()
    }

    /// Slots of all services at all workers that may be given work.
    pub(super) fn all_slots(&self) -> u32 {
        let views = self.workers.values().filter_map(WorkerState::open_view);
        views.flat_map(|view| view.services.iter()).map(|row| row.slots).sum()
    }

    /// Tasks of `service` that this entry has sent and that have not ended.
    pub(super) fn own_tasks(&self, service: &ServiceId) -> u32 {
        let uses = self.workers.values().filter_map(|state| state.uses.get(service));
        uses.map(|usage| usage.own).sum()
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
        let views = self.workers.values().filter_map(WorkerState::open_view);
        let rows = views.flat_map(|view| view.services.iter()).filter(|row| row.slots > 0);
        let mut served: Vec<ServiceId> = rows.map(|row| row.service.clone()).collect();
        served.sort_unstable();
        served.dedup();
        served
    }
}
