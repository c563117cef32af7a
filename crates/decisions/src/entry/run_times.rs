//! Owns what was learnt of run times: of each service, of each worker's speed
//! for it, and of how far declared run times can be trusted.
//!
//! Invariant: every estimate is finite and above zero.

use std::time::Duration;

use indexmap::IndexMap;
use model::{ServiceId, WorkerId};

/// Weight of a new sample once many have been seen. Run times spread widely,
/// so a worker's speed is told apart from chance only over hundreds of runs.
const LEAST_GAIN: f64 = 0.005;
/// Weight of a new sample in the recent average, which notices change.
const RECENT_GAIN: f64 = 0.08;
/// The recent average has left the long one behind by this factor: what was
/// learnt before is out of date.
const CHANGE_FACTOR: f64 = 2.0;
/// Samples before the recent average is trusted.
const LEAST_SAMPLES: u32 = 20;
const LEAST_SPEED: f64 = 0.02;
const MOST_SPEED: f64 = 50.0;
const LEAST_RUN_US: f64 = 1.0;

/// Running mean that turns into a slow exponential average, and starts anew
/// when recent samples have moved away from it.
#[derive(Debug, Clone, Copy)]
struct LearntMean {
    value: f64,
    recent: f64,
    samples: u32,
}

impl LearntMean {
    fn new(prior: f64) -> LearntMean {
        LearntMean { value: prior, recent: prior, samples: 1 }
    }

    fn learn(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let share = 1.0 / f64::from(self.samples);
        self.value += share.max(LEAST_GAIN) * (sample - self.value);
        self.recent += share.max(RECENT_GAIN) * (sample - self.recent);
        let factor = self.recent / self.value.max(f64::MIN_POSITIVE);
        let changed = !(1.0 / CHANGE_FACTOR..=CHANGE_FACTOR).contains(&factor);
        if changed && self.samples >= LEAST_SAMPLES {
            self.value = self.recent;
            self.samples = LEAST_SAMPLES / 2;
        }
    }
}

#[derive(Debug, Clone)]
struct ServiceTimes {
    mean_us: LearntMean,
    /// Mean of one over the run time: a wait weighs more on short tasks.
    inverse_us: LearntMean,
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
            inverse_us: LearntMean::new(1.0 / (declared.as_micros() as f64).max(LEAST_RUN_US)),
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
        let trust = (1.0 - self.declared_error.value).clamp(0.0, 1.0).powi(2);
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

    /// Run time against which a wait is weighed, in microseconds: the expected
    /// one where a task declares it, the harmonic mean otherwise. Slowdown is
    /// a ratio, so of unknown tasks the short ones count for most.
    pub fn typical_us(&self, service: &ServiceId, declared: Option<Duration>) -> f64 {
        match self.services.get(service) {
            Some(times) if declared.is_none() => {
                (1.0 / times.inverse_us.value.max(f64::MIN_POSITIVE)).max(LEAST_RUN_US)
            }
            _ => self.base_us(service, declared),
        }
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
        times.inverse_us.learn(1.0 / usual_run_us);
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
