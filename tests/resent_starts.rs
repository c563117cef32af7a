//! Starts whose answers are late, as when a backend server leaves calls unanswered and carries
//! them out seconds later. The agent sends them again. A run that it reports as refused is
//! started elsewhere, so it runs twice if one of the starts is still carried out.

use std::time::Duration;

use decisions::agent::RunLimits;
use model::{
    EndKind, ListedEnd, RunUpdate, ServerAnswer, ServerCall, ServerRequest, StartRefusal, TaskRun,
};

use crate::agent_fixture::{AgentFixture, is_renewal, is_start, is_stop, run_of};
use crate::schedule_model::run_limits;

/// Time that usual answers take.
const ANSWER_TIME: Duration = Duration::from_millis(3);
/// Time in which a late answer is noticed, but before the call times out.
const LATE: Duration = Duration::from_millis(25);
/// The run of which the answer is late.
const DOUBTFUL: u32 = 30;

/// An agent that has seen answers to starts, and has sent one that has none.
fn agent_with(resend_starts: bool) -> (AgentFixture, ServerCall) {
    let mut agent = AgentFixture::with_limits(RunLimits { resend_starts, ..run_limits() });
    for index in 0..20 {
        agent.start_run(run_of(index), 10);
        agent.advance(ANSWER_TIME);
        let start = agent.take_call(is_start).expect("the run is started");
        agent.answer(&start, ServerAnswer::Done);
    }
    agent.start_run(run_of(DOUBTFUL), 10);
    let first = agent.take_call(is_start).expect("the run is started");
    (agent, first)
}

/// The same after the start was sent again.
fn resent() -> (AgentFixture, ServerCall, ServerCall) {
    let (mut agent, first) = agent_with(true);
    agent.advance(LATE);
    let second = agent.take_call(is_start).expect("the start is sent again");
    assert_eq!(started(&second), run_of(DOUBTFUL));
    (agent, first, second)
}

fn started(call: &ServerCall) -> TaskRun {
    match &call.request {
        ServerRequest::Start { run, .. } => run.clone(),
        request => panic!("not a start: {request:?}"),
    }
}

/// Whether the agent has reported that the run did not start and never will.
fn is_reported_refused(agent: &AgentFixture) -> bool {
    let mut updates = agent.updates.iter();
    updates
        .any(|update| matches!(update, RunUpdate::Refused { run, .. } if *run == run_of(DOUBTFUL)))
}

/// Guards against a change without the setting.
#[test]
fn off_without_setting() {
    let (mut agent, _first) = agent_with(false);
    agent.advance(LATE);
    assert!(agent.take_call(is_start).is_none());
}

/// Guards against the load of further calls while answers arrive in time.
#[test]
fn usual_answers_wait() {
    let (mut agent, first) = agent_with(true);
    agent.advance(ANSWER_TIME);
    agent.answer(&first, ServerAnswer::Done);
    agent.advance(2 * LATE);
    assert!(agent.take_call(is_start).is_none());
}

/// Guards against starts that are sent again while all answers are slow, as on a busy host.
#[test]
fn slow_answers_learned() {
    let mut agent = AgentFixture::with_limits(RunLimits { resend_starts: true, ..run_limits() });
    let mut resends = 0;
    for index in 0..40 {
        agent.start_run(run_of(index), 1);
        let first = agent.take_call(is_start).expect("the run is started");
        agent.advance(LATE);
        while agent.take_call(is_start).is_some() {
            resends += 1;
        }
        agent.answer(&first, ServerAnswer::Done);
    }
    assert!(resends <= 10, "{resends} starts sent again");
}

/// Guards against a task that waits until the call times out: the second start runs it.
#[test]
fn second_start_runs() {
    let (mut agent, first, second) = resent();
    agent.answer(&second, ServerAnswer::Done);
    agent.answer(&first, ServerAnswer::NoAnswer);
    assert!(agent.take_call(is_stop).is_none(), "the run goes on");
    let run = run_of(DOUBTFUL);
    agent.list_end(ListedEnd { number: 1, run, kind: EndKind::Done });
    assert!(!is_reported_refused(&agent));
    let ended = |update: &RunUpdate| matches!(update, RunUpdate::Ended { run, kind: EndKind::Done, .. } if *run == run_of(DOUBTFUL));
    assert_eq!(agent.updates.iter().filter(|update| ended(update)).count(), 1);
}

/// Guards against a run that is reported as refused while an earlier start of it is still
/// carried out, or was carried out and has ended.
#[test]
fn refused_resend_barred() {
    for refusal in [StartRefusal::OldRun, StartRefusal::Room, StartRefusal::Unhealthy] {
        let (mut agent, _first, second) = resent();
        agent.answer(&second, ServerAnswer::Refused(refusal));
        assert!(!is_reported_refused(&agent), "the first start may be carried out");
        assert!(agent.take_call(is_stop).is_some(), "the run is barred");
    }
}

/// Guards against the same when the second start was never sent.
#[test]
fn unsent_resend_barred() {
    let (mut agent, _first, second) = resent();
    agent.answer(&second, ServerAnswer::NotSent);
    assert!(!is_reported_refused(&agent), "the first start may be carried out");
    assert!(agent.take_call(is_stop).is_some(), "the run is barred");
}

/// Guards against a running task that is taken for refused: the first start arrives after the
/// run has begun with the second, or has ended.
#[test]
fn late_refusal_ignored() {
    let (mut agent, first, second) = resent();
    agent.answer(&second, ServerAnswer::Done);
    agent.answer(&first, ServerAnswer::Refused(StartRefusal::OldRun));
    agent.advance(LATE);
    assert!(!is_reported_refused(&agent));
}

/// Guards against an endless series of starts to a server that answers none.
#[test]
fn few_resends() {
    let (mut agent, _first, _second) = resent();
    let mut further = 0;
    for _ in 0..20 {
        agent.advance(LATE);
        agent.order(Vec::new());
        further += usize::from(agent.take_call(is_start).is_some());
        while let Some(renewal) = agent.take_call(is_renewal) {
            let running = (0..20).chain([DOUBTFUL]).map(run_of).collect();
            agent.answer(&renewal, ServerAnswer::Lists { running, ended: Vec::new() });
        }
    }
    assert_eq!(further, 1);
}

/// Guards against a stopped run that is started again.
#[test]
fn stopped_run_stays_stopped() {
    let (mut agent, _first) = agent_with(true);
    agent.order(vec![model::AgentOrder::Stop { run: run_of(DOUBTFUL) }]);
    assert!(agent.take_call(is_stop).is_some());
    agent.advance(LATE);
    assert!(agent.take_call(is_start).is_none());
}
