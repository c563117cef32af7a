//! Owns which workers are ejected because they fail what they are given while
//! their peers do not.
//!
//! Invariants:
//! - never more than a set share of the workers is ejected;
//! - an ejected worker comes back only through a probe that succeeded.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::WorkerId;

const GAIN: f64 = 0.2;
const EJECT_RATE: f64 = 0.5;
const PEER_RATE: f64 = 0.2;
const LEAST_SAMPLES: u32 = 5;
const MOST_EJECTED_SHARE: f64 = 0.34;
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// What a result changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing.
    Same,
    /// The worker is ejected.
    Ejected,
    /// The worker is back.
    Reinstated,
}

#[derive(Debug, Clone)]
enum Standing {
    InUse,
    Ejected { probe_at: Instant, pause: Duration },
    Probing { pause: Duration },
}

#[derive(Debug, Clone)]
struct WorkerRecord {
    failure_rate: f64,
    samples: u32,
    standing: Standing,
}

impl WorkerRecord {
    fn new() -> WorkerRecord {
        WorkerRecord { failure_rate: 0.0, samples: 0, standing: Standing::InUse }
    }

    fn is_in_use(&self) -> bool {
        matches!(self.standing, Standing::InUse)
    }
}

/// Failure rates of the workers.
#[derive(Debug, Clone, Default)]
pub struct HealthBook {
    workers: IndexMap<WorkerId, WorkerRecord>,
}

impl HealthBook {
    /// Makes a worker known.
    pub fn add(&mut self, worker: &WorkerId) {
        self.workers.entry(worker.clone()).or_insert_with(WorkerRecord::new);
    }

    /// Forgets a worker that has gone or was started anew.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.swap_remove(worker);
    }

    /// Whether the worker may be given a task: in use, or due for its probe.
    pub fn takes_work(&self, now: Instant, worker: &WorkerId) -> bool {
        match self.workers.get(worker).map(|record| &record.standing) {
            None | Some(Standing::InUse) => true,
            Some(Standing::Ejected { probe_at, .. }) => *probe_at <= now,
            Some(Standing::Probing { .. }) => false,
        }
    }

    /// A task goes to the worker; says whether it is a probe.
    pub fn on_placed(&mut self, worker: &WorkerId) -> bool {
        let Some(record) = self.workers.get_mut(worker) else { return false };
        let Standing::Ejected { pause, .. } = record.standing else { return false };
        record.standing = Standing::Probing { pause };
        true
    }

    /// A task's result counts for or against its worker.
    pub fn on_result(&mut self, now: Instant, worker: &WorkerId, failed: bool) -> HealthChange {
        let may_eject = self.may_eject(worker);
        let Some(record) = self.workers.get_mut(worker) else { return HealthChange::Same };
        let sample = if failed { 1.0 } else { 0.0 };
        record.failure_rate += GAIN * (sample - record.failure_rate);
        record.samples = record.samples.saturating_add(1);
        match record.standing {
            Standing::InUse if may_eject && is_failing(record) => {
                let probe_at = now + FIRST_PAUSE;
                record.standing = Standing::Ejected { probe_at, pause: FIRST_PAUSE };
                HealthChange::Ejected
            }
            Standing::InUse | Standing::Ejected { .. } => HealthChange::Same,
            Standing::Probing { pause } if failed => {
                let pause = (pause * 2).min(LONGEST_PAUSE);
                record.standing = Standing::Ejected { probe_at: now + pause, pause };
                HealthChange::Same
            }
            Standing::Probing { .. } => {
                *record = WorkerRecord::new();
                HealthChange::Reinstated
            }
        }
    }

    /// A probe that never ran says nothing; the worker is probed again later.
    pub fn on_probe_lost(&mut self, now: Instant, worker: &WorkerId) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        if let Standing::Probing { pause } = record.standing {
            record.standing = Standing::Ejected { probe_at: now + pause, pause };
        }
    }

    /// Whether the peers are well and the share of ejected ones allows one
    /// more.
    fn may_eject(&self, worker: &WorkerId) -> bool {
        let peers = self
            .workers
            .iter()
            .filter(|(name, record)| *name != worker && record.is_in_use() && record.samples > 0);
        let mut rates: Vec<f64> = peers.map(|(_, record)| record.failure_rate).collect();
        if rates.is_empty() {
            return false;
        }
        rates.sort_by(f64::total_cmp);
        let median = rates[rates.len() / 2];
        let ejected = self.workers.values().filter(|record| !record.is_in_use()).count();
        let share = (ejected + 1) as f64 / self.workers.len() as f64;
        median <= PEER_RATE && share <= MOST_EJECTED_SHARE
    }

    /// When the next ejected worker is due for its probe.
    pub fn next_probe(&self) -> Option<Instant> {
        let due = |record: &WorkerRecord| match record.standing {
            Standing::Ejected { probe_at, .. } => Some(probe_at),
            Standing::InUse | Standing::Probing { .. } => None,
        };
        self.workers.values().filter_map(due).min()
    }
}

fn is_failing(record: &WorkerRecord) -> bool {
    record.samples >= LEAST_SAMPLES && record.failure_rate > EJECT_RATE
}
