//! Admission under a burst above capacity: which jobs are refused, and when. A job
//! beyond the capacity must be refused at once rather than after its caller has waited,
//! and a job must not run once it was refused or its caller has left.

use std::sync::Arc;
use std::time::Duration;

use model::{JobPhase, JobReply, QueuedJob, RefusalCause};

use crate::schedule_model::{CallStatus, OTHER_QUEUE, ScheduleModel, job};

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

/// A job of the other service.
fn other_job(number: usize) -> Arc<QueuedJob> {
    Arc::new(QueuedJob { queue: OTHER_QUEUE.into(), ..(*job(number, 1, true)).clone() })
}

// Guards against idle servers whose jobs are refused, since the backlog of another service
// counts as ahead of them.
#[test]
fn other_service_admits() {
    let mut model = ScheduleModel::new(1, 2);
    model.serve_other(1);
    let calls: Vec<u64> = (1..=100).map(|number| model.submit(1, job(number, 1, true))).collect();
    assert!(calls.iter().any(|call| refusal(&model.replies[call]).is_some()), "a backlog");
    let call = model.submit(1, other_job(101));
    assert_eq!(model.replies[&call], CallStatus::Pending, "its servers are idle");
    model.run_fault_free(10);
    let reply = CallStatus::Reply(JobReply::Phase(JobPhase::Completed));
    assert_eq!(model.replies[&call], reply);
}

// The servers of another service take none of the backlog, however many there are.
#[test]
fn other_servers_excluded() {
    let admitted = |others: usize| {
        let mut model = ScheduleModel::new(1, 1 + others);
        (1..=others).for_each(|agent| model.serve_other(agent));
        let calls = (1..=100).map(|number| model.submit(1, job(number, 1, true)));
        let calls: Vec<u64> = calls.collect();
        calls.iter().filter(|call| refusal(&model.replies[*call]).is_none()).count()
    };
    assert_eq!(admitted(4), admitted(0));
}

// Guards against an entry that refuses all its callers while the runs of other entries take all
// capacity: between two runs of its own it must not expect to get none ever again.
#[test]
fn entry_without_runs_admits() {
    let mut model = ScheduleModel::new(2, 1);
    (1..=CONCURRENT_JOBS).for_each(|number| _ = model.submit(2, job(number, 1, true)));
    model.run_fault_free(1);
    assert_eq!(model.running(), CONCURRENT_JOBS, "the other entry takes all capacity");
    let first = model.submit(1, job(11, 1, true));
    let second = model.submit(1, job(12, 1, true));
    assert_eq!(model.replies[&second], CallStatus::Pending, "a run of 100 ms is ahead of it");
    model.run_fault_free(20);
    let completed = CallStatus::Reply(JobReply::Phase(JobPhase::Completed));
    assert_eq!([&model.replies[&first], &model.replies[&second]], [&completed; 2]);
}

// Guards against callers that are told to come again hours later.
#[test]
fn retry_delay_within_backlog() {
    let mut model = ScheduleModel::new(2, 1);
    (1..=CONCURRENT_JOBS).for_each(|number| _ = model.submit(2, job(number, 1, true)));
    model.run_fault_free(1);
    let calls: Vec<u64> = (11..=60).map(|number| model.submit(1, job(number, 1, true))).collect();
    let delays = calls.iter().filter_map(|call| refusal(&model.replies[call]));
    let delays: Vec<u64> = delays.map(|(_, retry_after_ms)| retry_after_ms).collect();
    assert!(!delays.is_empty(), "50 jobs exceed the capacity");
    let run_ms = job(1, 1, true).critical_path().as_millis() as u64;
    let one_by_one = (calls.len() - delays.len()) as u64 * run_ms;
    assert!(delays.iter().all(|delay| *delay <= one_by_one), "{one_by_one} ms ahead: {delays:?}");
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
