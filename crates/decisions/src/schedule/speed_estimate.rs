//! How fast a backend server is, as learnt from what ran there.
//!
//! Answers the patterns *servers that turn slow* and *tasks that stand still*:
//! runs that have not ended teach as well as those that have, and slowness of
//! which nothing is seen any more is forgotten, so that a server that has
//! recovered gets work again.

use std::time::{Duration, Instant};

/// Runs that the present slowness goes by, the latest most.
const LATEST_RUNS: u32 = 8;
/// Runs that the usual slowness goes by.
const USUAL_RUNS: u32 = 64;
/// Slowness learnt from one run stays within these bounds.
const LEAST_SLOWNESS: f64 = 0.1;
const MOST_SLOWNESS: f64 = 20.0;
/// How long nothing is seen of a server before its slowness is forgotten.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// How often a part of it is forgotten then, and which part.
const RECOVERY_STEP: Duration = Duration::from_millis(250);
const RECOVERY_SHARE: f64 = 0.25;

/// Run times of a server over the estimates.
#[derive(Debug, Clone)]
pub struct LearntSpeed {
    present: f64,
    usual: f64,
    runs: u32,
    seen_at: Instant,
    recovered_at: Instant,
}

impl LearntSpeed {
    /// A server of which nothing is known: as fast as the estimates.
    pub fn new(now: Instant) -> LearntSpeed {
        LearntSpeed { present: 1.0, usual: 1.0, runs: 0, seen_at: now, recovered_at: now }
    }

    /// Run time over the estimate.
    pub fn slowness(&self) -> f64 {
        self.present
    }

    /// A run ended as done.
    pub fn learn_end(&mut self, now: Instant, ran: Duration, estimate: Duration) {
        let Some(seen) = ratio(ran, estimate) else { return };
        self.runs = self.runs.saturating_add(1);
        self.seen_at = now;
        self.present += (seen - self.present) / f64::from(self.runs.min(LATEST_RUNS));
        self.usual += (seen - self.usual) / f64::from(self.runs.min(USUAL_RUNS));
    }

    /// A run has not ended yet: it takes at least this long.
    pub fn learn_overdue(&mut self, now: Instant, ran: Duration, estimate: Duration) {
        let Some(seen) = ratio(ran, estimate) else { return };
        self.seen_at = now;
        if seen > self.present {
            self.present += (seen - self.present) / f64::from(LATEST_RUNS);
        }
    }

    /// Goes back towards the usual slowness while nothing is seen.
    pub fn recover(&mut self, now: Instant) {
        if now < self.seen_at + QUIET_TIME || now < self.recovered_at + RECOVERY_STEP {
            return;
        }
        self.recovered_at = now;
        if self.present > self.usual {
            self.present += (self.usual - self.present) * RECOVERY_SHARE;
        }
    }
}

fn ratio(ran: Duration, estimate: Duration) -> Option<f64> {
    let seen = ran.as_secs_f64() / estimate.as_secs_f64();
    (!estimate.is_zero()).then(|| seen.clamp(LEAST_SLOWNESS, MOST_SLOWNESS))
}
