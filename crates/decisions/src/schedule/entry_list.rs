//! Entries that schedule, as they ask control now and then.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::EntryHost;

/// How long an entry that does not ask any more stays in the list.
const ENTRY_SILENCE: Duration = Duration::from_secs(10);

/// Entries, and the version of their list.
#[derive(Debug, Clone, Default)]
pub(super) struct EntryList {
    heard: IndexMap<EntryHost, Instant>,
    version: u64,
}

impl EntryList {
    /// An entry asked.
    pub(super) fn note(&mut self, now: Instant, entry: &EntryHost) {
        let before = self.heard.len();
        self.heard.retain(|_, at| *at + ENTRY_SILENCE > now);
        let is_new = self.heard.insert(entry.clone(), now).is_none();
        if is_new || self.heard.len() != before {
            self.version += 1;
        }
    }

    /// Changes with the list.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn hosts(&self) -> Vec<EntryHost> {
        self.heard.keys().cloned().collect()
    }
}
