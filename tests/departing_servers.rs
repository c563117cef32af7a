//! A backend server that says that it leaves, and may go on for seconds since the
//! acknowledgement is lost. Guards against runs that are started elsewhere at its leave while
//! they still run there (review/13, TWICE).

use std::time::Duration;

use assert_matches::assert_matches;
use decisions::agent::RunTable;
use model::{
    EndKind, JobPhase, ListedEnd, RunUpdate, ServerAnswer, ServerReport, ServerRequest, TaskRun,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::agent_fixture::{AgentFixture, entry, is_renewal, is_start, is_stop, run, run_of};
use crate::schedule_model::{LEASE, ScheduleModel, job, run_limits};

const ENTRIES: usize = 2;
const AGENTS: usize = 4;
/// Length of a day in rounds of the model.
const ROUNDS: usize = 300;

/// An agent with one run, whose server has just said that it leaves.
fn departing_agent() -> AgentFixture {
    let mut agent = AgentFixture::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Done);
    list_runs(&mut agent, vec![run()], Vec::new());
    // The next renewal waits at the server for an end.
    agent.advance(run_limits().renewal_interval);
    leave(&mut agent);
    agent
}

fn leave(agent: &mut AgentFixture) {
    let steps = agent.table.on_leave(agent.now, &"i-1".into());
    agent.apply_steps(steps);
}

fn list_runs(agent: &mut AgentFixture, running: Vec<TaskRun>, ended: Vec<ListedEnd>) {
    agent.answer_renewals_with(&ServerAnswer::Lists { running, ended });
}

/// Whether the agent reports the server as one that takes no work.
fn is_withdrawn(server: &ServerReport) -> bool {
    match server {
        ServerReport::Present(view) => view.draining,
        _ => *server == ServerReport::Absent,
    }
}

#[test]
fn leave_ends_nothing() {
    let mut agent = departing_agent();
    assert_eq!(agent.updates, []);
    assert!(is_withdrawn(&agent.server), "{:?}", agent.server);
    let stop = agent.take_call(is_stop).expect("the run is stopped");
    assert_eq!(stop.lease_until, None, "the lease is not extended");
    agent.answer(&stop, ServerAnswer::Done);
    // The run is still stopping.
    list_runs(&mut agent, vec![run()], Vec::new());
    assert_eq!(agent.updates, []);
    agent.advance(LEASE / 50);
    let end = ListedEnd { number: 1, run: run(), kind: EndKind::Done };
    list_runs(&mut agent, Vec::new(), vec![end]);
    assert_matches!(agent.updates[..], [RunUpdate::Ended { number: 1, kind: EndKind::Done, .. }]);
    assert_eq!(agent.server, ServerReport::Absent);
}

#[test]
fn silent_leave_outwaits_lease() {
    let mut agent = departing_agent();
    agent.stay_silent(LEASE);
    assert_eq!(agent.updates, []);
    agent.stay_silent(LEASE / 4);
    assert_eq!(agent.updates, [RunUpdate::lapsed(run())]);
    assert_eq!(agent.server, ServerReport::Absent);
}

#[test]
fn departing_server_starts_nothing() {
    let mut agent = departing_agent();
    agent.heartbeat(9, false);
    agent.start_run(run_of(1), 1_000);
    assert!(agent.take_call(is_start).is_none(), "a start is sent");
    assert!(is_withdrawn(&agent.server), "{:?}", agent.server);
}

// A clean leave costs no wait: the process has ended, and its address refuses connections.
#[test]
fn refused_connection_ends_runs() {
    let mut agent = departing_agent();
    while let Some(call) = agent.take_call(|_| true) {
        agent.answer(&call, ServerAnswer::ConnectionRefused);
    }
    assert_eq!(agent.updates, [RunUpdate::lapsed(run())]);
    assert_eq!(agent.server, ServerReport::Absent);
}

// A process that listens no more, and still holds a renewal open, has not ended.
#[test]
fn open_renewal_shows_process() {
    let mut agent = departing_agent();
    let renewals: Vec<_> = std::iter::from_fn(|| agent.take_call(is_renewal)).collect();
    while let Some(stop) = agent.take_call(is_stop) {
        agent.answer(&stop, ServerAnswer::ConnectionRefused);
    }
    assert_eq!(agent.updates, []);
    for renewal in &renewals {
        agent.answer(renewal, ServerAnswer::NoAnswer);
    }
    agent.answer_renewals_with(&ServerAnswer::ConnectionRefused);
    assert_eq!(agent.updates, [RunUpdate::lapsed(run())]);
}

// Without a leave, a refused connection ends nothing before the lease has expired.
#[test]
fn refusal_alone_ends_nothing() {
    let mut agent = AgentFixture::new();
    agent.start(1_000);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Done);
    while let Some(call) = agent.take_call(|_| true) {
        agent.answer(&call, ServerAnswer::ConnectionRefused);
    }
    assert_eq!(agent.updates, []);
}

// What an earlier process of the agent started there is not known before the first lists.
#[test]
fn restarted_agent_asks_first() {
    let mut agent = departing_agent();
    agent.table = RunTable::new(agent.now, "agent-1".into(), 50, run_limits());
    while agent.take_call(|_| true).is_some() {}
    agent.server = ServerReport::Absent;
    let steps = agent.table.on_opened(agent.now, entry(), 1);
    agent.apply_steps(steps);
    agent.heartbeat(9, true);
    leave(&mut agent);
    list_runs(&mut agent, vec![run()], Vec::new());
    let stop = agent.take_call(is_stop).expect("the run is stopped");
    assert_matches!(stop.request, ServerRequest::Stop { run: stopped } if stopped == run());
    assert_eq!(agent.updates, []);
}

/// Plays a day on which backend servers leave, with and without an acknowledgement, while calls
/// to them are lost and agents are restarted or cut off from control. The model checks that no
/// task runs twice at once.
fn play_day(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut model = ScheduleModel::new(ENTRIES, AGENTS);
    model.run_time = Duration::from_millis(rng.random_range(200..3_000));
    model.caller_wait = Duration::from_secs(4);
    // Rounds until the process of a server that leaves ends, and until the next one starts.
    let mut leaving: Vec<Option<(usize, usize)>> = vec![None; AGENTS];
    let mut jobs = Vec::new();
    for round in 0..ROUNDS {
        if round % 8 == 0 {
            let best_effort = rng.random();
            let job = job(round + 1, rng.random_range(1..3), best_effort);
            model.submit(rng.random_range(1..=ENTRIES), job.clone());
            jobs.extend((!best_effort).then_some(job));
        }
        let agent = rng.random_range(0..AGENTS);
        if leaving.iter().flatten().count() < 2 && leaving[agent].is_none() && rng.random_bool(0.1)
        {
            model.leave_server(agent);
            let is_acknowledged = rng.random_bool(0.3);
            let rounds = if is_acknowledged { 0 } else { rng.random_range(1..120) };
            leaving[agent] = Some((rounds, rng.random_range(1..40)));
        }
        for (agent, state) in leaving.iter_mut().enumerate() {
            *state = match *state {
                Some((0, 0)) => {
                    model.crash_server(agent);
                    None
                }
                Some((0, next)) => {
                    model.end_server(agent);
                    Some((0, next - 1))
                }
                Some((rounds, next)) => Some((rounds - 1, next)),
                None => None,
            };
        }
        if rng.random_bool(0.01) {
            model.restart_agent(agent);
        }
        let loses_answers = rng.random_bool(0.2);
        if loses_answers && model.calls_in_transit(agent) > 0 {
            model.deliver(agent, 0, true);
        }
        match rng.random_bool(0.1) {
            true => model.step_cut(agent),
            false => model.run_fault_free(1),
        }
    }
    for agent in (0..AGENTS).filter(|agent| leaving[*agent].is_some()) {
        model.crash_server(agent);
    }
    model.settle();
    for job in jobs.iter().filter(|job| model.is_stored(job)) {
        let trace = model.event_trace(&job.id);
        assert_eq!(model.stored_phase(job), Some(JobPhase::Completed), "seed {seed}\n{trace}");
    }
}

#[test]
fn departures_run_once() {
    let days = std::env::var("CACTUSWING_CASES").ok().and_then(|days| days.parse().ok());
    for seed in 1..=days.unwrap_or(4) {
        println!("seed {seed}");
        play_day(seed);
    }
}
