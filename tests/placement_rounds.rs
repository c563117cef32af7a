//! Work of placing tasks while many of them wait. Guards against an entry that
//! searches all agents for each waiting step at every message, and so gets
//! slower the more work waits for it.

use std::time::Duration;

use model::JobReply;

use crate::schedule_model::{CallStatus, ScheduleModel, job};

const AGENTS: usize = 3;
const ENTRY: usize = 1;

/// A model whose agents are full and in which as many jobs wait as are admitted.
fn full_model() -> (ScheduleModel, usize) {
    let mut model = ScheduleModel::new(1, AGENTS);
    let refused =
        |status: &CallStatus| matches!(status, CallStatus::Reply(JobReply::Refused { .. }));
    let mut number = 1;
    loop {
        let call = model.submit(ENTRY, job(number, 1, true));
        if refused(&model.replies[&call]) {
            break;
        }
        number += 1;
    }
    let waiting = model.waiting_steps(ENTRY);
    assert!(waiting >= 20, "only {waiting} steps wait");
    model.take_counts(ENTRY);
    (model, waiting)
}

#[test]
fn full_agents_not_searched() {
    let (mut model, _) = full_model();
    for _ in 0..10 {
        model.advance(Duration::from_millis(1));
    }
    let counts = model.take_counts(ENTRY);
    assert_eq!(counts.searches, 0, "{counts:?}: no agent has free capacity");
}

#[test]
fn freed_capacity_searched_once() {
    let (mut model, waiting) = full_model();
    model.run_fault_free(30);
    let counts = model.take_counts(ENTRY);
    assert!(counts.placed as usize >= waiting / 2, "{counts:?}");
    // One search for each placed task, and one that finds no more capacity.
    assert!(counts.searches <= 2 * counts.placed, "{counts:?}");
}
