//! The calls of an agent to its backend server when answers are lost, and when
//! its lease or its schedulers' grants expire. A run that the agent reports as refused
//! or ended is started elsewhere, so it runs twice if it can still start or run here.

use std::time::Duration;

use model::{RunUpdate, ServerAnswer, StartRefusal};

use crate::agent_fixture::{AgentFixture, GRANT, is_renewal, is_start, is_stop, run};
use crate::schedule_model::LEASE;

#[test]
fn one_renewal_pending() {
    let mut agent = AgentFixture::new();
    for _ in 0..20 {
        agent.advance(Duration::from_millis(15));
    }
    assert_eq!(agent.pending_renewals(), 1);
}

#[test]
fn second_renewal_after_loss() {
    let mut agent = AgentFixture::new();
    agent.advance(Duration::from_millis(20));
    let lost = agent.take_call(is_renewal).expect("a renewal is pending");
    agent.answer(&lost, ServerAnswer::NoAnswer);
    for _ in 0..10 {
        agent.advance(Duration::from_millis(15));
    }
    assert_eq!(agent.pending_renewals(), 2);
}

#[test]
fn failed_renewals_back_off() {
    let mut agent = AgentFixture::new();
    let mut sent = 0;
    for _ in 0..1_000 {
        agent.advance(Duration::from_millis(1));
        while let Some(call) = agent.take_call(is_renewal) {
            sent += 1;
            agent.answer(&call, ServerAnswer::NoAnswer);
        }
    }
    assert!((3..20).contains(&sent), "{sent} renewals in a second");
}

#[test]
fn unanswered_start_barred() {
    let mut agent = AgentFixture::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::NoAnswer);
    assert!(agent.updates.is_empty(), "the start may still be executed");
    let stop = agent.take_call(is_stop).expect("the run is stopped");
    agent.answer(&stop, ServerAnswer::Done);
    agent.advance(Duration::from_millis(1));
    // The answer to a renewal that was sent after the stop doesn't list the run.
    agent.answer_renewal();
    agent.answer_renewal();
    let refusal = StartRefusal::Barred;
    assert_eq!(agent.updates, [RunUpdate::Refused { run: run(), refusal }]);
}

#[test]
fn expired_grant_stops_runs() {
    let mut agent = AgentFixture::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Done);
    agent.advance(GRANT.mul_f64(0.5));
    assert!(agent.take_call(is_stop).is_none());
    agent.advance(GRANT.mul_f64(0.5));
    assert!(agent.take_call(is_stop).is_some());
}

#[test]
fn expired_lease_ends_runs() {
    let mut agent = AgentFixture::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Done);
    agent.advance(LEASE * 2);
    let ended = RunUpdate::lapsed(run());
    assert!(agent.updates.contains(&ended), "{:?}", agent.updates);
}

#[test]
fn draining_refuses_starts() {
    let mut agent = AgentFixture::new();
    agent.heartbeat(2, true);
    agent.start(1_000);
    assert!(agent.take_call(is_start).is_none());
    let refusal = StartRefusal::Gone;
    assert_eq!(agent.updates, [RunUpdate::Refused { run: run(), refusal }]);
    agent.heartbeat(1, false);
    agent.start(1_000);
    assert!(agent.take_call(is_start).is_none(), "a stale heartbeat must be ignored");
}

#[test]
fn capacity_enforced() {
    let mut agent = AgentFixture::new();
    agent.start(2_001);
    assert!(agent.take_call(is_start).is_none());
    let refusal = StartRefusal::Room;
    assert_eq!(agent.updates, [RunUpdate::Refused { run: run(), refusal }]);
}

#[test]
fn refused_fence_raised() {
    let mut agent = AgentFixture::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Refused(StartRefusal::Fence));
    agent.start(1_000);
    let next = agent.take_call(is_start).expect("the run is started again");
    assert!(next.fence > start.fence);
}
