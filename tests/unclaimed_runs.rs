//! Runs that a restarted agent finds on its backend server, and whose scheduler it does
//! not know. Guards against best-effort tasks that run twice at a time after their entry
//! and the agent were killed together: the caller sends the job again, to another entry.

use std::time::Duration;

use model::{AgentOrder, RunUpdate, ServerAnswer, StartRefusal};

use crate::agent_fixture::{AgentFixture, is_renewal, is_start, is_stop, run, run_of};
use crate::schedule_model::{ScheduleModel, job, run_limits};

const AGENTS: usize = 3;
const STEP: Duration = Duration::from_millis(30);
/// Time after which a caller sends a job again whose connection broke.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// A restarted agent whose backend server lists one run.
fn agent_with_unclaimed() -> AgentFixture {
    let mut agent = AgentFixture::new();
    list_run(&mut agent);
    agent
}

fn list_run(agent: &mut AgentFixture) {
    let renewal = agent.take_pending_renewal();
    agent.answer(&renewal, ServerAnswer::Lists { running: vec![run()], ended: Vec::new() });
}

#[test]
fn unclaimed_lease_kept() {
    let mut agent = agent_with_unclaimed();
    for _ in 0..5 {
        let renewal = agent.take_pending_renewal();
        assert_eq!(renewal.lease_until, None, "nobody has claimed the run");
        agent.answer(&renewal, ServerAnswer::Lists { running: vec![run()], ended: Vec::new() });
    }
    agent.order(vec![AgentOrder::Keep { run: run() }]);
    list_run(&mut agent);
    let renewal = agent.take_pending_renewal();
    assert!(renewal.lease_until.is_some(), "the run has a scheduler");
}

#[test]
fn unclaimed_runs_stopped() {
    let mut agent = agent_with_unclaimed();
    agent.advance(run_limits().claim_wait);
    assert!(agent.take_call(is_stop).is_some());
    while agent.take_call(is_renewal).is_some() {}
    agent.advance(Duration::from_millis(100));
    let renewal = agent.take_call(is_renewal);
    assert!(renewal.is_none_or(|renewal| renewal.lease_until.is_none()), "the stop may be lost");
}

/// A start extends the lease of all runs.
#[test]
fn starts_wait_for_claims() {
    let mut agent = agent_with_unclaimed();
    agent.start_run(run_of(1), 500);
    assert!(agent.take_call(is_start).is_none());
    agent.order(vec![AgentOrder::Keep { run: run() }]);
    assert!(agent.take_call(is_start).is_some());
    let mut agent = agent_with_unclaimed();
    agent.start_run(run_of(1), 500);
    agent.advance(Duration::from_millis(60));
    let refusal = StartRefusal::Room;
    assert!(agent.updates.contains(&RunUpdate::Refused { run: run_of(1), refusal }));
}

/// Guards against a scheduler that waits for the end of a run of another scheduler.
#[test]
fn run_of_another_refused() {
    let mut agent = agent_with_unclaimed();
    agent.start(500);
    let refusal = StartRefusal::OldRun;
    assert!(agent.updates.contains(&RunUpdate::Refused { run: run(), refusal }));
}

/// Plays the step of a day in which the backend servers of these agents send heartbeats.
fn step(model: &mut ScheduleModel, heartbeats: bool) {
    for agent in 0..AGENTS {
        for scheduler in 0..=2 {
            model.connect(scheduler, agent);
        }
        if heartbeats {
            model.heartbeat(agent);
        }
        for _ in 0..model.calls_in_transit(agent) {
            model.deliver(agent, 0, false);
        }
    }
    model.advance(STEP);
}

/// Kills an entry and all agents while its jobs run, and sends the jobs again to the other
/// entry. The agents hear of their backend servers `heard_after` the kill.
fn kill_together(heard_after: Duration) {
    let mut model = ScheduleModel::new(2, AGENTS);
    model.run_time = Duration::from_secs(3);
    model.caller_wait = Duration::from_secs(6);
    let jobs: Vec<_> = (1..=4).map(|number| job(number, 2, true)).collect();
    for job in &jobs {
        model.submit(1, job.clone());
    }
    for _ in 0..10 {
        step(&mut model, true);
    }
    assert_eq!(model.running(), 8);
    let killed_at = model.now;
    model.restart_entry(1);
    for agent in 0..AGENTS {
        model.restart_agent(agent);
    }
    while model.now < killed_at + RESEND_DELAY {
        let is_heard = model.now >= killed_at + heard_after;
        step(&mut model, is_heard);
    }
    // In another order, so that tasks are placed on other agents than before.
    for job in jobs.iter().rev() {
        model.submit(2, job.clone());
    }
    // The model checks at each start that the task runs once at a time.
    for _ in 0..130 {
        let is_heard = model.now >= killed_at + heard_after;
        step(&mut model, is_heard);
    }
    let restarts = model.starts.values().filter(|starts| **starts > 2).count();
    assert_eq!(restarts, 0, "tasks were started again without need");
    // A backend server lists no more than so many ends: one that stays hides later ones.
    assert_eq!(model.unacked_ends(), 0, "ends stay unacknowledged");
}

#[test]
fn resent_jobs_single() {
    for heard_ms in [0, 300, 600, 900, 1_200] {
        kill_together(Duration::from_millis(heard_ms));
    }
}

/// The ends of runs that nobody claimed are reported to all schedulers, after the jobs
/// were sent again. Each entry numbers the runs of a task from 1.
#[test]
fn foreign_ends_ignored() {
    for heard_ms in [1_350, 1_500, 1_800, 2_000] {
        kill_together(Duration::from_millis(heard_ms));
    }
}
