//! Admission under a burst above capacity: which jobs are refused, and when. A job
//! beyond the capacity must be refused at once rather than after its caller has waited,
//! and a job must not run once it was refused or its caller has left.

use std::time::Duration;

use model::{JobReply, RefusalCause};

use crate::schedule_model::{CallStatus, ScheduleModel, job};

/// Jobs that one backend server of four cores runs concurrently.
const CONCURRENT_JOBS: usize = 4;

/// The cause of a refusal and its retry delay in milliseconds.
fn refusal(reply: &CallStatus) -> Option<(RefusalCause, u64)> {
    match reply {
        CallStatus::Reply(JobReply::Refused { cause, retry_after_ms }) => {
            Some((*cause, *retry_after_ms))
        }
        _ => None,
    }
}

#[test]
fn free_capacity_admits() {
    let mut model = ScheduleModel::new(1, 1);
    for number in 1..=CONCURRENT_JOBS {
        let call = model.submit(1, job(number, 1, true));
        assert_eq!(model.replies[&call], CallStatus::Pending);
    }
}

#[test]
fn excess_refused_immediately() {
    let mut model = ScheduleModel::new(1, 1);
    let calls: Vec<u64> = (1..=100).map(|number| model.submit(1, job(number, 1, true))).collect();
    let first = calls.iter().position(|call| refusal(&model.replies[call]).is_some());
    let first = first.expect("100 jobs exceed the capacity");
    assert!(first >= CONCURRENT_JOBS, "only {first} jobs were admitted");
    let (cause, retry_after_ms) = refusal(&model.replies[&calls[first]]).expect("a refusal");
    assert_eq!(cause, RefusalCause::QueueFull);
    assert!(retry_after_ms > 0, "a refusal states when to retry");
}

#[test]
fn refused_never_starts() {
    let mut model = ScheduleModel::new(1, 1);
    let calls: Vec<u64> = (1..=60).map(|number| model.submit(1, job(number, 1, true))).collect();
    model.run_fault_free(120);
    for (number, call) in calls.iter().enumerate() {
        let id = job(number + 1, 1, true).id.clone();
        let started = model.starts.keys().any(|task| task.job == id);
        assert!(!(started && refusal(&model.replies[call]).is_some()), "{id} ran and was refused");
        assert_ne!(model.replies[call], CallStatus::Pending, "{id} got no answer");
    }
}

#[test]
fn waiting_job_expires() {
    let mut model = ScheduleModel::new(1, 0);
    let call = model.submit(1, job(1, 1, true));
    // The time for which the caller waits.
    model.advance(Duration::from_millis(1_500));
    let (cause, _) = refusal(&model.replies[&call]).expect("no task ran, so the job is refused");
    assert_eq!(cause, RefusalCause::TimeOver);
}

#[test]
fn useless_wait_ends() {
    let mut model = ScheduleModel::new(1, 0);
    let call = model.submit(1, job(1, 1, true));
    // Three times the objective of 220 ms, beyond which the result has no value.
    model.advance(Duration::from_millis(660));
    let (cause, _) = refusal(&model.replies[&call]).expect("no task ran, so the job is refused");
    assert_eq!(cause, RefusalCause::TimeOver);
}

#[test]
fn busy_scheduler_expires_jobs() {
    let mut model = ScheduleModel::new(1, 0);
    let call = model.submit(1, job(1, 1, true));
    // Messages come without a pause, so the scheduler never sees a timeout.
    model.now += Duration::from_millis(1_500);
    model.submit(1, job(2, 1, true));
    assert!(refusal(&model.replies[&call]).is_some(), "{:?}", model.replies[&call]);
}

#[test]
fn abandoned_job_never_starts() {
    let mut model = ScheduleModel::new(1, 1);
    let calls: Vec<u64> = (1..=5).map(|number| model.submit(1, job(number, 1, true))).collect();
    model.run_fault_free(1);
    assert_eq!(model.running(), CONCURRENT_JOBS);
    model.abandon(1, calls[0]);
    model.abandon(1, calls[4]);
    model.run_fault_free(60);
    let ran = model.starts.len();
    assert_eq!(ran, CONCURRENT_JOBS, "the waiting job of a caller that left must not start");
    assert_eq!(model.running(), 0);
}
