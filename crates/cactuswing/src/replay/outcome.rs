//! Owns what a replay saw, and the report that is made of it.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use model::{Payload, Problem, Ran, RoutingPolicy};
use serde::Serialize;

/// What one call asked for and got.
#[derive(Debug, Clone)]
pub struct CallOutcome {
    /// `team/submission`; empty for a request without a key.
    pub job: String,
    /// What each task must echo.
    pub echoes: Vec<String>,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its answer was there.
    pub answered_at: Instant,
    /// The ideal response time.
    pub ideal: Duration,
    /// The answer.
    pub answer: CallAnswer,
}

/// What a call got.
#[derive(Debug, Clone)]
pub enum CallAnswer {
    /// The whole answer: one value for each task.
    Whole(Vec<Payload>),
    /// A failure.
    Failed(Problem),
    /// An answer of another form.
    Strange(String),
    /// Nothing.
    None(String),
}

impl CallOutcome {
    /// Response time less the ideal, in milliseconds.
    pub fn excess_ms(&self) -> f64 {
        let response = self.answered_at.saturating_duration_since(self.sent_at);
        response.saturating_sub(self.ideal).as_secs_f64() * 1e3
    }

    /// Response time over the ideal.
    pub fn slowdown(&self) -> f64 {
        let response = self.answered_at.saturating_duration_since(self.sent_at);
        response.as_secs_f64() / self.ideal.as_secs_f64().max(1e-6)
    }
}

/// Slowdowns of the calls that were answered in full.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Slowdowns {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Mean.
    pub mean: f64,
    /// Median of the response time less the ideal, in milliseconds.
    pub excess_p50_ms: f64,
    /// 99th percentile of the same.
    pub excess_p99_ms: f64,
}

/// Values are counted in thousandths.
const SCALE: f64 = 1_000.0;
const MOST_SCALED: u64 = 1_000_000_000;

impl Slowdowns {
    /// Percentiles of the calls that were answered in full.
    pub fn of(calls: &[CallOutcome]) -> Slowdowns {
        let whole = || calls.iter().filter(|call| matches!(call.answer, CallAnswer::Whole(_)));
        let ratios = scaled_histogram(whole().map(CallOutcome::slowdown));
        let excess = scaled_histogram(whole().map(CallOutcome::excess_ms));
        Slowdowns {
            p50: quantile(&ratios, 0.5),
            p99: quantile(&ratios, 0.99),
            p999: quantile(&ratios, 0.999),
            mean: ratios.as_ref().map_or(0.0, |ratios| ratios.mean() / SCALE),
            excess_p50_ms: quantile(&excess, 0.5),
            excess_p99_ms: quantile(&excess, 0.99),
        }
    }
}

fn scaled_histogram(values: impl Iterator<Item = f64>) -> Option<Histogram<u64>> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MOST_SCALED, 3).ok()?;
    values.for_each(|value| histogram.saturating_record((value * SCALE) as u64));
    Some(histogram)
}

fn quantile(histogram: &Option<Histogram<u64>>, quantile: f64) -> f64 {
    histogram.as_ref().map_or(0.0, |known| known.value_at_quantile(quantile) as f64 / SCALE)
}

/// What a replay came to.
#[derive(Debug, Clone, Serialize)]
pub struct ReplayReport {
    /// The trace.
    pub trace: String,
    /// The routing policy.
    pub policy: RoutingPolicy,
    /// Calls sent.
    pub calls: usize,
    /// Calls answered in full.
    pub completed: usize,
    /// Calls that failed, by kind and whether they ran.
    pub failed: IndexMap<String, usize>,
    /// Calls without an answer.
    pub unanswered: usize,
    /// Starts that the backend servers saw.
    pub starts: usize,
    /// Slowdowns.
    pub slowdown: Slowdowns,
    /// Messages by kind.
    pub messages: IndexMap<String, u64>,
    /// Wasted messages for each call answered in full.
    pub wasted_per_completed: f64,
    /// Stated outcomes and promises that did not hold.
    pub violations: Vec<String>,
    /// Seconds that the replay took.
    pub seconds: f64,
    /// Seconds of processor time by duty.
    pub duty_seconds: IndexMap<String, f64>,
}

/// Counts failures by kind and whether they ran.
pub(super) fn count_failures(calls: &[CallOutcome]) -> IndexMap<String, usize> {
    let mut failed = IndexMap::new();
    for call in calls {
        if let CallAnswer::Failed(problem) = &call.answer {
            let name = format!("{} (ran: {})", problem.kind, problem.ran);
            *failed.entry(name).or_default() += 1;
        }
    }
    failed.sort_unstable_keys();
    failed
}

/// Whether a call's answer says that nothing of it ran.
pub(super) fn says_not_run(call: &CallOutcome) -> bool {
    matches!(&call.answer, CallAnswer::Failed(problem) if problem.ran == Ran::No)
}
