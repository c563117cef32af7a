//! Owns run time estimates: the mean of each service, the slowness of each worker
//! for it, and the accuracy of declared run times.
//!
//! Invariant: every estimate is finite and above zero.

use std::time::Duration;

use indexmap::IndexMap;
use model::{ServiceId, WorkerId};

/// Lower bound of the weight of a new sample. Run times vary widely, so it
/// takes hundreds of runs to tell a difference in worker speed from noise.
const MIN_GAIN: f64 = 0.005;
/// Weight of a new sample in the recent average, which detects changes.
const RECENT_GAIN: f64 = 0.08;
/// Ratio between the recent and the long-term average, in either direction,
/// from which the long-term one is taken to be out of date.
const CHANGE_FACTOR: f64 = 2.0;
/// Samples needed before the recent average may replace the long-term one.
const MIN_SAMPLES: u32 = 20;
/// Bounds of a worker's run time relative to the mean. The upper one also bounds
/// the samples of the ratio of actual to declared run time.
const MIN_SLOWNESS: f64 = 0.02;
const MAX_SLOWNESS: f64 = 50.0;
/// Lower bound of run times, in microseconds; they are divisors.
const MIN_RUN_US: f64 = 1.0;

/// Running mean that becomes a slow exponential average, and restarts from the
/// recent average when that has moved away from it.
#[derive(Debug, Clone, Copy)]
struct MeanEstimate {
    value: f64,
    recent: f64,
    samples: u32,
}

impl MeanEstimate {
    fn new(prior: f64) -> MeanEstimate {
        MeanEstimate { value: prior, recent: prior, samples: 1 }
    }

    fn add_sample(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = 1.0 / f64::from(self.samples);
        self.value += gain.max(MIN_GAIN) * (sample - self.value);
        self.recent += gain.max(RECENT_GAIN) * (sample - self.recent);
        let factor = self.recent / self.value.max(f64::MIN_POSITIVE);
        let changed = !(1.0 / CHANGE_FACTOR..=CHANGE_FACTOR).contains(&factor);
        if changed && self.samples >= MIN_SAMPLES {
            self.value = self.recent;
            self.samples = MIN_SAMPLES / 2;
        }
    }
}

#[derive(Debug, Clone)]
struct ServiceTimes {
    mean_us: MeanEstimate,
    /// Mean of the inverse run time; it gives short tasks the weight that they
    /// have in slowdown.
    inverse_us: MeanEstimate,
    /// Mean ratio of actual to declared run time.
    declared_ratio: MeanEstimate,
    /// Mean square of the relative error of declared run times.
    declared_error: MeanEstimate,
    /// Ratio of the run time on each worker to the expected one; above 1 is slower.
    slowness_by_worker: IndexMap<WorkerId, MeanEstimate>,
}

impl ServiceTimes {
    fn new(declared: Duration) -> ServiceTimes {
        ServiceTimes {
            mean_us: MeanEstimate::new(declared.as_micros() as f64),
            inverse_us: MeanEstimate::new(1.0 / (declared.as_micros() as f64).max(MIN_RUN_US)),
            declared_ratio: MeanEstimate::new(1.0),
            declared_error: MeanEstimate::new(0.5),
            slowness_by_worker: IndexMap::new(),
        }
    }

    /// Expected run time: the corrected declared one and the mean, weighted by
    /// the accuracy of declared run times so far.
    fn base_us(&self, declared: Option<Duration>) -> f64 {
        let mean = self.mean_us.value;
        let Some(declared) = declared else { return mean.max(MIN_RUN_US) };
        let corrected = declared.as_micros() as f64 * self.declared_ratio.value;
        let weight = (1.0 - self.declared_error.value).clamp(0.0, 1.0).powi(2);
        (weight * corrected + (1.0 - weight) * mean).max(MIN_RUN_US)
    }
}

/// Run time estimates of all services.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    services: IndexMap<ServiceId, ServiceTimes>,
}

impl RunTimes {
    /// Adds a service, with its declared run time as the prior.
    pub fn declare(&mut self, service: &ServiceId, declared: Duration) {
        self.services.entry(service.clone()).or_insert_with(|| ServiceTimes::new(declared));
    }

    /// Expected run time in microseconds on a worker of slowness 1.
    pub fn base_us(&self, service: &ServiceId, declared: Option<Duration>) -> f64 {
        self.services.get(service).map_or(MIN_RUN_US, |times| times.base_us(declared))
    }

    /// Run time relative to which a wait is weighed, in microseconds: the
    /// expected one where the task declares it, the harmonic mean otherwise.
    /// Slowdown is a ratio, so among tasks of unknown length the short ones
    /// dominate it.
    pub fn typical_us(&self, service: &ServiceId, declared: Option<Duration>) -> f64 {
        match self.services.get(service) {
            Some(times) if declared.is_none() => {
                (1.0 / times.inverse_us.value.max(f64::MIN_POSITIVE)).max(MIN_RUN_US)
            }
            _ => self.base_us(service, declared),
        }
    }

    /// Run time of `worker` relative to the mean; above 1 is slower.
    pub fn slowness(&self, service: &ServiceId, worker: &WorkerId) -> f64 {
        let times = self.services.get(service);
        let slowness =
            times.and_then(|times| times.slowness_by_worker.get(worker)).map_or(1.0, |s| s.value);
        slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Updates the estimates with a run that ended.
    pub fn record_run(
        &mut self,
        service: &ServiceId,
        worker: &WorkerId,
        declared: Option<Duration>,
        run: Duration,
    ) {
        let Some(times) = self.services.get_mut(service) else { return };
        let run_us = (run.as_micros() as f64).max(MIN_RUN_US);
        let expected_us = times.base_us(declared);
        let slowness =
            times.slowness_by_worker.entry(worker.clone()).or_insert(MeanEstimate::new(1.0));
        let normalized_run_us = run_us / slowness.value.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        slowness.add_sample(run_us / expected_us);
        times.mean_us.add_sample(normalized_run_us);
        times.inverse_us.add_sample(1.0 / normalized_run_us);
        if let Some(declared) = declared {
            let declared_us = (declared.as_micros() as f64).max(MIN_RUN_US);
            times.declared_ratio.add_sample((normalized_run_us / declared_us).min(MAX_SLOWNESS));
            let corrected = declared_us * times.declared_ratio.value;
            let error = (normalized_run_us - corrected) / normalized_run_us.max(corrected);
            times.declared_error.add_sample(error * error);
        }
    }

    /// Drops the slowness estimates of a worker that departed.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        for times in self.services.values_mut() {
            times.slowness_by_worker.swap_remove(worker);
        }
    }
}
