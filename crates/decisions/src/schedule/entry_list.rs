//! Owns the list of entries that schedule best-effort jobs, as known from
//! their periodic queries to control. Agents connect to each of them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::EntryHost;

/// Time since its last query after which an entry is dropped from the list.
const ENTRY_CONTACT_TIMEOUT: Duration = Duration::from_secs(10);

/// Entries by last contact, and the version of the list.
#[derive(Debug, Clone, Default)]
pub(super) struct EntryList {
    last_contact: IndexMap<EntryHost, Instant>,
    version: u64,
}

impl EntryList {
    /// Records a query from an entry and drops entries that timed out; returns whether
    /// the list has changed.
    pub(super) fn refresh(&mut self, now: Instant, entry: &EntryHost) -> bool {
        let before = self.last_contact.len();
        self.last_contact.retain(|_, at| *at + ENTRY_CONTACT_TIMEOUT > now);
        let is_new = self.last_contact.insert(entry.clone(), now).is_none();
        let changed = is_new || self.last_contact.len() != before;
        self.version += u64::from(changed);
        changed
    }

    /// Version of the list; rises with each change of its members.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn hosts(&self) -> Vec<EntryHost> {
        self.last_contact.keys().cloned().collect()
    }
}
