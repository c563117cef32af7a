//! Overload that is over: guards against an entry that stays overloaded by its own
//! reaction to it, so that its callers are served badly long after the load and the
//! backend servers are as usual again.

use std::time::Duration;

use crate::overload_model::OverloadModel;

const AGENTS: usize = 50;
const JOBS_PER_SECOND: u32 = 300;
/// Share of the worth owed that the users' target asks for.
const TARGET_SHARE: f64 = 0.87;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn usual_load_served() {
    let mut model = OverloadModel::new(AGENTS);
    model.add_load(secs(1), secs(6), JOBS_PER_SECOND);
    model.play(secs(9));
    let share = model.in_time_share(secs(1), secs(6));
    assert!(share >= TARGET_SHARE, "{share:.3} in time, lag {:?}", model.max_lag);
}

#[test]
fn own_delay_not_slowness() {
    let mut model = OverloadModel::new(AGENTS);
    model.add_load(secs(1), secs(6), JOBS_PER_SECOND);
    model.pause_entry(secs(3), Duration::from_millis(700));
    for step in 0..30 {
        model.play(secs(3) + Duration::from_millis(100) * step);
        let slowness = model.max_slowness();
        // Every run takes as long as estimated; the margin is that of estimates.
        assert!(slowness <= 1.1, "slowness {slowness:.2} {step} steps after the pause began");
    }
}

#[test]
fn cut_agents_recovered() {
    let mut model = OverloadModel::new(AGENTS);
    model.add_load(secs(1), secs(16), JOBS_PER_SECOND);
    model.add_load(secs(2), secs(6), JOBS_PER_SECOND * 3 / 10);
    model.cut_agents(AGENTS / 2, secs(3), secs(8));
    model.play(secs(19));
    let after = model.in_time_share(secs(10), secs(16));
    assert!(after >= TARGET_SHARE, "{after:.3} in time from 2 s after the cut");
}
