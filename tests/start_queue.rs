//! Starts for which a backend server has no capacity yet. Guards against two faults:
//! a refusal for each start that a scheduler with an old view orders, which costs
//! a busy entry more than the start, and a start that happens after it was refused.

use std::time::Duration;

use model::{AgentOrder, EndKind, ListedEnd, RunUpdate, StartRefusal};

use crate::agent_fixture::{AgentFixture, GRANT, entry, run, run_of};

/// Capacity of the backend server.
const ALL_CPU_MILLI: u64 = 2_000;

/// An agent whose server is full with task 0, and an order for task 1 that waits.
fn full_agent() -> AgentFixture {
    let mut agent = AgentFixture::new();
    agent.start(ALL_CPU_MILLI);
    assert_eq!(agent.take_start(), Some(run()));
    agent.advance(Duration::from_millis(20));
    agent.start_run(run_of(1), 1_000);
    assert_eq!(agent.take_start(), None, "the server is full");
    assert_eq!(agent.updates, Vec::new(), "the start waits");
    agent
}

fn refused(refusal: StartRefusal) -> RunUpdate {
    RunUpdate::Refused { run: run_of(1), refusal }
}

fn end_first_run(agent: &mut AgentFixture) {
    agent.list_end(ListedEnd { number: 1, run: run(), kind: EndKind::Done });
}

#[test]
fn freed_capacity_taken() {
    let mut agent = full_agent();
    end_first_run(&mut agent);
    assert_eq!(agent.take_start(), Some(run_of(1)));
}

#[test]
fn small_start_overtakes() {
    let mut agent = AgentFixture::new();
    agent.start(1_500);
    assert_eq!(agent.take_start(), Some(run()));
    agent.start_run(run_of(1), 1_000);
    agent.start_run(run_of(2), 500);
    assert_eq!(agent.take_start(), Some(run_of(2)), "it fits beside the first");
    assert_eq!(agent.take_start(), None);
}

#[test]
fn long_wait_refused() {
    let mut agent = full_agent();
    agent.advance(Duration::from_millis(60));
    assert_eq!(agent.updates, vec![refused(StartRefusal::Room)]);
    end_first_run(&mut agent);
    assert_eq!(agent.take_start(), None, "a refused run must never start");
}

#[test]
fn too_large_refused() {
    let mut agent = AgentFixture::new();
    agent.start_run(run_of(1), ALL_CPU_MILLI + 1);
    assert_eq!(agent.updates, vec![refused(StartRefusal::Room)]);
}

#[test]
fn draining_refuses_waiting() {
    let mut agent = full_agent();
    agent.heartbeat(2, true);
    assert_eq!(agent.updates, vec![refused(StartRefusal::Gone)]);
    end_first_run(&mut agent);
    assert_eq!(agent.take_start(), None, "a draining server gets no start");
}

#[test]
fn stopped_while_waiting() {
    let mut agent = full_agent();
    agent.order(vec![AgentOrder::Stop { run: run_of(1) }]);
    assert_eq!(agent.updates, vec![refused(StartRefusal::Room)]);
    end_first_run(&mut agent);
    assert_eq!(agent.take_start(), None);
}

#[test]
fn waiting_runs_listed() {
    let mut agent = full_agent();
    let steps = agent.table.on_opened(agent.now, entry(), 2);
    let listed = steps.iter().find_map(|step| match step {
        decisions::agent::RunStep::Report(_, report) => report.runs.clone(),
        _ => None,
    });
    assert_eq!(listed, Some(vec![run(), run_of(1)]), "a run left out is placed again");
}

#[test]
fn expired_grant_refuses() {
    let mut agent = full_agent();
    agent.now += GRANT;
    agent.advance(Duration::ZERO);
    assert!(agent.updates.contains(&refused(StartRefusal::Room)), "{:?}", agent.updates);
    assert_eq!(agent.take_start(), None);
}
