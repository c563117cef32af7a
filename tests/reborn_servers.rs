//! A backend server that starts again under its name. Calls carry only the name, so its
//! new life may accept starts that were sent before the agent heard of it. Guards against
//! runs that are reported as over with the former life, and started elsewhere, while the
//! new life runs them.

use std::time::Duration;

use model::{EndKind, ListedEnd, RunUpdate, ServerAnswer, ServerCall, StartRefusal, TaskRun};

use crate::agent_fixture::{AgentFixture, heartbeat, is_renewal, is_start, is_stop, run};
use crate::schedule_model::LEASE;

/// Generation of the next life; the fixture's first one has 7.
const NEXT_GENERATION: u64 = 8;

/// An agent with one run, whose start was answered or not.
fn agent_with_run(answer: Option<ServerAnswer>) -> AgentFixture {
    let mut agent = AgentFixture::new();
    agent.start(1_000);
    if let Some(answer) = answer {
        let start = agent.take_call(is_start).expect("the run is started");
        agent.answer(&start, answer);
    }
    while agent.take_call(is_renewal).is_some() {}
    agent
}

/// The first heartbeat of the next life.
fn start_again(agent: &mut AgentFixture) {
    let mut next = heartbeat(1, false);
    next.generation = NEXT_GENERATION;
    next.view.life = model::life_id(&next.instance, NEXT_GENERATION);
    let steps = agent.table.on_heartbeat(agent.now, &next);
    agent.apply_steps(steps);
}

fn list(agent: &mut AgentFixture, running: Vec<TaskRun>, ended: Vec<ListedEnd>) {
    let renewal = agent.take_pending_renewal();
    agent.answer(&renewal, ServerAnswer::Lists { running, ended });
}

#[test]
fn accepted_run_kept() {
    let mut agent = agent_with_run(Some(ServerAnswer::Done));
    start_again(&mut agent);
    assert!(agent.updates.is_empty(), "{:?}", agent.updates);
    for _ in 0..3 {
        list(&mut agent, vec![run()], Vec::new());
    }
    assert!(agent.updates.is_empty(), "{:?}", agent.updates);
    let number = 1;
    list(&mut agent, Vec::new(), vec![ListedEnd { number, run: run(), kind: EndKind::Done }]);
    assert!(matches!(agent.updates[..], [RunUpdate::Ended { number: 1, kind: EndKind::Done, .. }]));
}

#[test]
fn former_run_lapses() {
    let mut agent = agent_with_run(Some(ServerAnswer::Done));
    start_again(&mut agent);
    list(&mut agent, Vec::new(), Vec::new());
    assert_eq!(agent.updates, [RunUpdate::lapsed(run())]);
}

#[test]
fn doubtful_start_barred() {
    let mut agent = agent_with_run(None);
    let start = agent.take_call(is_start).expect("the run is started");
    start_again(&mut agent);
    assert!(agent.updates.is_empty(), "the start may still arrive");
    let stop = agent.take_call(is_stop).expect("it is barred there");
    assert!(stop.fence > start.fence, "a late call must be refused");
    agent.answer(&stop, ServerAnswer::Done);
    agent.advance(Duration::from_millis(1));
    list(&mut agent, Vec::new(), Vec::new());
    list(&mut agent, Vec::new(), Vec::new());
    let refusal = StartRefusal::Barred;
    assert_eq!(agent.updates, [RunUpdate::Refused { run: run(), refusal }]);
}

/// The lists name the life that they are of, before its first heartbeat.
#[test]
fn lists_show_restart() {
    let mut agent = agent_with_run(Some(ServerAnswer::Done));
    let renewal = agent.take_pending_renewal();
    let steps = agent.table.on_generation(agent.now, &renewal, None, Some(NEXT_GENERATION));
    agent.apply_steps(steps);
    let ended = vec![ListedEnd { number: 1, run: run(), kind: EndKind::Done }];
    agent.answer(&renewal, ServerAnswer::Lists { running: Vec::new(), ended });
    assert!(agent.updates.is_empty(), "the answer to a call of the former life is not used");
    let next: ServerCall = agent.take_pending_renewal();
    assert_eq!(next.life, model::life_id(&next.instance, NEXT_GENERATION));
    start_again(&mut agent);
    let ended = vec![ListedEnd { number: 1, run: run(), kind: EndKind::Done }];
    agent.answer(&next, ServerAnswer::Lists { running: Vec::new(), ended });
    assert_eq!(agent.updates.len(), 1, "{:?}", agent.updates);
}

/// A session that opens before the first lists must not say that the runs are over.
#[test]
fn runs_listed_meanwhile() {
    let mut agent = agent_with_run(Some(ServerAnswer::Done));
    start_again(&mut agent);
    let steps = agent.table.on_opened(agent.now, crate::agent_fixture::entry(), 2);
    let listed = steps.iter().find_map(|step| match step {
        decisions::agent::RunStep::Report(_, report) => report.runs.clone(),
        _ => None,
    });
    assert_eq!(listed, Some(vec![run()]));
}

/// Guards against runs that are never reported as over, if the new life answers no calls.
#[test]
fn restart_in_silence() {
    let mut agent = agent_with_run(Some(ServerAnswer::Done));
    start_again(&mut agent);
    agent.stay_silent(LEASE.mul_f64(0.8));
    assert!(agent.updates.is_empty(), "the new life may run it: {:?}", agent.updates);
    agent.stay_silent(LEASE);
    assert_eq!(agent.updates, [RunUpdate::lapsed(run())]);
}
