//! Starts that wait at the agent for free capacity.
//!
//! Handles the load pattern *several schedulers with old views of one backend
//! server*: a refused start costs an order, a report and another placement, while
//! on a busy server a run ends within a few milliseconds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{
    LifeId, ResourceAmount, RunUpdate, SchedulerKey, ServerRequest, StartRefusal, TaskRun,
};

use super::run_table::RunTable;
use super::server_life::{OwnedUpdate, RunDemand, RunPhase, RunState, ServerLife};

/// How long a start waits for free capacity before it is refused; about the time
/// in which its scheduler can place it elsewhere.
const MAX_START_WAIT: Duration = Duration::from_millis(50);

/// Maximum number of runs, with those that wait to start, above which further starts are
/// refused: each input is handled in time proportional to them.
const MAX_RUNS: usize = 1_024;

/// A start that waits for free capacity. Its run is in the life's list of runs.
#[derive(Debug, Clone)]
struct WaitingStart {
    run: TaskRun,
    spec: Arc<str>,
    until: Instant,
}

/// Waiting starts of one life, in the order of their arrival.
#[derive(Debug, Clone, Default)]
pub(super) struct StartQueue {
    starts: VecDeque<WaitingStart>,
}

impl StartQueue {
    /// Time at which the first start has waited long enough.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.starts.front().map(|start| start.until)
    }

    /// Forgets a start, since its run is over.
    pub(super) fn remove(&mut self, run: &TaskRun) {
        self.starts.retain(|start| start.run != *run);
    }
}

impl RunTable {
    /// Adds ordered runs to the queue, and starts those for which there is free
    /// capacity. Orders for another life are refused.
    pub(super) fn queue_starts(
        &mut self,
        now: Instant,
        scheduler: &SchedulerKey,
        life: &LifeId,
        runs: Vec<TaskRun>,
        spec: &Arc<str>,
        demand: RunDemand,
    ) {
        for run in runs {
            let Some(life) = self.life.as_mut().filter(|known| known.view.life == *life) else {
                let update = RunUpdate::Refused { run, refusal: StartRefusal::Gone };
                self.notify(now, vec![(Some(scheduler.clone()), update)]);
                continue;
            };
            let owner = Some(scheduler.clone());
            match life.runs.get(&run).map(|state| state.owner == owner) {
                // It was ordered before: it runs, or is being stopped.
                Some(true) => continue,
                // Every entry numbers the runs of a task from 1: this one is of another
                // scheduler, which alone learns of its end.
                Some(false) => {
                    let update = RunUpdate::Refused { run, refusal: StartRefusal::OldRun };
                    self.notify(now, vec![(owner, update)]);
                    continue;
                }
                None if life.runs.len() >= MAX_RUNS => {
                    let update = RunUpdate::Refused { run, refusal: StartRefusal::Room };
                    self.notify(now, vec![(owner, update)]);
                    continue;
                }
                None => {}
            }
            let state = RunState::waiting(now, owner, demand.clone());
            life.runs.insert(run.clone(), state);
            let (spec, until) = (Arc::clone(spec), now + MAX_START_WAIT);
            life.start_queue.starts.push_back(WaitingStart { run, spec, until });
        }
        self.start_waiting(now);
    }

    /// Starts the waiting runs for which there is free capacity and a valid grant, and
    /// refuses those that have waited too long or can't start any more. While the lease
    /// may not be extended none starts, since a start extends it.
    pub(super) fn start_waiting(&mut self, now: Instant) {
        let may_start = !self.allowed_lease(now).is_zero();
        let Some(life) = self.life.as_mut().filter(|life| !life.start_queue.starts.is_empty())
        else {
            return;
        };
        let is_silent = life.is_silent(now);
        let resends_starts = self.limits.resend_starts;
        let is_evacuated = self.evacuation.covers(&life.view);
        let schedulers = &self.schedulers;
        let is_granted = |owner: &SchedulerKey| {
            let session = schedulers.get(owner);
            session.is_some_and(|session| !session.remaining_grant(now).is_zero())
        };
        let mut free = life.free_capacity();
        let mut refused = Vec::new();
        let mut requests = Vec::new();
        for start in std::mem::take(&mut life.start_queue.starts) {
            if let Some(refusal) = life.start_refusal(&start.run, is_evacuated) {
                refused.extend(life.refuse(&start.run, refusal));
            } else if may_start
                && life.is_owned_by(&start.run, is_granted)
                && life.begin(now, &start.run, &mut free)
            {
                if resends_starts {
                    life.start_resends.on_sent(now, &start.run, &start.spec);
                }
                requests.push(ServerRequest::Start { run: start.run, spec: start.spec });
            } else if start.until <= now {
                let refusal = if is_silent { StartRefusal::Unhealthy } else { StartRefusal::Room };
                refused.extend(life.refuse(&start.run, refusal));
            } else {
                life.start_queue.starts.push_back(start);
            }
        }
        self.notify(now, refused);
        for request in requests {
            self.call(now, request);
        }
    }
}

impl ServerLife {
    /// Reason to refuse a waiting start for good, if there is one.
    fn start_refusal(&self, run: &TaskRun, is_evacuated: bool) -> Option<StartRefusal> {
        if self.view.draining || is_evacuated || !self.listed {
            return Some(StartRefusal::Gone);
        }
        let size = self.runs.get(run).map(|state| state.size).unwrap_or_default();
        (!self.view.capacity.fits(&size)).then_some(StartRefusal::Room)
    }

    /// Whether a run has an owner that meets a condition.
    fn is_owned_by(&self, run: &TaskRun, meets: impl Fn(&SchedulerKey) -> bool) -> bool {
        self.runs.get(run).and_then(|state| state.owner.as_ref()).is_some_and(meets)
    }

    /// Removes a run that has not started.
    pub(super) fn refuse(&mut self, run: &TaskRun, refusal: StartRefusal) -> Option<OwnedUpdate> {
        let state = self.runs.swap_remove(run)?;
        Some((state.owner, RunUpdate::Refused { run: run.clone(), refusal }))
    }

    /// Takes the capacity of a waiting run; `false` if it is not free.
    fn begin(&mut self, now: Instant, run: &TaskRun, free: &mut ResourceAmount) -> bool {
        let Some(state) = self.runs.get_mut(run).filter(|state| free.fits(&state.size)) else {
            return false;
        };
        *free = free.saturating_sub(&state.size);
        state.phase = RunPhase::Starting;
        state.since = now;
        true
    }
}
