//! Owns the gate that a graceful shutdown waits at until nothing is in
//! progress.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Instant;

#[derive(Debug, Default)]
struct GateCore {
    busy: Mutex<usize>,
    change: Condvar,
}

/// Counts what is in progress; waiters park until it is zero.
#[derive(Debug, Clone, Default)]
pub struct DrainGate {
    core: Arc<GateCore>,
}

impl DrainGate {
    /// Sets how much is in progress.
    pub fn set(&self, busy: usize) {
        let mut known = self.core.busy.lock().unwrap_or_else(PoisonError::into_inner);
        if *known != busy {
            *known = busy;
            self.core.change.notify_all();
        }
    }

    /// Waits until nothing is in progress; `false` when `deadline` came first.
    pub fn wait_idle(&self, deadline: Instant) -> bool {
        let mut busy = self.core.busy.lock().unwrap_or_else(PoisonError::into_inner);
        while *busy > 0 {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.core.change.wait_timeout(busy, left);
            busy = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}
