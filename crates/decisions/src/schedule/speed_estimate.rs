//! How fast a backend server is, as learnt from what ran there.
//!
//! Answers the patterns *servers that turn slow* and *tasks that stand still*:
//! runs that have not ended teach as well as those that have, and slowness of
//! which nothing is seen any more is forgotten, so that a server that has
//! recovered gets work again.

use std::time::{Duration, Instant};

/// Runs that the present slowness goes by, the latest most.
const CURRENT_WINDOW_RUNS: u32 = 8;
/// Runs that the usual slowness goes by.
const BASELINE_WINDOW_RUNS: u32 = 64;
/// Slowness learnt from one run stays within these bounds.
const MIN_SLOWNESS: f64 = 0.1;
const MAX_SLOWNESS: f64 = 20.0;
/// How long nothing is seen of a server before its slowness is forgotten.
const DECAY_DELAY: Duration = Duration::from_secs(1);
/// How often a part of it is forgotten then, and which part.
const DECAY_INTERVAL: Duration = Duration::from_millis(250);
const DECAY_SHARE: f64 = 0.25;

/// Run times of a server over the estimates.
#[derive(Debug, Clone)]
pub struct LearntSpeed {
    current: f64,
    baseline: f64,
    runs: u32,
    last_sample_at: Instant,
    last_decay_at: Instant,
}

impl LearntSpeed {
    /// A server of which nothing is known: as fast as the estimates.
    pub fn new(now: Instant) -> LearntSpeed {
        LearntSpeed {
            current: 1.0,
            baseline: 1.0,
            runs: 0,
            last_sample_at: now,
            last_decay_at: now,
        }
    }

    /// Run time over the estimate.
    pub fn slowness(&self) -> f64 {
        self.current
    }

    /// A run ended as done.
    pub fn learn_end(&mut self, now: Instant, ran: Duration, estimate: Duration) {
        let Some(sample) = slowness_sample(ran, estimate) else { return };
        self.runs = self.runs.saturating_add(1);
        self.last_sample_at = now;
        self.current += (sample - self.current) / f64::from(self.runs.min(CURRENT_WINDOW_RUNS));
        self.baseline += (sample - self.baseline) / f64::from(self.runs.min(BASELINE_WINDOW_RUNS));
    }

    /// A run has not ended yet: it takes at least this long.
    pub fn learn_overdue(&mut self, now: Instant, ran: Duration, estimate: Duration) {
        let Some(sample) = slowness_sample(ran, estimate) else { return };
        self.last_sample_at = now;
        if sample > self.current {
            self.current += (sample - self.current) / f64::from(CURRENT_WINDOW_RUNS);
        }
    }

    /// Goes back towards the usual slowness while nothing is seen.
    pub fn recover(&mut self, now: Instant) {
        if now < self.last_sample_at + DECAY_DELAY || now < self.last_decay_at + DECAY_INTERVAL {
            return;
        }
        self.last_decay_at = now;
        if self.current > self.baseline {
            self.current += (self.baseline - self.current) * DECAY_SHARE;
        }
    }
}

fn slowness_sample(ran: Duration, estimate: Duration) -> Option<f64> {
    let sample = ran.as_secs_f64() / estimate.as_secs_f64();
    (!estimate.is_zero()).then(|| sample.clamp(MIN_SLOWNESS, MAX_SLOWNESS))
}
