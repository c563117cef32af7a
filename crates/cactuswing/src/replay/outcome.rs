//! Owns the outcomes of a replay's calls and the report that sums them up.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use model::{Payload, Problem, Ran, RoutingPolicy};
use serde::Serialize;

/// One call: what its answer must contain, when it was sent and how it ended.
#[derive(Debug, Clone)]
pub struct CallOutcome {
    /// `team/submission`; empty for a request without a key.
    pub job: String,
    /// What the answer of each task must echo.
    pub echoes: Vec<String>,
    /// When the client began to send, before the client's network delay.
    pub sent_at: Instant,
    /// When the answer reached the client, or the client stopped waiting.
    pub answered_at: Instant,
    /// Lower bound of the response time without queueing or overhead.
    pub ideal: Duration,
    /// How the call ended.
    pub answer: CallAnswer,
}

/// How a call ended.
#[derive(Debug, Clone)]
pub enum CallAnswer {
    /// Every task's answer, in the order of the tasks.
    Whole(Vec<Payload>),
    /// An answer that reports a failure.
    Failed(Problem),
    /// The body of an answer that is neither of these.
    Strange(String),
    /// No answer, and why.
    None(String),
}

impl CallOutcome {
    /// Response time minus the ideal, in milliseconds; at least 0.
    pub fn excess_ms(&self) -> f64 {
        let response = self.answered_at.saturating_duration_since(self.sent_at);
        response.saturating_sub(self.ideal).as_secs_f64() * 1e3
    }

    /// Response time divided by the ideal.
    pub fn slowdown(&self) -> f64 {
        let response = self.answered_at.saturating_duration_since(self.sent_at);
        response.as_secs_f64() / self.ideal.as_secs_f64().max(1e-6)
    }
}

/// Distribution of the slowdowns of calls that were answered in full.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Slowdowns {
    /// Median slowdown.
    pub p50: f64,
    /// 99th percentile of the slowdown.
    pub p99: f64,
    /// 99.9th percentile of the slowdown.
    pub p999: f64,
    /// Mean slowdown.
    pub mean: f64,
    /// Median of the response time minus the ideal, in milliseconds.
    pub excess_p50_ms: f64,
    /// 99th percentile of the response time minus the ideal, in milliseconds.
    pub excess_p99_ms: f64,
}

/// Values are multiplied by this and recorded as integers, so that histograms
/// resolve thousandths.
const HISTOGRAM_SCALE: f64 = 1_000.0;
/// Largest scaled value; larger ones are counted as this one.
const MAX_SCALED: u64 = 1_000_000_000;

impl Slowdowns {
    /// Computes the distribution; calls not answered in full are left out.
    pub fn of(calls: &[CallOutcome]) -> Slowdowns {
        let whole = || calls.iter().filter(|call| matches!(call.answer, CallAnswer::Whole(_)));
        let ratios = scaled_histogram(whole().map(CallOutcome::slowdown));
        let excess = scaled_histogram(whole().map(CallOutcome::excess_ms));
        Slowdowns {
            p50: quantile(&ratios, 0.5),
            p99: quantile(&ratios, 0.99),
            p999: quantile(&ratios, 0.999),
            mean: ratios.as_ref().map_or(0.0, |ratios| ratios.mean() / HISTOGRAM_SCALE),
            excess_p50_ms: quantile(&excess, 0.5),
            excess_p99_ms: quantile(&excess, 0.99),
        }
    }
}

fn scaled_histogram(values: impl Iterator<Item = f64>) -> Option<Histogram<u64>> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_SCALED, 3).ok()?;
    values.for_each(|value| histogram.saturating_record((value * HISTOGRAM_SCALE) as u64));
    Some(histogram)
}

fn quantile(histogram: &Option<Histogram<u64>>, quantile: f64) -> f64 {
    histogram
        .as_ref()
        .map_or(0.0, |counts| counts.value_at_quantile(quantile) as f64 / HISTOGRAM_SCALE)
}

/// Results of one replay, written as JSON by `replay`, `try` and `load`.
#[derive(Debug, Clone, Serialize)]
pub struct ReplayReport {
    /// Name of the trace.
    pub trace: String,
    /// Routing policy of the replay.
    pub policy: RoutingPolicy,
    /// Number of calls sent.
    pub calls: usize,
    /// Number of calls answered in full.
    pub completed: usize,
    /// Number of calls answered with a failure, by its kind and whether it ran.
    pub failed: IndexMap<String, usize>,
    /// Number of calls without any answer.
    pub unanswered: usize,
    /// Number of task starts, as recorded by the backend servers.
    pub starts: usize,
    /// Slowdowns of the calls answered in full.
    pub slowdown: Slowdowns,
    /// Number of messages by kind.
    pub messages: IndexMap<String, u64>,
    /// Wasted messages per call answered in full.
    pub wasted_per_completed: f64,
    /// One message for each violated invariant or expectation.
    pub violations: Vec<String>,
    /// Duration of the replay in seconds, without the cluster's start and stop.
    pub seconds: f64,
    /// Seconds of processor time by duty.
    pub duty_seconds: IndexMap<String, f64>,
}

/// Counts failures by their kind and whether anything ran.
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

/// Whether the call's answer reports that none of its tasks ran.
pub(super) fn reports_not_run(call: &CallOutcome) -> bool {
    matches!(&call.answer, CallAnswer::Failed(problem) if problem.ran == Ran::No)
}
