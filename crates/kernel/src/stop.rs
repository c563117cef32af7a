//! Owns the signal that tells every duty of a process to drain.
//!
//! Invariant: the signal only ever goes from running to draining.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Shared flag, raised once when the process starts its graceful shutdown.
#[derive(Debug, Clone, Default)]
pub struct StopSignal {
    raised: Arc<AtomicBool>,
}

impl StopSignal {
    /// Raises the signal.
    pub fn raise(&self) {
        self.raised.store(true, Ordering::Release);
    }

    /// Whether the process is draining.
    pub fn is_raised(&self) -> bool {
        self.raised.load(Ordering::Acquire)
    }
}
