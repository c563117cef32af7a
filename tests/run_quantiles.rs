//! Distribution of run time over estimate, by queue. Guards against jobs that are started
//! although they are more likely to outlast their callers than not, and against refusals of
//! jobs that are likely to end in time: by few jobs, by outliers, by estimates that are off,
//! and by run times of long ago.

use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::schedule::RunTimeQuantiles;
use model::{AdmissionRule, JobPhase, JobReply, JobStep, QueueId, QueuedJob, RefusalCause};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::schedule_model::{CallStatus, ScheduleModel, job};

const ENTRY: usize = 1;
const ESTIMATE: Duration = Duration::from_millis(900);
const SEED: u64 = 7;

fn queue() -> QueueId {
    "long".into()
}

/// The median ratio of jobs of an estimate.
fn median(known: &RunTimeQuantiles, now: Instant, estimate: Duration) -> Option<f64> {
    known.quantile(now, &queue(), estimate, 0.5)
}

/// A factor with a log-normal distribution of this spread.
fn factor(random: &mut StdRng, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    (normal * spread).exp()
}

#[test]
fn few_jobs_unknown() {
    let now = Instant::now();
    let mut known = RunTimeQuantiles::default();
    for _ in 0..49 {
        known.add_job(now, &queue(), ESTIMATE, 1.4);
    }
    assert_eq!(median(&known, now, ESTIMATE), None);
    known.add_job(now, &queue(), ESTIMATE, 1.4);
    let ratio = median(&known, now, ESTIMATE).expect("50 jobs are enough");
    assert!((ratio - 1.4).abs() < 0.01, "{ratio}");
    assert_eq!(known.quantile(now, &"short".into(), ESTIMATE, 0.5), None, "by queue");
}

// A few percent of the jobs take several times as long: that moves a mean, not the median.
#[test]
fn outliers_excluded() {
    let now = Instant::now();
    let mut known = RunTimeQuantiles::default();
    for number in 0..200 {
        known.add_job(now, &queue(), ESTIMATE, if number % 30 == 0 { 7.0 } else { 1.0 });
    }
    let ratio = median(&known, now, ESTIMATE).expect("known");
    assert!((ratio - 1.0).abs() < 0.01, "{ratio}");
    let high = known.quantile(now, &queue(), ESTIMATE, 0.99).expect("known");
    assert!(high > 6.0, "{high}");
}

// Run times and estimates are both off from the usual by a factor: a job of a high estimate
// is more likely one whose estimate is too high.
#[test]
fn high_estimates_shrunk() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(SEED);
    let mut known = RunTimeQuantiles::default();
    for _ in 0..256 {
        let run = ESTIMATE.mul_f64(factor(&mut random, 0.4));
        let estimate = run.mul_f64(factor(&mut random, 0.4));
        known.add_job(now, &queue(), estimate, run.as_secs_f64() / estimate.as_secs_f64());
    }
    let usual = median(&known, now, ESTIMATE).expect("known");
    assert!((usual - 1.0).abs() < 0.15, "{usual}");
    // The median of such jobs is sqrt(0.5) of their estimate.
    let high = median(&known, now, ESTIMATE * 2).expect("known");
    assert!((high - 0.71).abs() < 0.15, "{high}");
}

#[test]
fn old_jobs_forgotten() {
    let now = Instant::now();
    let mut known = RunTimeQuantiles::default();
    for _ in 0..300 {
        known.add_job(now, &queue(), ESTIMATE, 3.0);
    }
    assert!(median(&known, now, ESTIMATE).is_some_and(|ratio| ratio > 2.9));
    let later = now + Duration::from_secs(60);
    assert_eq!(median(&known, later, ESTIMATE), None, "refused jobs would never show a change");
    for _ in 0..50 {
        known.add_job(later, &queue(), ESTIMATE, 1.0);
    }
    assert!(median(&known, later, ESTIMATE).is_some_and(|ratio| ratio < 1.1));
}

#[test]
fn queues_bounded() {
    let now = Instant::now();
    let mut known = RunTimeQuantiles::default();
    for number in 0..1_000 {
        known.add_job(now, &format!("queue-{number}").into(), ESTIMATE, 1.0);
    }
    assert!(known.queue_count() <= 256, "{}", known.queue_count());
}

// Values that no job should have leave the rest as it is.
#[test]
fn odd_values_harmless() {
    let now = Instant::now();
    let mut known = RunTimeQuantiles::default();
    for _ in 0..200 {
        known.add_job(now, &queue(), ESTIMATE, 1.0);
        known.add_job(now, &queue(), Duration::ZERO, 1.0);
        known.add_job(now, &queue(), ESTIMATE, f64::NAN);
        known.add_job(now, &queue(), ESTIMATE, f64::INFINITY);
    }
    let ratio = median(&known, now, ESTIMATE).expect("known");
    assert!((ratio - 1.0).abs() < 0.01, "{ratio}");
    assert_eq!(median(&known, now, Duration::ZERO).filter(|ratio| !ratio.is_finite()), None);
}

/// A job with one task of an estimate.
fn job_of(id: usize, estimate_ms: u64) -> Arc<QueuedJob> {
    let usual = job(id, 1, true);
    let step = JobStep { estimate_ms, ..usual.steps[0].clone() };
    Arc::new(QueuedJob { steps: vec![step], ..(*usual).clone() })
}

/// Runs jobs whose run time is a second, and their estimate 1,000 ms, one after the other.
fn run_known_jobs(model: &mut ScheduleModel, first: usize, count: usize) {
    model.run_time = Duration::from_secs(1);
    for id in first..first + count {
        let call = model.submit(ENTRY, job_of(id, 1_000));
        model.run_fault_free(40);
        let completed = CallStatus::Reply(JobReply::Phase(JobPhase::Completed));
        assert_eq!(model.replies[&call], completed);
    }
}

fn is_too_long(model: &ScheduleModel, call: u64) -> bool {
    let too_long = RefusalCause::TooLong;
    matches!(&model.replies[&call], CallStatus::Reply(JobReply::Refused { cause, .. }) if *cause == too_long)
}

// The caller waits for 1.5 s, and a job of 2 s by its estimate is expected to run for 2 s.
#[test]
fn long_job_refused() {
    let mut model = ScheduleModel::with_admission(ENTRY, 1, AdmissionRule::ExpectedStart);
    let call = model.submit(ENTRY, job_of(1, 2_000));
    assert_eq!(model.replies[&call], CallStatus::Pending, "estimates may be far off");
    model.abandon(ENTRY, call);
    run_known_jobs(&mut model, 2, 50);
    let call = model.submit(ENTRY, job_of(100, 2_000));
    assert!(is_too_long(&model, call), "{:?}", model.replies[&call]);
    assert_eq!(model.take_counts(ENTRY).refusals.too_long, 1);
    let call = model.submit(ENTRY, job_of(101, 1_300));
    assert_eq!(model.replies[&call], CallStatus::Pending, "it is likely to end in time");
    model.abandon(ENTRY, call);
    // Other jobs are the only way to learn that estimates have changed.
    model.advance(Duration::from_secs(61));
    let call = model.submit(ENTRY, job_of(102, 2_000));
    assert!(!is_too_long(&model, call), "{:?}", model.replies[&call]);
}

// A job that was stopped at the end of its caller's wait has run for at least that long.
#[test]
fn stopped_jobs_count() {
    let mut model = ScheduleModel::with_admission(ENTRY, 1, AdmissionRule::ExpectedStart);
    model.run_time = Duration::from_secs(20);
    // The slowness that the scheduler learns from overdue runs explains a part of it.
    for round in 0..15 {
        // As many as the backend server runs concurrently.
        let calls = (1..=4).map(|number| model.submit(ENTRY, job_of(4 * round + number, 1_000)));
        let calls: Vec<u64> = calls.collect();
        model.run_fault_free(60);
        assert!(calls.iter().all(|call| model.replies[call] != CallStatus::Pending));
    }
    let call = model.submit(ENTRY, job_of(100, 1_000));
    assert!(is_too_long(&model, call), "{:?}", model.replies[&call]);
}

// Without the setting nothing is learned or refused by it.
#[test]
fn absent_setting_admits() {
    let mut model = ScheduleModel::new(ENTRY, 1);
    run_known_jobs(&mut model, 1, 50);
    let call = model.submit(ENTRY, job_of(100, 2_000));
    assert_eq!(model.replies[&call], CallStatus::Pending);
}
