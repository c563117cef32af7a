//! Estimates how much longer a run seems to a scheduler than to its agent: the
//! time of the order and the report on their way, and that of both in the queues
//! of an overloaded scheduler.
//!
//! Handles the load pattern *a scheduler that lags*: runs whose ends it has not
//! handled yet must not count as overdue.

use std::time::Duration;

/// Share of the difference to a lower sample that one sample removes.
const DECAY_SHARE: f64 = 1.0 / 32.0;

/// The estimate: rises to a higher sample at once and falls slowly.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportDelay {
    estimate: Duration,
}

impl ReportDelay {
    /// The current estimate.
    pub fn estimate(&self) -> Duration {
        self.estimate
    }

    /// Adds the delay of one run.
    pub fn add_sample(&mut self, sample: Duration) {
        let excess = self.estimate.saturating_sub(sample);
        self.estimate = sample.max(self.estimate - excess.mul_f64(DECAY_SHARE));
    }
}
