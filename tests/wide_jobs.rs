//! Many wide jobs of short tasks: over how many agents one job is spread.

use crate::schedule_model::{ScheduleModel, job};

const AGENTS: usize = 3;

#[test]
fn tasks_stay_together() {
    let mut model = ScheduleModel::new(1, AGENTS);
    model.hand_in(1, job(1, 4, true));
    model.calm(1);
    assert_eq!(model.servers_in_use(), 1, "one agent has room for all four");
}

#[test]
fn full_agent_spreads() {
    let mut model = ScheduleModel::new(1, AGENTS);
    model.hand_in(1, job(1, 3, true));
    model.calm(1);
    model.hand_in(1, job(2, 4, true));
    model.calm(1);
    assert_eq!(model.running(), 7, "nothing waits while there is room");
    assert_eq!(model.servers_in_use(), 2);
}
