//! A best-effort job whose caller's connection is reset, and that comes to another entry
//! within milliseconds. Guards against its tasks running there beside the first runs, which
//! take some time to stop.

use std::time::Duration;

use crate::schedule_model::{ScheduleModel, job};

const AGENTS: usize = 2;

/// Delivers all calls in transit to the backend servers of these agents.
fn deliver_all(model: &mut ScheduleModel, agents: impl Iterator<Item = usize>) {
    for agent in agents {
        for _ in 0..model.calls_in_transit(agent) {
            model.deliver(agent, 0, false);
        }
    }
}

#[test]
fn resent_job_waits() {
    for reverse in [false, true] {
        let mut model = ScheduleModel::new(2, AGENTS);
        model.run_time = Duration::from_millis(300);
        let resent = job(1, 1, true);
        let call = model.submit(1, resent.clone());
        deliver_all(&mut model, 0..AGENTS);
        // The other entry has another view of the agents, and so chooses another one.
        let others = (2..=5).map(|number| model.submit(2, job(number, 1, true)));
        assert_eq!(others.count(), 4);
        model.abandon(1, call);
        model.submit(2, resent);
        // The model checks at each start that the task runs once at a time.
        match reverse {
            false => deliver_all(&mut model, 0..AGENTS),
            true => deliver_all(&mut model, (0..AGENTS).rev()),
        }
    }
}
