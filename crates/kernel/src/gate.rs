//! Owns the gate at which a graceful shutdown waits until no work is in
//! progress.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Instant;

use crate::clock::{Clock, SystemClock};

#[derive(Debug, Default)]
struct GateCore {
    busy: Mutex<usize>,
    change: Condvar,
}

/// Tracks the amount of work in progress; waiters park until it is zero.
#[derive(Debug, Clone, Default)]
pub struct DrainGate {
    core: Arc<GateCore>,
}

impl DrainGate {
    /// Sets the number of items in progress and wakes waiters if it changed.
    pub fn set(&self, busy: usize) {
        let mut current = self.core.busy.lock().unwrap_or_else(PoisonError::into_inner);
        if *current != busy {
            *current = busy;
            self.core.change.notify_all();
        }
    }

    /// Waits until no work is in progress. Returns `false` if `deadline` passes
    /// first.
    pub fn wait_idle(&self, deadline: Instant) -> bool {
        let mut busy = self.core.busy.lock().unwrap_or_else(PoisonError::into_inner);
        while *busy > 0 {
            let remaining = deadline.saturating_duration_since(SystemClock.now());
            if remaining.is_zero() {
                return false;
            }
            let waited = self.core.change.wait_timeout(busy, remaining);
            busy = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}
