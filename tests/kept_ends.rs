//! Runs that end while the connection between their agent and their entry is lost. Guards
//! against tasks that are done being started again when it is back.

use std::time::Duration;

use model::{JobPhase, JobReply};

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
