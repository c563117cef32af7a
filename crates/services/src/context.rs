//! Resources of the process that every service receives at its start.

use kernel::{DrainGate, KernelError, Registry, SharedClock};
use model::{EventLog, ProcessCounters, ServiceName};

/// Clock, counters and drain gate of the process; clones share them.
#[derive(Clone)]
pub struct ServiceContext {
    /// Monotonic and wall clock time.
    pub clock: SharedClock,
    /// Counters of messages, failures and work in progress.
    pub counters: ProcessCounters,
    /// Gate at which a graceful shutdown waits until no work is in progress.
    pub gate: DrainGate,
}

impl ServiceContext {
    /// Returns a handle to the event log of this process.
    ///
    /// # Errors
    /// Fails if no log writer is registered.
    pub fn event_log(&self, registry: &Registry<ServiceName>) -> Result<EventLog, KernelError> {
        let ring = registry.find(ServiceName::LogWriter)?;
        Ok(EventLog::new(ring, self.clock.clone(), self.counters.clone()))
    }
}
