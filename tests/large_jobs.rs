//! Jobs of thousands of small tasks. Guards against work in proportion to all of them at each
//! input, which left schedulers and agents no time for other jobs.

use std::sync::Arc;

use model::{AgentOrder, JobStep, QueuedJob, ResourceAmount, RunUpdate, StartRefusal};
use platform::read_job;
use serde_json::json;

use crate::agent_fixture::{AgentFixture, run_of};
use crate::schedule_model::{ScheduleModel, job};

/// Tasks that a backend server has capacity for at the same time.
const TASKS: u32 = 2_000;
/// Runs of one step that a scheduler may have on one backend server.
const MAX_SERVER_RUNS: u64 = 256;
/// Runs that a scheduler may have on one backend server.
const MAX_OWN_RUNS: u64 = 512;
const JOB_ID: &str = "5c0e7a21d94b36f8";

fn large_job(id: usize) -> Arc<QueuedJob> {
    let usual = job(id, 1, true);
    let size = ResourceAmount { cpu_milli: 1, memory_mb: 1, accelerators: 0 };
    let step = JobStep { count: TASKS, size, ..usual.steps[0].clone() };
    Arc::new(QueuedJob { steps: vec![step], ..(*usual).clone() })
}

// One job took all of a backend server with thousands of runs.
#[test]
fn step_runs_limited() {
    let mut model = ScheduleModel::new(1, 2);
    model.lift_slots(0);
    model.lift_slots(1);
    model.submit(1, large_job(1));
    model.run_fault_free(1);
    let placed = model.take_counts(1).placed;
    assert!((1..=2 * MAX_SERVER_RUNS).contains(&placed), "{placed} runs on two servers");
}

// Several such jobs together took it.
#[test]
fn scheduler_runs_limited() {
    let mut model = ScheduleModel::new(1, 1);
    model.lift_slots(0);
    for id in 1..=4 {
        model.submit(1, large_job(id));
    }
    model.run_fault_free(1);
    let placed = model.take_counts(1).placed;
    assert!((1..=MAX_OWN_RUNS).contains(&placed), "{placed} runs on one server");
}

// Schedulers that together order more runs than an agent can handle.
#[test]
fn agent_runs_limited() {
    const ORDERED: u32 = 1_500;
    const MAX_RUNS: usize = 1_024;
    let mut agent = AgentFixture::new();
    let size = ResourceAmount { cpu_milli: 1, memory_mb: 0, accelerators: 0 };
    let runs = (0..ORDERED).map(run_of).collect();
    let (life, spec) = ("i-1/7".into(), "work".to_owned());
    agent.order(vec![AgentOrder::Start { life, runs, spec, size, estimate_ms: None, queue: None }]);
    let is_refused = |update: &&RunUpdate| {
        matches!(update, RunUpdate::Refused { refusal: StartRefusal::Room, .. })
    };
    let refused = agent.updates.iter().filter(is_refused).count();
    assert_eq!(refused, ORDERED as usize - MAX_RUNS);
    let mut started = 0;
    while agent.take_start().is_some() {
        started += 1;
    }
    assert_eq!(started, MAX_RUNS, "all others start");
}

// A best-effort job of the largest legal number of tasks kept its entry busy. Stored ones may
// have been accepted before, and their resubmission must be acknowledged.
#[test]
fn largest_jobs_refused() {
    for (count, best_effort, is_legal) in [
        (10_000, true, true),
        (10_001, true, false),
        (100_000, false, true),
        (100_001, false, false),
    ] {
        let body = json!({ "best_effort": best_effort, "steps": [{ "count": count, "cpu": 1 }] });
        let read = read_job(&"r-1".into(), JOB_ID, body.to_string().as_bytes());
        assert_eq!(read.is_ok(), is_legal, "{count} tasks, best-effort {best_effort}");
    }
}
