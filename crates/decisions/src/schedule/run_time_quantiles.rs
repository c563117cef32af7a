//! Learns by queue how run times are distributed over their estimates.
//!
//! Handles the load pattern *jobs that outlast their callers*: whether a job whose
//! expected run is about as long as its caller waits is likely to end in time depends on
//! how far the estimates of its queue are off. An estimate far above the queue's usual one
//! is more likely to be too high, so the ratio is fitted to the estimate first.
//!
//! Invariant: memory is bounded, by the number of queues and of samples of each.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::QueueId;

/// Number of jobs of a queue that have to be known before any quantile is.
const MIN_SAMPLES: usize = 50;
/// Number of the latest jobs of a queue that count.
const MAX_SAMPLES: usize = 256;
/// Time after which a job no longer counts: refused jobs give no samples, so that what has
/// changed since would not show otherwise.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(60);
/// Number of new jobs after which the fit is computed again.
const REFIT_INTERVAL: usize = 16;
/// Number of queues that are remembered.
const MAX_QUEUES: usize = 256;
/// Least variance of the logarithm of the estimates for which the ratio is fitted to them.
const MIN_VARIANCE: f64 = 0.01;
/// Bounds on the ratio of a run time to its estimate.
const MIN_RATIO: f64 = 0.01;
const MAX_RATIO: f64 = 100.0;

/// Run time and estimate of one job; natural logarithms.
#[derive(Debug, Clone, Copy)]
struct RunSample {
    at: Instant,
    /// Of the estimate in seconds.
    estimate: f64,
    /// Of the ratio of run time to estimate.
    ratio: f64,
}

/// Distribution of the ratio around a line over the estimate.
#[derive(Debug, Clone)]
struct RatioFit {
    mean_estimate: f64,
    /// Change of the ratio with the estimate, from -1 (run times don't depend on it) to 0.
    slope: f64,
    /// Ratios at the mean estimate, ascending.
    ratios: Vec<f64>,
}

impl RatioFit {
    fn new(samples: &VecDeque<RunSample>) -> RatioFit {
        let count = samples.len().max(1) as f64;
        let mean = |value: fn(&RunSample) -> f64| samples.iter().map(value).sum::<f64>() / count;
        let mean_estimate = mean(|sample| sample.estimate);
        let mean_ratio = mean(|sample| sample.ratio);
        let (mut variance, mut covariance) = (0.0, 0.0);
        for sample in samples {
            let from_mean = sample.estimate - mean_estimate;
            variance += from_mean * from_mean / count;
            covariance += from_mean * (sample.ratio - mean_ratio) / count;
        }
        let slope = if variance < MIN_VARIANCE { 0.0 } else { covariance / variance };
        let slope = slope.clamp(-1.0, 0.0);
        let at_mean = |sample: &RunSample| sample.ratio - slope * (sample.estimate - mean_estimate);
        let mut ratios: Vec<f64> = samples.iter().map(at_mean).collect();
        ratios.sort_by(f64::total_cmp);
        RatioFit { mean_estimate, slope, ratios }
    }

    fn quantile(&self, estimate: f64, share: f64) -> Option<f64> {
        let position = (share * self.ratios.len() as f64) as usize;
        let ratio = self.ratios.get(position).or(self.ratios.last())?;
        Some((ratio + self.slope * (estimate - self.mean_estimate)).exp())
    }
}

/// Run times of the latest jobs of one queue.
#[derive(Debug, Clone, Default)]
struct QueueRuns {
    samples: VecDeque<RunSample>,
    fit: Option<RatioFit>,
    /// Number of samples since the fit was computed.
    unfitted: usize,
}

impl QueueRuns {
    fn add(&mut self, sample: RunSample) {
        let is_old = |old: &mut RunSample| old.at + MAX_SAMPLE_AGE <= sample.at;
        while self.samples.pop_front_if(is_old).is_some() {}
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        self.unfitted += 1;
        if self.samples.len() < MIN_SAMPLES {
            self.fit = None;
        } else if self.fit.is_none() || self.unfitted >= REFIT_INTERVAL {
            self.fit = Some(RatioFit::new(&self.samples));
            self.unfitted = 0;
        }
    }

    /// The fit, unless no sample is recent.
    fn fit(&self, now: Instant) -> Option<&RatioFit> {
        let latest = self.samples.back()?;
        self.fit.as_ref().filter(|_| now < latest.at + MAX_SAMPLE_AGE)
    }
}

/// Distribution of run time over estimate, by queue.
#[derive(Debug, Clone, Default)]
pub struct RunTimeQuantiles {
    queues: IndexMap<QueueId, QueueRuns>,
}

impl RunTimeQuantiles {
    /// Adds a job that ended: its estimate, and the ratio of its run time to it on a backend
    /// server of slowness 1.
    pub fn add_job(&mut self, now: Instant, queue: &QueueId, estimate: Duration, ratio: f64) {
        if estimate.is_zero() || !ratio.is_finite() {
            return;
        }
        if !self.queues.contains_key(queue) && self.queues.len() >= MAX_QUEUES {
            self.queues.shift_remove_index(0);
        }
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO).ln();
        let sample = RunSample { at: now, estimate: estimate.as_secs_f64().ln(), ratio };
        self.queues.entry(queue.clone()).or_default().add(sample);
    }

    /// Ratio of run time to estimate that this share of the queue's jobs with such an
    /// estimate do not exceed; `None` until enough jobs are known.
    pub fn quantile(
        &self,
        now: Instant,
        queue: &QueueId,
        estimate: Duration,
        share: f64,
    ) -> Option<f64> {
        let fit = self.queues.get(queue)?.fit(now)?;
        fit.quantile(estimate.as_secs_f64().ln(), share).filter(|ratio| ratio.is_finite())
    }

    /// Number of queues that are known.
    pub fn queue_count(&self) -> usize {
        self.queues.len()
    }
}
