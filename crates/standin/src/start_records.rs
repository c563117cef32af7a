//! Owns the record of every start that the stand-in backend servers saw.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use std::time::Instant;

use indexmap::IndexMap;

/// One start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRecord {
    /// The task's key, as the agent sent it.
    pub key: String,
    /// Where it started.
    pub worker: String,
    /// When.
    pub at: Instant,
}

/// All starts of a run, in their order.
#[derive(Debug, Clone, Default)]
pub struct StartRecords {
    starts: Arc<Mutex<Vec<StartRecord>>>,
}

impl StartRecords {
    fn lock(&self) -> MutexGuard<'_, Vec<StartRecord>> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a start.
    pub fn add(&self, key: &str, worker: &str) {
        self.lock().push(StartRecord {
            key: key.to_owned(),
            worker: worker.to_owned(),
            at: Instant::now(),
        });
    }

    /// All starts so far.
    pub fn all(&self) -> Vec<StartRecord> {
        self.lock().clone()
    }

    /// How often each key started.
    pub fn counts(&self) -> IndexMap<String, usize> {
        let mut counts = IndexMap::new();
        for start in self.lock().iter() {
            *counts.entry(start.key.clone()).or_default() += 1;
        }
        counts
    }

    /// How often tasks of `team/submission` started.
    pub fn starts_of(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        self.lock().iter().filter(|start| start.key.starts_with(&prefix)).count()
    }
}
