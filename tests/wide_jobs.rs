//! Wide jobs of short tasks: over how many agents the tasks of a job are spread. Each
//! further agent costs an order, a poll and reports, and is one more that can be lost
//! before the job has ended.

use crate::schedule_model::{ScheduleModel, job};

const AGENTS: usize = 3;

#[test]
fn tasks_share_agent() {
    let mut model = ScheduleModel::new(1, AGENTS);
    model.submit(1, job(1, 4, true));
    model.run_fault_free(1);
    assert_eq!(model.servers_in_use(), 1, "one agent has capacity for all four tasks");
}

#[test]
fn full_agent_overflows() {
    let mut model = ScheduleModel::new(1, AGENTS);
    model.submit(1, job(1, 3, true));
    model.run_fault_free(1);
    model.submit(1, job(2, 4, true));
    model.run_fault_free(1);
    assert_eq!(model.running(), 7, "no task waits while capacity is free");
    assert_eq!(model.servers_in_use(), 2);
}
