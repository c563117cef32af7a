//! Runs whose scheduler has lost contact with the agent, while other schedulers have not.
//! Their grants let the agent renew the lease, which is one for all runs of a backend
//! server. Guards against a run that goes on beyond the time after which its own scheduler
//! starts the task elsewhere, since the order to stop it gets no answer.

use std::time::Duration;

use crate::schedule_model::{ScheduleModel, job};

const AGENTS: usize = 2;
const STEP: Duration = Duration::from_millis(30);
/// The entry whose connections are cut, and the one that keeps its own.
const CUT_ENTRY: usize = 1;
const OTHER_ENTRY: usize = 2;

/// Plays a step in which no order to stop a run arrives in time.
fn step(model: &mut ScheduleModel, cut_agent: Option<usize>) {
    for agent in 0..AGENTS {
        for scheduler in 0..=OTHER_ENTRY {
            if cut_agent != Some(agent) || scheduler != CUT_ENTRY {
                model.connect(scheduler, agent);
            }
        }
        model.heartbeat(agent);
        let calls = model.calls_in_transit(agent);
        for position in (0..calls).rev() {
            match model.is_stop(agent, position) {
                true => model.delay(agent, position),
                false => model.deliver(agent, position, false),
            }
        }
    }
    model.commit();
    model.advance(STEP);
}

#[test]
fn unconfirmed_stop_lapses() {
    for cut_agent in 0..AGENTS {
        let mut model = ScheduleModel::new(2, AGENTS);
        model.run_time = Duration::from_secs(30);
        model.caller_wait = Duration::from_secs(30);
        let task = job(1, 4, true);
        model.submit(CUT_ENTRY, task.clone());
        model.submit(OTHER_ENTRY, job(2, 1, true));
        for _ in 0..10 {
            step(&mut model, None);
        }
        model.disconnect(CUT_ENTRY, cut_agent);
        // The model checks at each start that the task runs once at a time.
        for _ in 0..200 {
            step(&mut model, Some(cut_agent));
        }
        let trace = model.event_trace(&task.id);
        assert!(trace.contains("agent_lost"), "the entry gives the agent up\n{trace}");
    }
}
