//! Hosts that are suspended: leases and grants expire by the time that passes meanwhile.

use std::time::{Duration, Instant};

use kernel::{BootTimeline, Clock, SystemClock};
use model::{AgentOrder, JobPhase, ResourceAmount, RunUpdate, ServerAnswer};
use rustix::time::{ClockId, clock_gettime};

use crate::agent_fixture::{AgentFixture, GRANT, is_renewal, is_start, run};
use crate::late_orders::order;
use crate::schedule_model::{LEASE, ScheduleModel, job};

/// Time from the boot of the host to the start of its process.
const UPTIME: Duration = Duration::from_secs(1_000);

/// Tasks of the stored job that runs while a host is suspended.
const TASKS: u32 = 8;

fn since_boot() -> Duration {
    clock_gettime(ClockId::Boottime).try_into().expect("the time is positive")
}

// Guards against an agent that starts runs after a suspend, on a grant that has expired meanwhile.
#[test]
fn suspended_agent_starts_nothing() {
    let mut agent = AgentFixture::new();
    let acked_at = agent.now;
    let timeline = BootTimeline::new(agent.now, UPTIME);
    agent.now = timeline.instant_at(UPTIME + 2 * GRANT);
    let size = ResourceAmount { cpu_milli: 500, memory_mb: 1, accelerators: 0 };
    let spec = "work".to_owned();
    let start = AgentOrder::Start {
        life: "i-1/7".into(),
        runs: vec![run()],
        spec,
        size,
        estimate_ms: None,
        queue: None,
    };
    order(&mut agent, acked_at, vec![start]);
    assert_eq!(agent.take_start(), None);
}

// Guards against a clock that stands still while the host is suspended.
#[test]
fn clock_follows_boot_time() {
    let first = (since_boot(), SystemClock.now(), since_boot());
    std::thread::sleep(Duration::from_millis(2));
    let second = (since_boot(), SystemClock.now(), since_boot());
    let elapsed = second.1 - first.1;
    assert!(elapsed >= second.0 - first.2, "{elapsed:?}");
    assert!(elapsed <= second.2 - first.0, "{elapsed:?}");
}

#[test]
fn timeline_never_precedes_start() {
    let start = Instant::now();
    let timeline = BootTimeline::new(start, UPTIME);
    assert_eq!(timeline.instant_at(Duration::ZERO), start);
    assert_eq!(timeline.instant_at(UPTIME), start);
    assert_eq!(
        timeline.instant_at(UPTIME + Duration::from_secs(5)),
        start + Duration::from_secs(5)
    );
}

/// An agent with a run at its backend server.
fn agent_with_run() -> AgentFixture {
    let mut agent = AgentFixture::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Done);
    agent
}

// Guards against runs that are reported as lapsed, and started elsewhere, while they go on at
// a backend server that was suspended with its agent: its lease stood still.
#[test]
fn suspended_runs_kept() {
    for pause in [LEASE, LEASE * 2, LEASE * 7 / 2] {
        let mut agent = agent_with_run();
        agent.pause(pause);
        assert_eq!(agent.updates, [], "after {pause:?}");
        let renewal = agent.take_pending_renewal();
        let lists = ServerAnswer::Lists { running: vec![run()], ended: Vec::new() };
        agent.answer(&renewal, lists);
        assert_eq!(agent.updates, [], "after {pause:?}");
    }
}

// Guards against an agent that waits for ever for a server that is gone after a suspend.
#[test]
fn pause_delays_lapse() {
    let mut agent = agent_with_run();
    agent.pause(LEASE * 2);
    agent.advance(LEASE / 2);
    assert_eq!(agent.updates, []);
    agent.advance(LEASE);
    assert!(agent.updates.contains(&RunUpdate::lapsed(run())), "{:?}", agent.updates);
}

// Guards against a call whose lease counts the time in which the server's clock stood still:
// one that is carried out late would not be refused.
#[test]
fn pause_shortens_leases() {
    let mut agent = AgentFixture::new();
    let before = agent.take_pending_renewal().lease_until.expect("the lease is extended");
    agent.pause(LEASE * 2);
    agent.order(Vec::new());
    agent.take_call(is_renewal);
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    assert!(start.lease_until.is_some_and(|until| until <= before + LEASE / 2), "{start:?}");
}

/// Suspends a host while stored tasks run there, and lets it go on.
fn suspend_host(run_time: Duration, suspension: Duration) {
    let mut model = ScheduleModel::new(1, 3);
    model.run_time = run_time;
    let stored = job(1, TASKS, false);
    model.submit(0, stored.clone());
    model.run_fault_free(10);
    assert_eq!(model.running(), TASKS as usize);
    model.suspend_host(0);
    let until = model.now + suspension;
    while model.now < until {
        model.step_suspended(0);
    }
    model.resume_host(0);
    model.run_fault_free(150);
    assert_eq!(model.stored_phase(&stored), Some(JobPhase::Completed));
    assert!(model.starts.values().all(|starts| *starts == 1), "{:?}", model.starts);
}

// Guards against stored tasks that run twice after the suspend of a host, up to that after
// which the agent's grant has expired.
#[test]
fn suspended_tasks_run_once() {
    for run_ms in [400, 900, 2_500] {
        for suspension_ms in [300, 900, 1_200, 1_800, 2_500, 3_000] {
            suspend_host(Duration::from_millis(run_ms), Duration::from_millis(suspension_ms));
        }
    }
}
