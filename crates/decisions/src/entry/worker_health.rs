//! Owns outlier detection: which workers are ejected because their tasks fail
//! while those of their peers succeed.
//!
//! Invariants:
//! - at most a fixed share of the workers is ejected at a time;
//! - an ejected worker is reinstated only after a successful probe.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::WorkerId;

/// Weight of a new result in the exponential average.
const FAILURE_RATE_GAIN: f64 = 0.2;
/// Failure rate above which a worker is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.5;
/// Highest median failure rate of the peers at which a worker may be ejected.
const MAX_PEER_FAILURE_RATE: f64 = 0.2;
/// Results needed before a worker may be ejected.
const MIN_SAMPLES: u32 = 5;
/// Maximum share of the workers that is ejected or probing.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Delay before the first probe; it doubles with each failed one.
const MIN_PROBE_DELAY: Duration = Duration::from_secs(1);
const MAX_PROBE_DELAY: Duration = Duration::from_secs(30);

/// Effect of a result on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The worker keeps its status.
    Unchanged,
    /// The worker gets no further tasks until its probe is due.
    Ejected,
    /// A probe succeeded and the worker gets tasks again.
    Reinstated,
}

#[derive(Debug, Clone)]
enum HealthStatus {
    Active,
    Ejected { probe_at: Instant, probe_delay: Duration },
    Probing { probe_delay: Duration },
}

#[derive(Debug, Clone)]
struct WorkerRecord {
    failure_rate: f64,
    samples: u32,
    status: HealthStatus,
}

impl WorkerRecord {
    fn new() -> WorkerRecord {
        WorkerRecord { failure_rate: 0.0, samples: 0, status: HealthStatus::Active }
    }

    fn is_active(&self) -> bool {
        matches!(self.status, HealthStatus::Active)
    }
}

/// Failure rate and status of each worker.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    workers: IndexMap<WorkerId, WorkerRecord>,
}

impl HealthTracker {
    /// Starts tracking a worker, if it is not tracked yet.
    pub fn add(&mut self, worker: &WorkerId) {
        self.workers.entry(worker.clone()).or_insert_with(WorkerRecord::new);
    }

    /// Drops the record of a worker that departed or restarted.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.workers.swap_remove(worker);
    }

    /// Whether the worker may be given a task: it is active, or due for its
    /// probe.
    pub fn accepts_work(&self, now: Instant, worker: &WorkerId) -> bool {
        match self.workers.get(worker).map(|record| &record.status) {
            None | Some(HealthStatus::Active) => true,
            Some(HealthStatus::Ejected { probe_at, .. }) => *probe_at <= now,
            Some(HealthStatus::Probing { .. }) => false,
        }
    }

    /// Records that a task is sent to the worker; returns whether it is a
    /// probe.
    pub fn on_task_sent(&mut self, worker: &WorkerId) -> bool {
        let Some(record) = self.workers.get_mut(worker) else { return false };
        let HealthStatus::Ejected { probe_delay, .. } = record.status else { return false };
        record.status = HealthStatus::Probing { probe_delay };
        true
    }

    /// Updates the worker's failure rate and status with the result of a task.
    pub fn on_result(&mut self, now: Instant, worker: &WorkerId, failed: bool) -> HealthChange {
        let may_eject = self.may_eject(worker);
        let Some(record) = self.workers.get_mut(worker) else { return HealthChange::Unchanged };
        let sample = if failed { 1.0 } else { 0.0 };
        record.failure_rate += FAILURE_RATE_GAIN * (sample - record.failure_rate);
        record.samples = record.samples.saturating_add(1);
        match record.status {
            HealthStatus::Active if may_eject && is_failing(record) => {
                let probe_at = now + MIN_PROBE_DELAY;
                record.status = HealthStatus::Ejected { probe_at, probe_delay: MIN_PROBE_DELAY };
                HealthChange::Ejected
            }
            HealthStatus::Active | HealthStatus::Ejected { .. } => HealthChange::Unchanged,
            HealthStatus::Probing { probe_delay } if failed => {
                let probe_delay = (probe_delay * 2).min(MAX_PROBE_DELAY);
                record.status = HealthStatus::Ejected { probe_at: now + probe_delay, probe_delay };
                HealthChange::Unchanged
            }
            HealthStatus::Probing { .. } => {
                *record = WorkerRecord::new();
                HealthChange::Reinstated
            }
        }
    }

    /// Schedules another probe: one that never ran gives no evidence of health.
    pub fn on_probe_lost(&mut self, now: Instant, worker: &WorkerId) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        if let HealthStatus::Probing { probe_delay } = record.status {
            record.status = HealthStatus::Ejected { probe_at: now + probe_delay, probe_delay };
        }
    }

    /// Whether the median peer is healthy and one more ejection stays within
    /// the permitted share.
    fn may_eject(&self, worker: &WorkerId) -> bool {
        let peers = self
            .workers
            .iter()
            .filter(|(name, record)| *name != worker && record.is_active() && record.samples > 0);
        let mut rates: Vec<f64> = peers.map(|(_, record)| record.failure_rate).collect();
        if rates.is_empty() {
            return false;
        }
        rates.sort_by(f64::total_cmp);
        let median = rates[rates.len() / 2];
        let ejected = self.workers.values().filter(|record| !record.is_active()).count();
        let share = (ejected + 1) as f64 / self.workers.len() as f64;
        median <= MAX_PEER_FAILURE_RATE && share <= MAX_EJECTED_SHARE
    }

    /// Earliest time at which an ejected worker is due for its probe.
    pub fn next_probe(&self) -> Option<Instant> {
        let due = |record: &WorkerRecord| match record.status {
            HealthStatus::Ejected { probe_at, .. } => Some(probe_at),
            HealthStatus::Active | HealthStatus::Probing { .. } => None,
        };
        self.workers.values().filter_map(due).min()
    }
}

fn is_failing(record: &WorkerRecord) -> bool {
    record.samples >= MIN_SAMPLES && record.failure_rate > EJECTION_FAILURE_RATE
}
