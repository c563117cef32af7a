//! Runs that end while the connection between their agent and their entry is lost. Guards
//! against tasks that are done being started again when it is back.

use std::sync::Arc;
use std::time::Duration;

use model::{JobPhase, JobReply, JobStep, QueuedJob, ResourceAmount};

use crate::schedule_model::{CallStatus, ScheduleModel, job};

const AGENTS: usize = 2;
const TASKS: u32 = 4;
const ENTRY: usize = 1;

/// A model in which all tasks of a job run, and the id of its call.
fn running_job() -> (ScheduleModel, u64) {
    let mut model = ScheduleModel::new(1, AGENTS);
    let call = model.submit(ENTRY, job(1, TASKS, true));
    deliver_calls(&mut model);
    assert_eq!(model.starts.len(), TASKS as usize);
    (model, call)
}

fn deliver_calls(model: &mut ScheduleModel) {
    for agent in 0..AGENTS {
        for _ in 0..model.calls_in_transit(agent) {
            model.deliver(agent, 0, false);
        }
    }
}

fn check_single_starts(mut model: ScheduleModel, call: u64) {
    model.run_fault_free(20);
    let completed = CallStatus::Reply(JobReply::Phase(JobPhase::Completed));
    assert_eq!(model.replies[&call], completed);
    assert!(model.starts.values().all(|starts| *starts == 1), "{:?}", model.starts);
}

#[test]
fn lost_connection_keeps_ends() {
    let (mut model, call) = running_job();
    (0..AGENTS).for_each(|agent| model.lose_link(ENTRY, agent));
    for _ in 0..10 {
        model.advance(Duration::from_millis(20));
        deliver_calls(&mut model);
    }
    check_single_starts(model, call);
}

#[test]
fn reports_in_transit_kept() {
    let (mut model, call) = running_job();
    model.lose_reports(ENTRY);
    for _ in 0..10 {
        model.advance(Duration::from_millis(20));
        deliver_calls(&mut model);
    }
    (0..AGENTS).for_each(|agent| model.lose_link(ENTRY, agent));
    model.receive_reports(ENTRY);
    check_single_starts(model, call);
}

// As many ends as an entry may have runs on one server. More than 500 were left out once, and
// their tasks ran again.
#[test]
fn many_ends_kept() {
    let mut model = ScheduleModel::new(1, 1);
    model.lift_slots(0);
    model.run_time = Duration::from_secs(2);
    model.caller_wait = Duration::from_secs(10);
    let size = ResourceAmount { cpu_milli: 1, memory_mb: 1, accelerators: 0 };
    let submitted = model.now;
    let calls: Vec<u64> = (1..=2)
        .map(|id| {
            let step = JobStep { count: 256, size, estimate_ms: 2_000, ..JobStep::default() };
            let job = QueuedJob { steps: vec![step], ..(*job(id, 1, true)).clone() };
            model.submit(ENTRY, Arc::new(job))
        })
        .collect();
    for _ in 0..30 {
        model.run_fault_free(1);
        if model.running() == 512 {
            break;
        }
    }
    assert_eq!(model.running(), 512, "all run at a time");
    while model.now < submitted + model.run_time - Duration::from_millis(60) {
        model.run_fault_free(1);
    }
    assert_eq!(model.running(), 512, "none has ended");
    model.lose_link(ENTRY, 0);
    while model.running() > 0 || model.unacked_ends() > 0 {
        model.advance(Duration::from_millis(10));
        for _ in 0..model.calls_in_transit(0) {
            model.deliver(0, 0, false);
        }
    }
    model.run_fault_free(20);
    let completed = CallStatus::Reply(JobReply::Phase(JobPhase::Completed));
    assert!(calls.iter().all(|call| model.replies[call] == completed));
    assert!(model.starts.values().all(|starts| *starts == 1));
}
