//! Jobs that wait for claims of agents that have just started. Guards against callers that
//! are held for a job that can't start in time, and against refusals of jobs that can.

use std::sync::Arc;
use std::time::Duration;

use model::{AdmissionRule, ClaimUpdate, JobPhase, JobReply, JobStep, QueuedJob, RefusalCause};

use crate::schedule_model::{CallStatus, ScheduleModel, job};

const ENTRY: usize = 1;
const AGENTS: usize = 4;
/// Rounds in which restarted agents connect, and an entry counts them as all there.
const CONNECT_ROUNDS: usize = 10;
const COMPLETED: CallStatus = CallStatus::Reply(JobReply::Phase(JobPhase::Completed));

/// A model in which these agents have just started.
fn restarted_model(rule: AdmissionRule, agents: std::ops::Range<usize>) -> ScheduleModel {
    let mut model = ScheduleModel::with_admission(ENTRY, AGENTS, rule);
    agents.for_each(|agent| model.restart_agent(agent));
    model.run_fault_free(CONNECT_ROUNDS);
    model
}

/// A job with one task of an estimate.
fn job_of(id: usize, estimate_ms: u64) -> Arc<QueuedJob> {
    let usual = job(id, 1, true);
    let step = JobStep { estimate_ms, ..usual.steps[0].clone() };
    Arc::new(QueuedJob { steps: vec![step], ..(*usual).clone() })
}

// After a power loss all agents have just started.
#[test]
fn declined_job_refused() {
    let mut model = restarted_model(AdmissionRule::ExpectedStart, 0..AGENTS);
    let call = model.submit(ENTRY, job(1, 1, true));
    model.run_fault_free(1);
    let CallStatus::Reply(JobReply::Refused { cause, retry_after_ms }) = model.replies[&call]
    else {
        panic!("{:?}", model.replies[&call]);
    };
    assert_eq!(cause, RefusalCause::TimeOver);
    assert!(retry_after_ms > 0, "until the agents grant claims");
    assert_eq!(model.take_counts(ENTRY).refusals.no_grant, 1);
    model.run_fault_free(200);
    assert!(model.starts.is_empty(), "a refused job never runs");
    // Its claim was released: the caller may submit it again.
    let call = model.submit(ENTRY, job(1, 1, true));
    model.run_fault_free(20);
    assert_eq!(model.replies[&call], COMPLETED);
}

#[test]
fn patient_job_kept() {
    let mut model = restarted_model(AdmissionRule::ExpectedStart, 0..AGENTS);
    model.caller_wait = Duration::from_secs(10);
    let call = model.submit(ENTRY, job_of(1, 1_000));
    model.run_fault_free(1);
    assert_eq!(model.replies[&call], CallStatus::Pending, "agents grant claims in time for it");
    model.run_fault_free(100);
    assert_eq!(model.replies[&call], COMPLETED);
}

#[test]
fn absent_setting_waits() {
    let mut model = restarted_model(AdmissionRule::Backlog, 0..AGENTS);
    let call = model.submit(ENTRY, job(1, 1, true));
    model.run_fault_free(1);
    assert_eq!(model.replies[&call], CallStatus::Pending);
}

// One agent that declines says nothing of the others.
#[test]
fn other_agents_asked() {
    let mut model = restarted_model(AdmissionRule::ExpectedStart, 0..1);
    for id in 1..=20 {
        let call = model.submit(ENTRY, job(id, 1, true));
        model.run_fault_free(20);
        assert_eq!(model.replies[&call], COMPLETED, "job {id}");
    }
}

// An agent of an earlier version doesn't tell when it grants claims; it may at any time.
#[test]
fn earlier_version_read() {
    let update: ClaimUpdate = serde_json::from_str(r#"{"declined":{"job":"1"}}"#).expect("valid");
    assert_eq!(update, ClaimUpdate::Declined { job: "1".into(), grants_in_ms: None });
    let text = serde_json::to_string(&update).expect("serializable");
    assert_eq!(text, r#"{"declined":{"job":"1"}}"#);
}
