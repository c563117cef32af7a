//! Owns time: the clock is an interface handed to every duty, so that a
//! decision never reads one by itself and a test can move time by hand.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic and calendar time.
pub trait Clock: Send + Sync {
    /// Monotonic time; the only time that decisions are given.
    fn now(&self) -> Instant;

    /// Calendar time; only for log lines and monthly figures.
    fn calendar(&self) -> SystemTime;
}

/// A clock shared by the duties of one process.
pub type SharedClock = Arc<dyn Clock>;

/// The operating system's clock.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn calendar(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    calendar_start: SystemTime,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock that stands at `calendar_start`.
    pub fn new(calendar_start: SystemTime) -> ManualClock {
        ManualClock { start: Instant::now(), calendar_start, elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Moves both times forward by `step`.
    pub fn advance(&self, step: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(PoisonError::into_inner);
        *elapsed += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn calendar(&self) -> SystemTime {
        self.calendar_start + self.elapsed()
    }
}
