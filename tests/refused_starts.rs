//! Jobs whose starts were refused by agents. Guards against a job that has not run and is
//! held until its caller leaves, and against one that may have run and is refused.

use std::time::Duration;

use model::{JobReply, RefusalCause};

use crate::schedule_model::{CallStatus, ScheduleModel, job};

const ENTRY: usize = 1;
/// Tasks that one backend server runs concurrently.
const CAPACITY: u32 = 4;
/// Three times the objective of 220 ms, beyond which the result of a job has no value.
const MAX_USEFUL: Duration = Duration::from_millis(660);

/// The cause of a refusal.
fn refusal(model: &ScheduleModel, call: u64) -> Option<RefusalCause> {
    match &model.replies[&call] {
        CallStatus::Reply(JobReply::Refused { cause, .. }) => Some(*cause),
        _ => None,
    }
}

/// Runs rounds of 30 ms until a call is answered; returns how long that took.
fn run_until_answered(model: &mut ScheduleModel, call: u64) -> Duration {
    let begin = model.now;
    for _ in 0..60 {
        if model.replies[&call] != CallStatus::Pending {
            break;
        }
        model.run_fault_free(1);
    }
    assert_ne!(model.replies[&call], CallStatus::Pending, "the caller has left");
    model.now - begin
}

#[test]
fn unstarted_job_refused() {
    let mut model = ScheduleModel::new(ENTRY, 1);
    model.set_shedding(0, true);
    let call = model.submit(ENTRY, job(1, 2, true));
    let waited = run_until_answered(&mut model, call);
    assert!(model.take_counts(ENTRY).refused > 0, "a start was refused");
    assert_eq!(refusal(&model, call), Some(RefusalCause::TimeOver));
    assert!(waited <= MAX_USEFUL, "its result has no value after that: {waited:?}");
    model.set_shedding(0, false);
    model.run_fault_free(120);
    assert!(model.starts.is_empty(), "a refused job never runs");
}

// The refusal of one start says nothing of the job's other runs.
#[test]
fn active_run_kept() {
    let mut model = ScheduleModel::new(ENTRY, 2);
    model.run_time = Duration::from_secs(3);
    model.set_shedding(0, true);
    let call = model.submit(ENTRY, job(1, 2 * CAPACITY, true));
    model.run_fault_free(2);
    assert!(model.take_counts(ENTRY).refused > 0, "a start was refused");
    assert_eq!(model.running(), CAPACITY as usize, "the other backend server runs the rest");
    run_until_answered(&mut model, call);
    assert_eq!(model.replies[&call], CallStatus::Reply(JobReply::Unclear));
}

// A start that an agent passed on before it restarted may have been carried out, although
// the agent lists no run.
#[test]
fn lost_start_unclear() {
    let mut model = ScheduleModel::new(ENTRY, 1);
    let call = model.submit(ENTRY, job(1, 1, true));
    assert!(model.calls_in_transit(0) > 0, "the start is on its way");
    model.restart_agent(0);
    model.set_shedding(0, true);
    run_until_answered(&mut model, call);
    assert_eq!(model.replies[&call], CallStatus::Reply(JobReply::Unclear));
}

// The answer to a start is lost: the agent doesn't know whether it runs.
#[test]
fn lost_answer_unclear() {
    let mut model = ScheduleModel::new(ENTRY, 1);
    model.run_time = Duration::from_secs(3);
    let call = model.submit(ENTRY, job(1, 1, true));
    while model.running() == 0 {
        model.deliver(0, 0, true);
    }
    model.lose_reports(ENTRY);
    for _ in 0..50 {
        model.advance(Duration::from_millis(30));
    }
    assert_eq!(model.replies[&call], CallStatus::Reply(JobReply::Unclear));
}
