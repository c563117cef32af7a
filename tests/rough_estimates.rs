//! Placement of tasks whose estimates are rough. Times are multiples of the task's estimated
//! run time.

use decisions::schedule::{RunTimeRange, TaskUrgency};

/// Run times on a fast, an ordinary and a slow server.
const RUN_TIMES: [f64; 3] = [0.8, 1.0, 1.25];
const FAST: f64 = RUN_TIMES[0];
const SLOW: f64 = RUN_TIMES[2];
/// Spread of run times over estimates, as the standard deviation of the logarithm.
const SPREAD: f64 = 0.45;

/// A task whose caller waits for `caller_remaining`; its deadline is the same.
fn urgency(caller_remaining: f64) -> TaskUrgency {
    TaskUrgency::new(caller_remaining, caller_remaining, RunTimeRange::from_iter(RUN_TIMES))
}

// Guards against long tasks on idle slow servers that outlast their callers, while fast ones
// have free capacity.
#[test]
fn long_avoids_slow() {
    let exact = urgency(1.9);
    assert!(exact.cost(SLOW, 0.0) < exact.cost(FAST, 0.6), "on both it is expected to be in time");
    let rough = exact.with_estimate_spread(SPREAD);
    assert!(rough.cost(FAST, 0.6) < rough.cost(SLOW, 0.0), "it may take longer than estimated");
}

// Guards against short tasks that crowd the fast servers, although they end in time on any.
#[test]
fn short_stays_flexible() {
    let short = urgency(25.0).with_estimate_spread(SPREAD);
    assert!(short.cost(SLOW, 0.0) < short.cost(FAST, 0.6));
}

#[test]
fn risk_grows_slower() {
    let task = urgency(1.9).with_estimate_spread(SPREAD);
    let risks: Vec<f64> = RUN_TIMES.iter().map(|time| task.outlast_probability(*time)).collect();
    assert!(risks.is_sorted(), "{risks:?}");
    assert!((task.outlast_probability(1.9) - 0.5).abs() < 1e-9, "even odds at the caller's wait");
}

#[test]
fn exact_estimates_unweighted() {
    assert_eq!(urgency(1.9).outlast_probability(SLOW), 0.0);
    let patient = TaskUrgency::new(1.9, f64::INFINITY, RunTimeRange::from_iter(RUN_TIMES));
    let patient = patient.with_estimate_spread(SPREAD);
    assert_eq!(patient.outlast_probability(SLOW), 0.0, "no caller waits for a stored job");
}
