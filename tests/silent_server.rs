//! A backend server that answers no calls, because it is lost for good or only silent
//! for a while. The agent's calls must not renew in its own eyes the lease of a backend
//! server that is gone: the runs there would never be reported as over, and stored jobs
//! would wait for them for good.

use std::time::Duration;

use assert_matches::assert_matches;
use model::{JobPhase, RunUpdate, ServerAnswer, ServerReport, StartRefusal};

use crate::agent_fixture::{AgentFixture, is_start, run, run_of};
use crate::schedule_model::{LEASE, ScheduleModel, job};

/// Creates an agent with one run, whose start was answered.
fn agent_with_run() -> AgentFixture {
    let mut agent = AgentFixture::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Done);
    agent
}

// Guards against runs of a lost backend server that stay active in the agent's eyes.
#[test]
fn lost_server_lapses() {
    let mut agent = agent_with_run();
    agent.stay_silent(LEASE * 3);
    assert_eq!(agent.updates, [RunUpdate::lapsed(run())]);
    assert_eq!(agent.server, ServerReport::Absent);
}

// Guards against a lost backend server whose capacity is still offered.
#[test]
fn lost_idle_server() {
    let mut agent = AgentFixture::new();
    assert_matches!(agent.server, ServerReport::Present(_));
    agent.stay_silent(LEASE * 3);
    assert_eq!(agent.server, ServerReport::Absent);
}

// Guards against runs that are given up, while they go on, after a short silence.
#[test]
fn short_silence_outlived() {
    let mut agent = agent_with_run();
    for _ in 0..5 {
        agent.stay_silent(LEASE.mul_f64(1.5));
        let renewal = agent.take_pending_renewal();
        let lists = ServerAnswer::Lists { running: vec![run()], ended: Vec::new() };
        agent.answer(&renewal, lists);
    }
    assert!(agent.updates.is_empty(), "{:?}", agent.updates);
    assert_matches!(agent.server, ServerReport::Present(_));
}

#[test]
fn silence_renews_nothing() {
    let mut agent = agent_with_run();
    let until = |calls: Vec<model::ServerCall>| calls.into_iter().filter_map(|c| c.lease_until);
    let last = until(agent.stay_silent(LEASE.mul_f64(1.1))).max();
    assert!(last.is_some(), "a short silence changes nothing");
    assert_eq!(until(agent.stay_silent(LEASE.mul_f64(0.5))).max(), None);
    let lists = ServerAnswer::Lists { running: vec![run()], ended: Vec::new() };
    let renewal = agent.take_pending_renewal();
    agent.answer(&renewal, lists.clone());
    agent.answer_renewals_with(&lists);
    let renewal = agent.take_pending_renewal();
    assert!(renewal.lease_until > last, "an answer lets the lease be renewed again");
}

#[test]
fn silent_server_starts_nothing() {
    let mut agent = AgentFixture::new();
    agent.stay_silent(LEASE.mul_f64(1.2));
    agent.start_run(run_of(1), 1_000);
    agent.advance(Duration::from_millis(60));
    assert!(agent.take_call(is_start).is_none());
    let refusal = StartRefusal::Unhealthy;
    assert_eq!(agent.updates, [RunUpdate::Refused { run: run_of(1), refusal }]);
}

// Guards against a lost backend server whose lease is renewed, since starts that could not be
// sent to it counted as answered.
#[test]
fn unsent_starts_prove_nothing() {
    let mut agent = agent_with_run();
    for number in 1..30 {
        agent.start_run(run_of(number), 500);
        if let Some(start) = agent.take_call(is_start) {
            agent.answer(&start, ServerAnswer::NotSent);
        }
        agent.stay_silent(LEASE / 10);
    }
    assert!(agent.updates.contains(&RunUpdate::lapsed(run())), "{:?}", agent.updates);
    assert_eq!(agent.server, ServerReport::Absent);
}

// Guards against stored jobs that never complete since one of their tasks ran on a
// backend server that was lost for good.
#[test]
fn lost_runs_placed_again() {
    let mut model = ScheduleModel::new(1, 2);
    let jobs: Vec<_> = (1..=4).map(|number| job(number, 1, false)).collect();
    for job in &jobs {
        model.submit(0, job.clone());
    }
    model.commit();
    model.run_fault_free(1);
    model.lose_server(1);
    model.run_fault_free(120);
    for job in &jobs {
        assert_eq!(
            model.stored_phase(job),
            Some(JobPhase::Completed),
            "{}",
            model.event_trace(&job.id)
        );
    }
}
