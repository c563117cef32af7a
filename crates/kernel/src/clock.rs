//! Owns access to time. Each duty receives a clock, so that decision code never
//! reads one itself and a test can advance time manually.

use std::sync::{Arc, LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic and wall clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time; the only time passed to decision code. It includes the time in
    /// which the host was suspended, so that leases and grants expire meanwhile.
    fn now(&self) -> Instant;

    /// Wall clock time, for timestamps only: log lines, log records,
    /// incarnations and monthly figures.
    fn wall_clock(&self) -> SystemTime;
}

/// A clock shared by the duties of one process.
pub type SharedClock = Arc<dyn Clock>;

/// Maps times since the host booted to instants. [`Instant::now`] can't be used for
/// leases: it stands still while the host is suspended.
#[derive(Debug, Clone, Copy)]
pub struct BootTimeline {
    start: Instant,
    start_since_boot: Duration,
}

impl BootTimeline {
    /// Creates a timeline on which `start_since_boot` after the boot is `start`.
    pub fn new(start: Instant, start_since_boot: Duration) -> BootTimeline {
        BootTimeline { start, start_since_boot }
    }

    /// The instant of a time since the boot; `start` if that is earlier.
    pub fn instant_at(&self, since_boot: Duration) -> Instant {
        self.start + since_boot.saturating_sub(self.start_since_boot)
    }
}

/// Time since the host booted, including suspended time.
fn since_boot() -> Duration {
    let reading = clock_gettime(ClockId::Boottime);
    // The kernel's readings are never negative, so the conversion does not fail.
    reading.try_into().unwrap_or_default()
}

/// The timeline of this process.
static TIMELINE: LazyLock<BootTimeline> =
    LazyLock::new(|| BootTimeline::new(Instant::now(), since_boot()));

/// The operating system's clock.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        let timeline = &*TIMELINE;
        timeline.instant_at(since_boot())
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
