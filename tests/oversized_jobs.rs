//! Jobs that no backend server can hold: each is too small. They must not delay those
//! that can run, nor keep their own callers waiting in vain.

use std::sync::Arc;

use model::{JobReply, JobStep, QueuedJob, RefusalCause, ResourceAmount};

use crate::schedule_model::{CallStatus, ScheduleModel, job};

/// Processor demand of a task that no server can hold.
const OVERSIZED_CPU_MILLI: u64 = 100_000;
/// Rounds of [`ScheduleModel::run_fault_free`] after which an entry knows its servers.
const DISCOVERY_ROUNDS: usize = 1_100;

/// A job with one task, which no server can hold.
fn oversized_job(id: usize, best_effort: bool) -> Arc<QueuedJob> {
    let small = job(id, 1, best_effort);
    let size = ResourceAmount { cpu_milli: OVERSIZED_CPU_MILLI, memory_mb: 10, accelerators: 0 };
    let step = JobStep { size, ..small.steps[0].clone() };
    Arc::new(QueuedJob { steps: vec![step], ..(*small).clone() })
}

/// The cause of a refusal.
fn refusal(reply: &CallStatus) -> Option<RefusalCause> {
    match reply {
        CallStatus::Reply(JobReply::Refused { cause, .. }) => Some(*cause),
        _ => None,
    }
}

// Guards against an idle site that refuses small jobs, since it counts the work of waiting
// jobs that can't run as ahead of them.
#[test]
fn oversized_delay_none() {
    let mut model = ScheduleModel::new(1, 2);
    for number in 1..=60 {
        model.submit(1, oversized_job(number, true));
    }
    assert_eq!(model.waiting_steps(1), 60, "the oversized jobs wait");
    let call = model.submit(1, job(100, 1, true));
    assert_eq!(model.replies[&call], CallStatus::Pending, "the servers are idle");
    model.run_fault_free(10);
    assert_eq!(
        model.replies[&call],
        CallStatus::Reply(JobReply::Phase(model::JobPhase::Completed))
    );
}

// The same with stored jobs, which wait for as long as it takes.
#[test]
fn stored_oversized_wait() {
    let mut model = ScheduleModel::new(1, 2);
    for number in 1..=60 {
        model.submit(0, oversized_job(number, false));
    }
    model.run_fault_free(10);
    let small = job(100, 1, false);
    let call = model.submit(0, small.clone());
    assert_eq!(refusal(&model.replies[&call]), None);
    model.run_fault_free(20);
    assert_eq!(model.stored_phase(&small), Some(model::JobPhase::Completed));
    assert!(model.is_stored(&oversized_job(1, false)), "a larger server may come");
}

// Work that can run still counts, also beside oversized work, and no longer once it is gone.
#[test]
fn runnable_work_counts() {
    let mut model = ScheduleModel::new(1, 1);
    for number in 1..=20 {
        model.submit(1, oversized_job(number, true));
    }
    let calls: Vec<u64> = (101..=200).map(|number| model.submit(1, job(number, 1, true))).collect();
    let refused = |call: &&u64| refusal(&model.replies[*call]) == Some(RefusalCause::QueueFull);
    assert!(calls.iter().any(|call| refused(&call)), "100 jobs exceed the capacity");
    let admitted: Vec<u64> = calls.iter().filter(|call| !refused(call)).copied().collect();
    for call in admitted {
        model.abandon(1, call);
    }
    let call = model.submit(1, job(300, 1, true));
    assert_eq!(model.replies[&call], CallStatus::Pending, "the callers of all others have left");
}

// Guards against callers that wait in vain for a job of which it is known that it can't run.
#[test]
fn oversized_refused_early() {
    let mut model = ScheduleModel::new(1, 2);
    let call = model.submit(1, oversized_job(1, true));
    assert_eq!(model.replies[&call], CallStatus::Pending, "larger servers may not be known yet");
    model.run_fault_free(DISCOVERY_ROUNDS);
    let call = model.submit(1, oversized_job(2, true));
    assert_ne!(model.replies[&call], CallStatus::Pending, "no server can hold it");
    assert!(refusal(&model.replies[&call]).is_some());
    let call = model.submit(1, job(3, 1, true));
    assert_eq!(model.replies[&call], CallStatus::Pending, "small jobs are admitted");
}

// A server that is away for a moment comes back: its jobs wait for it as before.
#[test]
fn absent_servers_awaited() {
    let mut model = ScheduleModel::new(1, 2);
    model.run_fault_free(DISCOVERY_ROUNDS);
    for server in 0..2 {
        model.lose_server(server);
    }
    for _ in 0..200 {
        model.run_fault_free(1);
    }
    let call = model.submit(1, job(1, 1, true));
    assert_eq!(model.replies[&call], CallStatus::Pending);
}
