//! Owns what was learnt of run times: of each service, of each worker's speed
//! for it, and of how far declared run times can be trusted.
//!
//! Invariant: every estimate is finite and above zero.

use std::time::Duration;

use indexmap::IndexMap;
use model::{ServiceId, WorkerId};

const LEAST_GAIN: f64 = 0.02;
const LEAST_SPEED: f64 = 0.02;
const MOST_SPEED: f64 = 50.0;
const LEAST_RUN_US: f64 = 1.0;

/// Running mean that turns into an exponential average.
#[derive(Debug, Clone, Copy)]
struct LearntMean {
    value: f64,
    samples: u32,
}

impl LearntMean {
    fn new(prior: f64) -> LearntMean {
        LearntMean { value: prior, samples: 1 }
    }

    fn learn(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(LEAST_GAIN);
        self.value += gain * (sample - self.value);
    }
}

#[derive(Debug, Clone)]
struct ServiceTimes {
    mean_us: LearntMean,
    /// Run time over declared run time.
    declared_ratio: LearntMean,
    /// Mean square of the relative error of declared run times.
    declared_error: LearntMean,
    speeds: IndexMap<WorkerId, LearntMean>,
}

impl ServiceTimes {
    fn new(declared: Duration) -> ServiceTimes {
        ServiceTimes {
            mean_us: LearntMean::new(declared.as_micros() as f64),
            declared_ratio: LearntMean::new(1.0),
            declared_error: LearntMean::new(0.5),
            speeds: IndexMap::new(),
        }
    }

    /// Weighs the declared run time by how well such figures held so far.
    fn base_us(&self, declared: Option<Duration>) -> f64 {
        let mean = self.mean_us.value;
        let Some(declared) = declared else { return mean.max(LEAST_RUN_US) };
        let corrected = declared.as_micros() as f64 * self.declared_ratio.value;
        let trust = 1.0 / (1.0 + 4.0 * self.declared_error.value);
        (trust * corrected + (1.0 - trust) * mean).max(LEAST_RUN_US)
    }
}

/// Learnt run times of all services.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    services: IndexMap<ServiceId, ServiceTimes>,
}

impl RunTimes {
    /// Makes a service known with its declared run time as the prior.
    pub fn declare(&mut self, service: &ServiceId, declared: Duration) {
        self.services.entry(service.clone()).or_insert_with(|| ServiceTimes::new(declared));
    }

    /// Expected run time in microseconds on a worker of speed 1.
    pub fn base_us(&self, service: &ServiceId, declared: Option<Duration>) -> f64 {
        self.services.get(service).map_or(LEAST_RUN_US, |times| times.base_us(declared))
    }

    /// Run time of `worker` relative to the mean; above 1 is slower.
    pub fn speed(&self, service: &ServiceId, worker: &WorkerId) -> f64 {
        let times = self.services.get(service);
        let speed = times.and_then(|times| times.speeds.get(worker)).map_or(1.0, |s| s.value);
        speed.clamp(LEAST_SPEED, MOST_SPEED)
    }

    /// Learns from a run that ended.
    pub fn learn(
        &mut self,
        service: &ServiceId,
        worker: &WorkerId,
        declared: Option<Duration>,
        run: Duration,
    ) {
        let Some(times) = self.services.get_mut(service) else { return };
        let run_us = (run.as_micros() as f64).max(LEAST_RUN_US);
        let expected_us = times.base_us(declared);
        let speed = times.speeds.entry(worker.clone()).or_insert(LearntMean::new(1.0));
        let usual_run_us = run_us / speed.value.clamp(LEAST_SPEED, MOST_SPEED);
        speed.learn(run_us / expected_us);
        times.mean_us.learn(usual_run_us);
        if let Some(declared) = declared {
            let declared_us = (declared.as_micros() as f64).max(LEAST_RUN_US);
            times.declared_ratio.learn((usual_run_us / declared_us).min(MOST_SPEED));
            let corrected = declared_us * times.declared_ratio.value;
            let error = (usual_run_us - corrected) / usual_run_us.max(corrected);
            times.declared_error.learn(error * error);
        }
    }

    /// Forgets a worker that has gone.
    pub fn forget(&mut self, worker: &WorkerId) {
        for times in self.services.values_mut() {
            times.speeds.swap_remove(worker);
        }
    }
}
