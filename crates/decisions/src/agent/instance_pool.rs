//! Owns the backend servers announced on one worker, and their slots.
//!
//! Invariants:
//! - no task is assigned to a backend server beyond its slots and connections;
//! - a backend server that left, expired or was unreachable gets no new task
//!   until it is announced again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{Announcement, ServiceId};

/// Whether a change is visible to entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolChange {
    /// The available slots of a service changed.
    Changed,
    /// Nothing that entries see has changed.
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

/// Pool of backend servers by address.
#[derive(Debug, Clone)]
pub struct InstancePool {
    ttl: Duration,
    instances: IndexMap<SocketAddr, Instance>,
}

impl InstancePool {
    /// Creates an empty pool in which an announcement expires after `ttl`.
    pub fn new(ttl: Duration) -> InstancePool {
        InstancePool { ttl, instances: IndexMap::new() }
    }

    /// Adds a backend server, or renews its announcement; its running tasks are
    /// kept.
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

    /// Makes a backend server unavailable that left or was unreachable.
    pub fn withdraw(&mut self, address: &SocketAddr) -> PoolChange {
        let Some(instance) = self.instances.get_mut(address) else { return PoolChange::Same };
        let was_available = std::mem::replace(&mut instance.available, false);
        if was_available { PoolChange::Changed } else { PoolChange::Same }
    }

    /// Makes backend servers unavailable whose announcement expired, and removes
    /// unavailable ones without running tasks.
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

    /// Time at which the next announcement expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        let available = self.instances.values().filter(|instance| instance.available);
        available.map(|instance| instance.expires).min()
    }

    /// Takes a slot of the backend server of `service` with the lowest share of
    /// slots in use; `None` if no slot is free.
    pub fn take_slot(&mut self, service: &ServiceId) -> Option<SocketAddr> {
        let open =
            self.instances.iter_mut().filter(|(_, i)| i.service == *service && i.has_free_slot());
        let (address, instance) = open.min_by_key(|(_, i)| i.running * 1_000 / i.slots.max(1))?;
        instance.running += 1;
        Some(*address)
    }

    /// Releases a slot.
    pub fn free_slot(&mut self, address: &SocketAddr) {
        if let Some(instance) = self.instances.get_mut(address) {
            instance.running = instance.running.saturating_sub(1);
        }
    }

    /// Whether an available backend server of `service` has slots, free or not.
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.instances.values().any(|i| i.service == *service && i.available && i.slots > 0)
    }

    /// Number of running tasks of `service`, on available servers or not.
    pub fn running(&self, service: &ServiceId) -> u32 {
        self.instances.values().filter(|i| i.service == *service).map(|i| i.running).sum()
    }

    /// Number of slots of available backend servers, by service; saturates.
    pub fn slots(&self) -> IndexMap<ServiceId, u32> {
        let mut slots = IndexMap::new();
        for instance in self.instances.values().filter(|instance| instance.available) {
            let sum: &mut u32 = slots.entry(instance.service.clone()).or_default();
            *sum = sum.saturating_add(instance.slots);
        }
        slots
    }
}
