//! Owns the signal that starts the graceful shutdown (drain) of a process.
//!
//! Invariant: the signal changes once, from running to draining.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Shared flag that is set once, when the process starts to drain.
#[derive(Debug, Clone, Default)]
pub struct StopSignal {
    raised: Arc<AtomicBool>,
}

impl StopSignal {
    /// Sets the flag; further calls have no effect.
    pub fn raise(&self) {
        self.raised.store(true, Ordering::Release);
    }

    /// Whether the process is draining.
    pub fn is_raised(&self) -> bool {
        self.raised.load(Ordering::Acquire)
    }
}
