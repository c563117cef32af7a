//! Owns the backend servers that announced themselves at one worker, and their
//! slots.
//!
//! Invariants:
//! - a backend server never has more tasks than slots or connections;
//! - one that leaves, lapsed or could not be reached gets no new task until it
//!   announces itself again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{Announcement, ServiceId};

/// Whether a change altered what entries must know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolChange {
    /// Slots appeared, vanished or changed in number.
    Changed,
    /// Nothing that entries see.
    Same,
}

#[derive(Debug, Clone)]
struct Instance {
    service: ServiceId,
    slots: u32,
    running: u32,
    expires: Instant,
    available: bool,
}

impl Instance {
    fn has_free_slot(&self) -> bool {
        self.available && self.running < self.slots
    }
}

/// Backend servers by address.
#[derive(Debug, Clone)]
pub struct InstancePool {
    ttl: Duration,
    instances: IndexMap<SocketAddr, Instance>,
}

impl InstancePool {
    /// A pool in which an announcement holds for `ttl`.
    pub fn new(ttl: Duration) -> InstancePool {
        InstancePool { ttl, instances: IndexMap::new() }
    }

    /// A backend server announced itself, anew or again.
    pub fn announce(&mut self, now: Instant, announcement: &Announcement) -> PoolChange {
        let slots = announcement.slots.min(announcement.connections);
        let expires = now + self.ttl;
        let service = announcement.service.clone();
        let running = self.instances.get(&announcement.address).map_or(0, |known| known.running);
        let instance = Instance { service, slots, running, expires, available: true };
        let before = self.instances.insert(announcement.address, instance.clone());
        let same = before.is_some_and(|known| {
            known.available && known.slots == slots && known.service == instance.service
        });
        if same { PoolChange::Same } else { PoolChange::Changed }
    }

    /// A backend server leaves, or could not be reached.
    pub fn withdraw(&mut self, address: &SocketAddr) -> PoolChange {
        let Some(instance) = self.instances.get_mut(address) else { return PoolChange::Same };
        let was_available = std::mem::replace(&mut instance.available, false);
        if was_available { PoolChange::Changed } else { PoolChange::Same }
    }

    /// Drops announcements that lapsed.
    pub fn expire(&mut self, now: Instant) -> PoolChange {
        let mut change = PoolChange::Same;
        for instance in self.instances.values_mut() {
            if instance.available && instance.expires <= now {
                instance.available = false;
                change = PoolChange::Changed;
            }
        }
        self.instances.retain(|_, instance| instance.available || instance.running > 0);
        change
    }

    /// When the next announcement lapses.
    pub fn next_expiry(&self) -> Option<Instant> {
        let available = self.instances.values().filter(|instance| instance.available);
        available.map(|instance| instance.expires).min()
    }

    /// Takes a slot of the least loaded backend server of `service`, by the
    /// share of its slots in use.
    pub fn take_slot(&mut self, service: &ServiceId) -> Option<SocketAddr> {
        let open =
            self.instances.iter_mut().filter(|(_, i)| i.service == *service && i.has_free_slot());
        let (address, instance) = open.min_by_key(|(_, i)| i.running * 1_000 / i.slots.max(1))?;
        instance.running += 1;
        Some(*address)
    }

    /// Gives a slot back.
    pub fn free_slot(&mut self, address: &SocketAddr) {
        if let Some(instance) = self.instances.get_mut(address) {
            instance.running = instance.running.saturating_sub(1);
        }
    }

    /// Whether any backend server of `service` takes work.
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.instances.values().any(|i| i.service == *service && i.available && i.slots > 0)
    }

    /// Tasks of `service` running at any backend server.
    pub fn running(&self, service: &ServiceId) -> u32 {
        self.instances.values().filter(|i| i.service == *service).map(|i| i.running).sum()
    }

    /// Slots by service, of the backend servers that take work.
    pub fn slots(&self) -> IndexMap<ServiceId, u32> {
        let mut slots = IndexMap::new();
        for instance in self.instances.values().filter(|instance| instance.available) {
            *slots.entry(instance.service.clone()).or_default() += instance.slots;
        }
        slots
    }
}
