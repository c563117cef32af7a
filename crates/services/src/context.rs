//! Owns what every service is given at its start.

use kernel::{DrainGate, KernelError, Registry, SharedClock};
use model::{EventLog, ProcessCounters, ServiceName};

/// What every service is given at its start.
#[derive(Clone)]
pub struct ServiceContext {
    /// The clock.
    pub clock: SharedClock,
    /// Counters of the process.
    pub counters: ProcessCounters,
    /// Where a graceful shutdown waits.
    pub gate: DrainGate,
}

impl ServiceContext {
    /// The log of this process.
    ///
    /// # Errors
    /// When no logging duty is registered.
    pub fn event_log(&self, registry: &Registry<ServiceName>) -> Result<EventLog, KernelError> {
        let ring = registry.find(ServiceName::LogWriter)?;
        Ok(EventLog::new(ring, self.clock.clone(), self.counters.clone()))
    }
}
