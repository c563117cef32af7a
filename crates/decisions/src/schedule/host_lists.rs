//! Owns the lists of hosts that control sends to agents: the entries that schedule
//! best-effort jobs, as known from their periodic queries, the control group, and the failure
//! domains that are evacuated. Agents connect to each entry, and to the leader of the group.
//! An entry's scheduler has no lists, and sends none.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{DomainId, EntryHost, LeaderHint};

/// Time since its last query after which an entry is dropped from the list.
const ENTRY_CONTACT_TIMEOUT: Duration = Duration::from_secs(10);

/// Entries by last contact, the control group, the evacuated domains, and the version of all.
#[derive(Debug, Clone, Default)]
pub(super) struct HostLists {
    last_contact: IndexMap<EntryHost, Instant>,
    controls: LeaderHint,
    evacuated: IndexSet<DomainId>,
    version: u64,
}

impl HostLists {
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

    /// Sets the control group; returns whether it has changed.
    pub(super) fn set_controls(&mut self, controls: LeaderHint) -> bool {
        let changed = self.controls != controls;
        self.controls = controls;
        self.version += u64::from(changed);
        changed
    }

    /// Sets the failure domains that are evacuated.
    pub(super) fn set_evacuated(&mut self, evacuated: &IndexSet<DomainId>) {
        if self.evacuated != *evacuated {
            self.evacuated = evacuated.clone();
            self.version += 1;
        }
    }

    /// Version of the lists; rises with each change of one.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// The entries; `None` while none is known, as at a new leader: agents keep those that
    /// they know.
    pub(super) fn entries(&self) -> Option<Vec<EntryHost>> {
        let entries: Vec<EntryHost> = self.last_contact.keys().cloned().collect();
        (!entries.is_empty()).then_some(entries)
    }

    /// The evacuated domains. Also sent if there are none: an agent may know of one whose
    /// evacuation has ended meanwhile.
    pub(super) fn evacuated(&self) -> Vec<DomainId> {
        self.evacuated.iter().cloned().collect()
    }

    /// The control group; `None` at an entry, which knows none.
    pub(super) fn controls(&self) -> Option<LeaderHint> {
        (!self.controls.members.is_empty()).then(|| self.controls.clone())
    }
}
