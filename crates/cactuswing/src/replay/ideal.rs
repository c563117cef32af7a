//! Owns the ideal response times: lower bounds without queueing or overhead,
//! against which slowdowns are measured.

use std::time::Duration;

use standin::InstanceLine;

/// Ideal response times on one set of backend servers.
#[derive(Debug, Clone)]
pub(super) struct IdealTimes {
    /// Round trip between client and entry.
    network: Duration,
    /// Run time of the fastest backend server relative to what a task states.
    fastest: f64,
    /// Slots, each divided by the relative run time of its backend server.
    capacity: f64,
}

impl IdealTimes {
    pub(super) fn new(instances: &[InstanceLine], client_delay_ms: f64) -> IdealTimes {
        let fastest = instances.iter().map(|instance| instance.speed).fold(f64::INFINITY, f64::min);
        let slots = instances.iter().map(|instance| f64::from(instance.slots) / instance.speed);
        IdealTimes {
            network: Duration::from_secs_f64(2.0 * client_delay_ms / 1e3),
            fastest,
            capacity: slots.sum(),
        }
    }

    /// The round trip, plus the longer of two lower bounds: the longest task on
    /// the fastest backend server, and all work spread evenly over all slots.
    pub(super) fn of(&self, run_ms: &[f64]) -> Duration {
        let longest = run_ms.iter().copied().fold(0.0, f64::max) * self.fastest;
        let spread = run_ms.iter().sum::<f64>() / self.capacity;
        self.network + Duration::from_secs_f64(longest.max(spread) / 1e3)
    }
}
