//! Entries that schedule, as they ask control now and then.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::EntryHost;

/// How long an entry that does not ask any more stays in the list.
const ENTRY_CONTACT_TIMEOUT: Duration = Duration::from_secs(10);

/// Entries, and the version of their list.
#[derive(Debug, Clone, Default)]
pub(super) struct EntryList {
    last_contact: IndexMap<EntryHost, Instant>,
    version: u64,
}

impl EntryList {
    /// An entry asked.
    pub(super) fn refresh(&mut self, now: Instant, entry: &EntryHost) {
        let before = self.last_contact.len();
        self.last_contact.retain(|_, at| *at + ENTRY_CONTACT_TIMEOUT > now);
        let is_new = self.last_contact.insert(entry.clone(), now).is_none();
        if is_new || self.last_contact.len() != before {
            self.version += 1;
        }
    }

    /// Changes with the list.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn hosts(&self) -> Vec<EntryHost> {
        self.last_contact.keys().cloned().collect()
    }
}
