//! Jobs with odd numbers: an estimate, a size or a count far beyond any real one, as a
//! caller may submit it, or as it may already be stored. None may end the scheduler, or
//! keep it from the other jobs.

use std::sync::Arc;

use assert_matches::assert_matches;
use model::{
    Command, EndKind, EndedRun, JobPhase, JobReply, JobStep, QueuedJob, RefusalCause,
    ResourceAmount, TaskName, TaskRun,
};
use platform::{JobError, read_job};
use serde_json::{Value, json};

use crate::schedule_model::{CallStatus, ScheduleModel, job};

const JOB_ID: &str = "5c0e7a21d94b36f8";
const YEAR_MS: u64 = 365 * 24 * 3_600 * 1_000;

/// A job with these steps in place of its one step.
fn job_with(id: usize, best_effort: bool, steps: Vec<JobStep>) -> Arc<QueuedJob> {
    Arc::new(QueuedJob { steps, ..(*job(id, 1, best_effort)).clone() })
}

/// A chain of steps of one task each, every one of which waits for the one before.
fn chain(length: u32, estimate_ms: u64) -> Vec<JobStep> {
    let template = job(1, 1, true).steps[0].clone();
    (0..length)
        .map(|step| JobStep {
            estimate_ms,
            depends_on: step.checked_sub(1).into_iter().collect(),
            ..template.clone()
        })
        .collect()
}

fn read_steps(steps: Value) -> Result<QueuedJob, JobError> {
    let body = json!({ "spec": "work", "steps": steps });
    read_job(&"r-1".into(), JOB_ID, body.to_string().as_bytes())
}

/// The text of a job's error.
fn error_of(steps: Value) -> String {
    read_steps(steps).expect_err("the job is odd").to_string()
}

// A caller who is told only "invalid" can't find the field.
#[test]
fn odd_fields_named() {
    for (field, value) in [
        ("estimate_ms", u64::MAX),
        ("estimate_ms", 2 * YEAR_MS),
        ("cpu", u64::MAX),
        ("mem_mb", u64::MAX),
        ("gpu", u64::MAX),
        ("count", u64::from(u32::MAX)),
    ] {
        let mut step = json!({ "count": 1, "cpu": 500, "estimate_ms": 100 });
        step[field] = json!(value);
        let error = error_of(json!([{ "count": 1 }, step]));
        assert!(error.contains(field) && error.contains("maximum"), "{field}: {error}");
    }
}

// Counts that are each in range, but overflow in their sum.
#[test]
fn total_count_limited() {
    let half = json!({ "count": 60_000 });
    assert!(read_steps(json!([half.clone()])).is_ok());
    assert!(error_of(json!([half, half])).contains("count"));
}

// A limit that is too low would refuse the jobs of a real deployment.
#[test]
fn generous_jobs_accepted() {
    let step = json!({ "count": 50_000, "cpu": 1_000_000, "mem_mb": 100_000_000, "gpu": 1_000,
        "estimate_ms": 30 * 24 * 3_600 * 1_000_u64 });
    assert!(read_steps(json!([step])).is_ok());
}

// Deep nesting and numbers beyond the decoder's range.
#[test]
fn undecodable_jobs_refused() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    for body in [
        format!("{{\"steps\":{deep}}}"),
        "{\"steps\":[{\"count\":1,\"estimate_ms\":1e999}]}".to_owned(),
        "{\"steps\":[{\"count\":4294967296}]}".to_owned(),
        "{\"steps\":[{\"count\":-1}]}".to_owned(),
        "{\"steps\":[{\"count\":1,\"cpu\":0.5}]}".to_owned(),
    ] {
        let read = read_job(&"r-1".into(), JOB_ID, body.as_bytes());
        assert_matches!(read, Err(JobError::Unreadable { .. }), "{:.60}", body);
    }
    let ignored = format!("{{\"steps\":[{{\"count\":1}}],\"novel\":{deep}}}");
    assert!(read_job(&"r-1".into(), JOB_ID, ignored.as_bytes()).is_ok());
}

// Very many short parts: each takes far more memory and time decoded than on the wire.
#[test]
fn many_parts_refused() {
    let fields = "\"a\":0,".repeat(64);
    let items = "0,".repeat(10_000);
    let nested = format!("[{}0],", "0,".repeat(20)).repeat(9_999);
    for (body, named) in [
        (format!("{{{fields}\"steps\":[{{\"count\":1}}]}}"), "fields"),
        (format!("{{\"steps\":[{{{fields}\"count\":1}}]}}"), "fields"),
        (format!("{{\"novel\":[{items}0],\"steps\":[{{\"count\":1}}]}}"), "items"),
        (format!("{{\"steps\":[{}{{}}]}}", "{},".repeat(10_000)), "items"),
        (format!("{{\"novel\":[{nested}0]}}"), "values"),
        ("{\"steps\":[{\"count\":1},{\"depends_on\":[0,0]}]}".to_owned(), "dependencies"),
    ] {
        let error = read_job(&"r-1".into(), JOB_ID, body.as_bytes()).expect_err("too many parts");
        assert!(error.to_string().contains(named), "{named}: {error}");
    }
}

// Separators within strings are no parts, and a job of the most steps is decoded.
#[test]
fn ordinary_shapes_accepted() {
    let spec = "{\\\",".repeat(600);
    let steps = vec!["{\"count\":1,\"cpu\":1}"; 5_000].join(",");
    let body = format!("{{\"spec\":\"{spec}\",\"steps\":[{steps}]}}");
    let read = read_job(&"r-1".into(), JOB_ID, body.as_bytes());
    assert_eq!(read.map(|job| job.steps.len()).map_err(|error| error.to_string()), Ok(5_000));
}

/// Submits an odd job and then a usual one to the same scheduler.
fn submit_both(scheduler: usize, steps: Vec<JobStep>) -> (ScheduleModel, CallStatus) {
    let best_effort = scheduler > 0;
    let mut model = ScheduleModel::new(1, 1);
    let odd = model.submit(scheduler, job_with(1, best_effort, steps));
    model.run_fault_free(1);
    let usual = job(2, 1, best_effort);
    let call = model.submit(scheduler, Arc::clone(&usual));
    model.run_fault_free(10);
    let completed = match best_effort {
        true => model.replies[&call] == CallStatus::Reply(JobReply::Phase(JobPhase::Completed)),
        false => model.stored_phase(&usual) == Some(JobPhase::Completed),
    };
    assert!(completed, "the usual job must end: {:?}", model.replies[&call]);
    let status = model.replies[&odd].clone();
    (model, status)
}

// Without a check of its own, one entry of another version could end the leader.
#[test]
fn odd_jobs_refused_by_schedulers() {
    let huge = ResourceAmount { cpu_milli: u64::MAX, memory_mb: 1, accelerators: 0 };
    let template = chain(1, 100).remove(0);
    for scheduler in [0, 1] {
        for steps in [
            chain(1, u64::MAX),
            chain(1_200, u64::MAX),
            vec![JobStep { size: huge, ..template.clone() }],
            vec![JobStep { count: u32::MAX, ..template.clone() }; 2],
        ] {
            let (_, status) = submit_both(scheduler, steps);
            let unsupported = RefusalCause::Unsupported;
            assert_matches!(status, CallStatus::Reply(JobReply::Refused { cause, .. }) if cause == unsupported);
        }
    }
}

// The longest jobs that are accepted: the sums of their times must stay in range.
#[test]
fn longest_jobs_scheduled() {
    for scheduler in [0, 1] {
        submit_both(scheduler, chain(3_000, YEAR_MS));
    }
}

// A job that an earlier version stored: the leader, and each one after it, would end
// when it takes the job over.
#[test]
fn stored_odd_jobs_survived() {
    for steps in [
        chain(1_200, u64::MAX),
        vec![JobStep { count: u32::MAX, ..chain(1, u64::MAX).remove(0) }; 2],
    ] {
        let mut model = ScheduleModel::new(0, 1);
        model.commit_command(Command::AcceptJob { job: job_with(1, false, steps) });
        model.change_leader();
        let usual = job(2, 1, false);
        model.submit(0, Arc::clone(&usual));
        model.run_fault_free(40);
        assert_eq!(model.stored_phase(&usual), Some(JobPhase::Completed));
    }
}

// An end of a task that the job does not have counted as one of its tasks: the job was
// shown as completed although none of them had run.
#[test]
fn foreign_ends_ignored() {
    let mut model = ScheduleModel::new(0, 0);
    let stored = job(1, 2, false);
    model.submit(0, Arc::clone(&stored));
    model.commit();
    let end = |occurrence, step, index| {
        let task = TaskName { job: stored.id.clone(), occurrence, step, index };
        EndedRun { run: TaskRun { task, run: 1 }, kind: EndKind::Done }
    };
    let ends = vec![end(0, 0, 2), end(0, 1, 0), end(0, 0, u32::MAX), end(1, 0, 0), end(2, 0, 1)];
    model.commit_command(Command::EndRuns { ends });
    assert_eq!(model.stored_phase(&stored), None);
}
