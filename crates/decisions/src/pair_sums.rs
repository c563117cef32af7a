//! Sums of the comparison of one kind of tasks with and without another beside it, as agents
//! collect them and schedulers pool them.
//!
//! Invariant: all sums decay alike, so that means and variances don't change without samples.

use std::time::{Duration, Instant};

use model::{PairReport, QueueId};

/// Time in which the sums halve without new samples.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Degrees of freedom that the variance of a report has at least.
const MIN_FREEDOM: f64 = 4.0;
/// Bounds on what a report may say: beyond what agents send, and within what can be summed.
const MAX_COUNT: u32 = 1_000_000;
const MAX_EXCESS_MILLI: i32 = 4_000;
const MAX_VARIANCE_MILLI: u32 = 16_000;

/// Sums of the comparison of one pair of kinds, as of one time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PairSums {
    /// Number of samples with the second kind present, and without it.
    pub(crate) beside: f64,
    pub(crate) alone: f64,
    /// Sum of the weights of the blocks: the inverse of the variance of their differences, up
    /// to a constant.
    weight: f64,
    /// Sum of the weighted differences.
    weighted_excess: f64,
    /// Sum of the squared deviations from the means of the sorts, and its degrees of freedom.
    squares: f64,
    freedom: f64,
    at: Instant,
}

impl PairSums {
    /// Sums without samples.
    pub(crate) fn new(at: Instant) -> PairSums {
        PairSums {
            beside: 0.0,
            alone: 0.0,
            weight: 0.0,
            weighted_excess: 0.0,
            squares: 0.0,
            freedom: 0.0,
            at,
        }
    }

    /// The same sums at a later time, without new samples.
    pub(crate) fn decayed(self, now: Instant) -> PairSums {
        let elapsed = now.saturating_duration_since(self.at);
        let factor = (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        PairSums {
            beside: self.beside * factor,
            alone: self.alone * factor,
            weight: self.weight * factor,
            weighted_excess: self.weighted_excess * factor,
            squares: self.squares * factor,
            freedom: self.freedom * factor,
            at: self.at.max(now),
        }
    }

    /// Adds the samples of a block; none if it lacks one of the sorts.
    pub(crate) fn add_block(&mut self, now: Instant, beside: &[f64], alone: &[f64]) {
        if beside.is_empty() || alone.is_empty() {
            return;
        }
        *self = self.decayed(now);
        let (with, without) = (beside.len() as f64, alone.len() as f64);
        let weight = with * without / (with + without);
        self.beside += with;
        self.alone += without;
        self.weight += weight;
        self.weighted_excess += weight * (mean(beside) - mean(alone));
        self.squares += squares(beside) + squares(alone);
        self.freedom += with + without - 2.0;
    }

    /// Adds other sums, both as of `now`.
    pub(crate) fn add(&mut self, now: Instant, other: PairSums) {
        let (own, other) = (self.decayed(now), other.decayed(now));
        *self = PairSums {
            beside: own.beside + other.beside,
            alone: own.alone + other.alone,
            weight: own.weight + other.weight,
            weighted_excess: own.weighted_excess + other.weighted_excess,
            squares: own.squares + other.squares,
            freedom: own.freedom + other.freedom,
            at: own.at,
        };
    }

    /// Mean difference of the logarithms; zero without samples.
    pub(crate) fn excess(&self) -> f64 {
        if self.weight > 0.0 { self.weighted_excess / self.weight } else { 0.0 }
    }

    /// Standard error of the difference; infinity without samples.
    pub(crate) fn standard_error(&self) -> f64 {
        if self.weight <= 0.0 || self.freedom <= 0.0 {
            return f64::INFINITY;
        }
        (self.squares / self.freedom / self.weight).sqrt()
    }

    /// Number of samples of the sort of which there are fewer.
    pub(crate) fn rarer(&self) -> f64 {
        self.beside.min(self.alone)
    }

    /// Number of samples of both sorts.
    pub(crate) fn samples(&self) -> f64 {
        self.beside + self.alone
    }

    /// Whether the weight differs by more than this share of the other's, or the difference by
    /// more than this amount.
    pub(crate) fn differs(&self, other: &PairSums, share: f64, excess: f64) -> bool {
        (self.weight - other.weight).abs() > share * other.weight
            || (self.excess() - other.excess()).abs() > excess
    }

    /// The report of these sums; `None` while there are too few samples.
    pub(crate) fn report(&self, first: &QueueId, second: &QueueId) -> Option<PairReport> {
        let milli = |value: f64| (value * 1_000.0).round();
        (self.freedom >= MIN_FREEDOM && self.rarer() >= 1.0).then(|| PairReport {
            first: first.clone(),
            second: second.clone(),
            beside: self.beside.round() as u32,
            alone: self.alone.round() as u32,
            weight_milli: milli(self.weight) as u32,
            excess_milli: milli(self.excess()) as i32,
            variance_milli: milli(self.squares / self.freedom) as u32,
        })
    }

    /// The sums of a report that arrived now, limited to what can be true.
    pub(crate) fn of_report(now: Instant, report: &PairReport) -> PairSums {
        let beside = f64::from(report.beside.min(MAX_COUNT));
        let alone = f64::from(report.alone.min(MAX_COUNT));
        let samples = beside + alone;
        let max_weight = beside * alone / samples.max(1.0);
        let weight = (f64::from(report.weight_milli) / 1_000.0).min(max_weight);
        let excess = report.excess_milli.clamp(-MAX_EXCESS_MILLI, MAX_EXCESS_MILLI);
        let variance = report.variance_milli.min(MAX_VARIANCE_MILLI);
        PairSums {
            beside,
            alone,
            weight,
            weighted_excess: weight * f64::from(excess) / 1_000.0,
            squares: samples * f64::from(variance) / 1_000.0,
            freedom: samples,
            at: now,
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn squares(values: &[f64]) -> f64 {
    let mean = mean(values);
    values.iter().map(|value| (value - mean).powi(2)).sum()
}
