//! Owns access to time. Each duty receives a clock, so that decision code never
//! reads one itself and a test can advance time manually.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic and wall clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time; the only time passed to decision code.
    fn now(&self) -> Instant;

    /// Wall clock time, for timestamps only: log lines, log records,
    /// incarnations and monthly figures.
    fn wall_clock(&self) -> SystemTime;
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

    fn wall_clock(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that advances only by [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    wall_clock_start: SystemTime,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock whose wall clock time is `wall_clock_start`.
    pub fn new(wall_clock_start: SystemTime) -> ManualClock {
        ManualClock { start: Instant::now(), wall_clock_start, elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Advances monotonic and wall clock time by `step`.
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

    fn wall_clock(&self) -> SystemTime {
        self.wall_clock_start + self.elapsed()
    }
}
