//! Estimates the speed of a backend server from its run times, as moving
//! averages.
//!
//! Handles the load patterns *servers that turn slow* and *tasks that stand
//! still*: overdue runs count as samples as well as completed ones, and without
//! new samples the estimate decays to its baseline, so that a server that has
//! recovered gets work again.

use std::time::{Duration, Instant};

/// Window of the current slowness, in runs; recent runs weigh most.
const CURRENT_WINDOW_RUNS: u32 = 8;
/// Window of the baseline slowness, in runs.
const BASELINE_WINDOW_RUNS: u32 = 64;
/// Bounds on the sample that one run gives.
const MIN_SLOWNESS: f64 = 0.1;
const MAX_SLOWNESS: f64 = 20.0;
/// Time without samples after which the estimate starts to decay.
const DECAY_DELAY: Duration = Duration::from_secs(1);
/// Interval of the decay, and the share of the difference from the baseline
/// that each step removes.
const DECAY_INTERVAL: Duration = Duration::from_millis(250);
const DECAY_SHARE: f64 = 0.25;
/// Factor up to which the estimate may exceed the agent's figure without effect: the latest
/// eight runs are those of two or three jobs, which share their estimation errors.
const TOLERATED_FACTOR: f64 = 2.0;

/// Slowness of a backend server: the ratio of run times to their estimates.
#[derive(Debug, Clone)]
pub struct SpeedEstimate {
    current: f64,
    baseline: f64,
    runs: u32,
    last_sample_at: Instant,
    last_decay_at: Instant,
}

impl SpeedEstimate {
    /// Creates the estimate for a server without samples: slowness 1.
    pub fn new(now: Instant) -> SpeedEstimate {
        SpeedEstimate {
            current: 1.0,
            baseline: 1.0,
            runs: 0,
            last_sample_at: now,
            last_decay_at: now,
        }
    }

    /// Returns the current ratio of run times to estimates; above 1 is slower.
    pub fn slowness(&self) -> f64 {
        self.current
    }

    /// Returns the ratio by the figure that the agent has reported, if there is one, raised
    /// where this estimate shows the server to be much slower at present.
    pub fn slowness_with(&self, reported: Option<f64>) -> f64 {
        let Some(reported) = reported else { return self.current };
        let reported = reported.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        reported.max(self.current / TOLERATED_FACTOR)
    }

    /// Adds a sample from a run that completed.
    pub fn add_sample(&mut self, now: Instant, ran: Duration, estimate: Duration) {
        let Some(sample) = slowness_sample(ran, estimate) else { return };
        self.runs = self.runs.saturating_add(1);
        self.last_sample_at = now;
        self.current += (sample - self.current) / f64::from(self.runs.min(CURRENT_WINDOW_RUNS));
        self.baseline += (sample - self.baseline) / f64::from(self.runs.min(BASELINE_WINDOW_RUNS));
    }

    /// Adds a sample from a run that has not ended after `ran`, which is a lower
    /// bound on its run time and can only raise the estimate.
    pub fn add_overdue_sample(&mut self, now: Instant, ran: Duration, estimate: Duration) {
        let Some(sample) = slowness_sample(ran, estimate) else { return };
        self.last_sample_at = now;
        if sample > self.current {
            self.current += (sample - self.current) / f64::from(CURRENT_WINDOW_RUNS);
        }
    }

    /// Decays the current slowness towards the baseline while there are no
    /// samples.
    pub fn decay(&mut self, now: Instant) {
        if now < self.last_sample_at + DECAY_DELAY || now < self.last_decay_at + DECAY_INTERVAL {
            return;
        }
        self.last_decay_at = now;
        if self.current > self.baseline {
            self.current += (self.baseline - self.current) * DECAY_SHARE;
        }
    }
}

/// Bounded ratio of a run time to its estimate; `None` without an estimate.
fn slowness_sample(ran: Duration, estimate: Duration) -> Option<f64> {
    let sample = ran.as_secs_f64() / estimate.as_secs_f64();
    (!estimate.is_zero()).then(|| sample.clamp(MIN_SLOWNESS, MAX_SLOWNESS))
}

/// Ratio of the mean of run time over estimate to its geometric mean, which agents report, for
/// a normal distribution of the logarithm with this standard deviation. This scheduler's own
/// samples give means, and deadlines are weighed by means: with geometric means as they were
/// reported, long tasks started on slow servers that they outlasted.
pub(super) fn mean_factor(estimate_spread: f64) -> f64 {
    (estimate_spread * estimate_spread / 2.0).exp()
}
