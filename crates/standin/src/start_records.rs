//! Owns the record of every task start at the stand-in backend servers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use std::time::Instant;

use indexmap::IndexMap;

/// One task start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRecord {
    /// The task's idempotency key, as sent by the agent; empty if it sent none.
    pub key: String,
    /// The worker on which it started.
    pub worker: String,
    /// When it started.
    pub at: Instant,
}

/// All task starts of a run in their order; clones share the record.
#[derive(Debug, Clone, Default)]
pub struct StartRecords {
    starts: Arc<Mutex<Vec<StartRecord>>>,
}

impl StartRecords {
    fn lock(&self) -> MutexGuard<'_, Vec<StartRecord>> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a start at the current time.
    pub fn add(&self, key: &str, worker: &str) {
        self.lock().push(StartRecord {
            key: key.to_owned(),
            worker: worker.to_owned(),
            at: Instant::now(),
        });
    }

    /// A copy of all starts so far.
    pub fn all(&self) -> Vec<StartRecord> {
        self.lock().clone()
    }

    /// Number of starts by key.
    pub fn counts(&self) -> IndexMap<String, usize> {
        let mut counts = IndexMap::new();
        for start in self.lock().iter() {
            *counts.entry(start.key.clone()).or_default() += 1;
        }
        counts
    }

    /// Number of starts of tasks of the job `team/submission`.
    pub fn count_job_starts(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        self.lock().iter().filter(|start| start.key.starts_with(&prefix)).count()
    }
}
