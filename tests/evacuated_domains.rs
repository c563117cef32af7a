//! Evacuation of failure domains. Guards against a task that starts in a domain that an operator
//! has evacuated, whichever of control, entry or agent has restarted since, and against domains
//! that stay closed, or drained servers that open, when the evacuation ends.

use std::time::{Duration, SystemTime};

use decisions::agent::RunStep;
use decisions::control::ControlState;
use model::{
    AgentOrder, AgentOrders, CatalogQuery, Command, EventLine, JobPhase, LineLevel, LogRecord,
    ResourceAmount, RunUpdate, SchedulerKey, ServerReport, StartRefusal,
};
use proptest::prelude::*;

use crate::agent_fixture::{AgentFixture, entry, heartbeat, run, run_of};
use crate::end_acks::{CONTROL_SESSION, orders};
use crate::schedule_faults::{self, action, apply_action};
use crate::schedule_model::{DOMAIN, ScheduleModel, job};

/// The domain of the agents from [`FIRST_SOUTH`] on.
const SOUTH: &str = "south";
/// Agents before this one are in [`DOMAIN`].
const FIRST_SOUTH: usize = 2;
const AGENTS: usize = 4;
/// Rounds in which all that is in flight arrives.
const ARRIVAL_ROUNDS: usize = 2;
/// Rounds in which a job ends that finds capacity.
const JOB_ROUNDS: usize = 60;
/// Tasks that fill a backend server.
const FULL: u32 = 4;

fn set_evacuation(domain: &str, is_evacuated: bool) -> Command {
    Command::SetEvacuation { domain: domain.into(), is_evacuated }
}

/// Control, two entries, and two agents in each of two domains.
fn zoned_model() -> ScheduleModel {
    let mut model = ScheduleModel::new(2, AGENTS);
    for agent in FIRST_SOUTH..AGENTS {
        model.set_domain(agent, SOUTH);
    }
    model
}

fn evacuate(model: &mut ScheduleModel, domain: &str) {
    model.commit_command(set_evacuation(domain, true));
    model.run_fault_free(ARRIVAL_ROUNDS);
}

fn revoke(model: &mut ScheduleModel, domain: &str) {
    model.commit_command(set_evacuation(domain, false));
    model.run_fault_free(ARRIVAL_ROUNDS);
}

fn starts_in_north(model: &ScheduleModel) -> usize {
    (0..FIRST_SOUTH).map(|server| model.starts_at(server)).sum()
}

fn starts_in_south(model: &ScheduleModel) -> usize {
    (FIRST_SOUTH..AGENTS).map(|server| model.starts_at(server)).sum()
}

/// Submits a stored job, and a best-effort one at each entry, that together take more than the
/// servers of one domain can run at a time.
fn submit_everywhere(model: &mut ScheduleModel, first_id: usize) {
    model.submit(0, job(first_id, FULL, false));
    model.submit(1, job(first_id + 1, FULL, true));
    model.submit(2, job(first_id + 2, FULL, true));
}

#[test]
fn evacuated_starts_nothing() {
    let mut model = zoned_model();
    model.run_time = Duration::from_secs(2);
    model.submit(0, job(1, FULL * AGENTS as u32, false));
    model.run_fault_free(ARRIVAL_ROUNDS + 1);
    let running: Vec<usize> = (0..AGENTS).map(|server| model.running_at(server)).collect();
    assert_eq!(running, [FULL as usize; AGENTS], "all servers are in use");
    evacuate(&mut model, DOMAIN);
    let before = (starts_in_north(&model), starts_in_south(&model));
    assert_eq!(model.running_at(0), FULL as usize, "running tasks go on");
    assert_eq!(model.evacuated_agents(), FIRST_SOUTH);
    model.run_time = Duration::from_millis(120);
    model.run_fault_free(JOB_ROUNDS * 2);
    for round in 1..6 {
        submit_everywhere(&mut model, round * 10);
        model.run_fault_free(JOB_ROUNDS);
    }
    assert_eq!(model.stored_phase(&job(1, 1, false)), Some(JobPhase::Completed));
    assert_eq!(model.stored_phase(&job(50, 1, false)), Some(JobPhase::Completed));
    assert_eq!(starts_in_north(&model), before.0, "nothing starts in the evacuated domain");
    assert!(starts_in_south(&model) > before.1, "the other domain takes the work");
    revoke(&mut model, DOMAIN);
    assert_eq!(model.evacuated_agents(), 0);
    model.run_time = Duration::from_secs(2);
    model.submit(0, job(2, FULL * AGENTS as u32, false));
    model.run_fault_free(ARRIVAL_ROUNDS + 1);
    assert!(starts_in_north(&model) > before.0, "the domain is in use again");
}

// A stored job is not refused or failed for want of a domain, nor started by a change of leader.
#[test]
fn stored_jobs_wait() {
    let mut model = zoned_model();
    evacuate(&mut model, DOMAIN);
    evacuate(&mut model, SOUTH);
    model.submit(0, job(1, FULL, false));
    model.run_fault_free(JOB_ROUNDS);
    model.change_leader();
    model.run_fault_free(JOB_ROUNDS * 4);
    assert_eq!(starts_in_north(&model) + starts_in_south(&model), 0);
    assert!(model.is_stored(&job(1, FULL, false)));
    assert_eq!(model.stored_phase(&job(1, FULL, false)), None);
    revoke(&mut model, SOUTH);
    model.run_fault_free(JOB_ROUNDS);
    assert_eq!(model.stored_phase(&job(1, FULL, false)), Some(JobPhase::Completed));
    assert_eq!(starts_in_north(&model), 0, "the other domain is still evacuated");
}

// A leader that was just elected, and agents and entries that know nothing from before.
#[test]
fn restarts_keep_evacuation() {
    let mut model = zoned_model();
    evacuate(&mut model, DOMAIN);
    for agent in 0..AGENTS {
        model.restart_agent(agent);
    }
    for entry in 1..=2 {
        model.restart_entry(entry);
    }
    model.change_leader();
    model.run_fault_free(JOB_ROUNDS * 4);
    for round in 1..6 {
        submit_everywhere(&mut model, round * 10);
        model.run_fault_free(JOB_ROUNDS);
    }
    assert_eq!(starts_in_north(&model), 0);
    assert!(starts_in_south(&model) > 0);
}

// A backend server that restarts under its id or another one begins its life evacuated.
#[test]
fn server_lives_stay_evacuated() {
    let mut model = zoned_model();
    evacuate(&mut model, DOMAIN);
    model.restart_server(0);
    model.crash_server(1);
    model.run_fault_free(JOB_ROUNDS * 4);
    for round in 1..6 {
        submit_everywhere(&mut model, round * 10);
        model.run_fault_free(JOB_ROUNDS);
    }
    assert_eq!(starts_in_north(&model), 0);
    assert!(starts_in_south(&model) > 0);
}

// An agent cut off from control keeps what it knew, and follows the revocation when it is back.
#[test]
fn cut_agent_keeps_evacuation() {
    let mut model = zoned_model();
    evacuate(&mut model, DOMAIN);
    let cut = 0;
    for round in 0..JOB_ROUNDS * 4 {
        if round == JOB_ROUNDS {
            model.commit_command(set_evacuation(DOMAIN, false));
        }
        if round % 20 == 0 {
            model.submit(1, job(100 + round, FULL, true));
        }
        model.step_cut(cut);
    }
    assert_eq!(model.starts_at(cut), 0);
    assert!(model.starts_at(1) > 0, "the other agent of the domain has learned the end");
    model.run_fault_free(JOB_ROUNDS);
    model.run_time = Duration::from_secs(2);
    model.submit(0, job(2, FULL * AGENTS as u32, false));
    model.run_fault_free(ARRIVAL_ROUNDS + 1);
    assert!(model.starts_at(cut) > 0);
}

// Guards against an agent that starts an entry's tasks since control can't tell it to stop: an
// entry that control reaches places nothing there.
#[test]
fn entries_spare_cut_agent() {
    let mut model = zoned_model();
    let cut = 0;
    model.step_cut(cut);
    model.commit_command(set_evacuation(DOMAIN, true));
    model.tell_entries();
    for round in 0..JOB_ROUNDS * 2 {
        if round % 10 == 0 {
            submit_everywhere(&mut model, 100 + round * 10);
        }
        model.step_cut(cut);
    }
    assert_eq!(starts_in_north(&model), 0);
    assert!(starts_in_south(&model) > 0);
    model.commit_command(set_evacuation(DOMAIN, false));
    model.tell_entries();
    for round in 0..JOB_ROUNDS * 2 {
        if round % 10 == 0 {
            submit_everywhere(&mut model, 10_000 + round * 10);
        }
        model.step_cut(cut);
    }
    assert!(model.starts_at(cut) > 0, "the entries have learned the end");
}

// A server that drains stays closed at schedulers that know the list when the evacuation ends.
#[test]
fn schedulers_keep_drain() {
    let mut model = zoned_model();
    evacuate(&mut model, DOMAIN);
    model.tell_entries();
    model.drain_server(0);
    revoke(&mut model, DOMAIN);
    model.tell_entries();
    for round in 1..6 {
        submit_everywhere(&mut model, round * 10);
        model.run_fault_free(JOB_ROUNDS);
    }
    assert_eq!(model.starts_at(0), 0);
    assert!(model.starts_at(1) > 0);
}

// Guards against a roll in which a control host answers an entry of the previous version with a
// list that it can't decode.
#[test]
fn earlier_queries_told_nothing() {
    let text = r#"{"version":4,"entry":{"name":"e","address":"10.0.0.9:7000"}}"#;
    let query: CatalogQuery = serde_json::from_str(text).expect("an earlier query");
    assert_eq!(query.evacuation_version, None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: crate::support::case_count(60),
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_207),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under lost and late messages and restarts of every process nothing starts in the domain
    /// once the time of an evacuation is over, which the model checks at each start, and stored
    /// jobs complete once it has ended.
    #[test]
    fn faults_keep_evacuation(
        before in prop::collection::vec(action(), 1..100),
        meanwhile in prop::collection::vec(action(), 1..200),
    ) {
        let mut model = ScheduleModel::new(schedule_faults::ENTRIES, schedule_faults::AGENTS);
        model.set_domain(0, SOUTH);
        let mut jobs = 0;
        for action in &before {
            apply_action(&mut model, &mut jobs, action);
        }
        model.commit_command(set_evacuation(DOMAIN, true));
        for action in &meanwhile {
            apply_action(&mut model, &mut jobs, action);
        }
        model.settle();
        for _round in 0..4 {
            for scheduler in 0..=schedule_faults::ENTRIES {
                jobs += 1;
                model.submit(scheduler, job(jobs, FULL, scheduler > 0));
            }
            model.run_fault_free(JOB_ROUNDS);
        }
        revoke(&mut model, DOMAIN);
        model.settle();
        prop_assert_eq!(model.running(), 0);
        for number in 1..=jobs {
            let stored = job(number, 1, false);
            if model.is_stored(&stored) {
                prop_assert_eq!(model.stored_phase(&stored), Some(JobPhase::Completed));
            }
        }
    }
}

fn record(index: u64, command: Command) -> LogRecord {
    LogRecord { index, term: 1, at_ms: 0, command }
}

// Guards against a domain that opens again after a restart of control, and against a host that
// can't read the snapshots of the previous version.
#[test]
fn snapshots_keep_evacuation() {
    let mut state = ControlState::default();
    let empty = serde_json::to_string(&state).expect("the state can be encoded");
    assert!(!empty.contains("evacuated"), "{empty}");
    let earlier: ControlState = serde_json::from_str(&empty).expect("an earlier snapshot loads");
    assert!(earlier.jobs().evacuated().is_empty());
    for (index, domain) in [(1, DOMAIN), (2, SOUTH), (3, DOMAIN)] {
        state.apply(&record(index, set_evacuation(domain, true)));
    }
    state.apply(&record(4, set_evacuation("west", false)));
    let text = serde_json::to_string(&state).expect("the state can be encoded");
    let restored: ControlState = serde_json::from_str(&text).expect("the snapshot loads");
    assert_eq!(restored, state);
    let evacuated: Vec<&str> = restored.jobs().evacuated().iter().map(|name| &**name).collect();
    assert_eq!(evacuated, [DOMAIN, SOUTH]);
    assert_eq!(restored.jobs().state().evacuated.len(), 2);
    assert_eq!(restored.jobs().evacuation_version(), 2, "a repeated call changes nothing");
    state.apply(&record(5, set_evacuation(DOMAIN, false)));
    let evacuated: Vec<&str> = state.jobs().evacuated().iter().map(|name| &**name).collect();
    assert_eq!(evacuated, [SOUTH]);
}

// Orders of the previous version carry no list, and leave an agent with what it knew.
#[test]
fn earlier_orders_decoded() {
    let text = serde_json::to_string(&orders(None, Vec::new())).expect("orders can be encoded");
    assert!(!text.contains("evacuated"), "{text}");
    let decoded: AgentOrders = serde_json::from_str(&text).expect("earlier orders are decoded");
    assert_eq!(decoded.evacuated, None);
}

/// An agent with a session with control, in the domain [`DOMAIN`].
fn connected_agent() -> AgentFixture {
    let mut agent = AgentFixture::new();
    let steps = agent.table.on_opened(agent.now, SchedulerKey::Control, CONTROL_SESSION);
    agent.apply_steps(steps);
    agent
}

/// Sends control's orders with a list of evacuated domains; returns the log lines that follow.
fn send_list(
    agent: &mut AgentFixture,
    evacuated: Option<&[&str]>,
    starts: Vec<AgentOrder>,
) -> Vec<EventLine> {
    let evacuated = evacuated.map(|names| names.iter().map(|name| (*name).into()).collect());
    let sent = AgentOrders { evacuated, ..orders(None, starts) };
    let now = agent.now;
    let steps = agent.table.on_orders(now, &SchedulerKey::Control, CONTROL_SESSION, now, sent);
    let lines = steps.iter().filter_map(|step| match step {
        RunStep::Log(line) => Some(line.clone()),
        _ => None,
    });
    let lines = lines.collect();
    agent.apply_steps(steps);
    lines
}

/// Whether the agent's latest report says that its backend server accepts no new work.
fn is_closed(agent: &AgentFixture) -> bool {
    match &agent.server {
        ServerReport::Present(server) => server.draining,
        report => panic!("no server is reported: {report:?}"),
    }
}

fn start(cpu_milli: u64) -> AgentOrder {
    let size = ResourceAmount { cpu_milli, memory_mb: 1, accelerators: 0 };
    let (life, spec) = ("i-1/7".into(), "work".to_owned());
    AgentOrder::Start { life, runs: vec![run()], spec, size, estimate_ms: None, queue: None }
}

fn refused_as_gone() -> RunUpdate {
    RunUpdate::Refused { run: run(), refusal: StartRefusal::Gone }
}

fn names(lines: &[EventLine], event: &str) -> bool {
    let text = |line: &EventLine| line.clone().finish(SystemTime::UNIX_EPOCH, LineLevel::Info).text;
    lines.iter().any(|line| text(line).starts_with(&format!("event={event} ")))
}

// Guards against a start that comes with the list, or from an entry that doesn't know it yet.
#[test]
fn evacuated_agent_refuses() {
    let mut agent = connected_agent();
    let lines = send_list(&mut agent, Some(&[SOUTH, DOMAIN]), vec![start(100)]);
    assert!(names(&lines, "evacuated"), "{lines:?}");
    assert_eq!(agent.take_start(), None);
    assert_eq!(agent.updates, [refused_as_gone()]);
    assert!(is_closed(&agent));
    agent.updates.clear();
    agent.start(100);
    assert_eq!(agent.take_start(), None);
    assert_eq!(agent.updates, [refused_as_gone()]);
    let lines = send_list(&mut agent, None, Vec::new());
    assert!(is_closed(&agent), "orders without a list change nothing");
    assert!(!names(&lines, "evacuated") && !names(&lines, "evacuation_ended"), "{lines:?}");
    let lines = send_list(&mut agent, Some(&[SOUTH]), Vec::new());
    assert!(names(&lines, "evacuation_ended"), "{lines:?}");
    assert!(!is_closed(&agent));
    agent.start(100);
    assert_eq!(agent.take_start(), Some(run()));
}

// A start that waits for capacity when its domain is evacuated is refused, not started later.
#[test]
fn waiting_start_refused() {
    let mut agent = connected_agent();
    agent.start_run(run_of(1), 2_000);
    assert!(agent.take_start().is_some());
    agent.start(2_000);
    assert_eq!(agent.take_start(), None, "no capacity is free");
    send_list(&mut agent, Some(&[DOMAIN]), Vec::new());
    assert_eq!(agent.updates, [refused_as_gone()]);
}

// A drain and an evacuation end independently of each other.
#[test]
fn drain_outlasts_evacuation() {
    let mut agent = connected_agent();
    agent.heartbeat(2, true);
    send_list(&mut agent, Some(&[DOMAIN]), Vec::new());
    assert!(is_closed(&agent));
    send_list(&mut agent, Some(&[]), Vec::new());
    assert!(is_closed(&agent), "the server drains");
    agent.start(100);
    assert_eq!(agent.take_start(), None);
    agent.heartbeat(3, false);
    assert!(!is_closed(&agent));
}

#[test]
fn evacuation_outlasts_drain() {
    let mut agent = connected_agent();
    send_list(&mut agent, Some(&[DOMAIN]), Vec::new());
    agent.heartbeat(2, true);
    agent.heartbeat(3, false);
    assert!(is_closed(&agent), "the domain is evacuated");
    agent.start(100);
    assert_eq!(agent.take_start(), None);
    send_list(&mut agent, Some(&[]), Vec::new());
    assert!(!is_closed(&agent));
}

// Only control evacuates: a list in an entry's orders changes nothing.
#[test]
fn entry_evacuates_nothing() {
    let mut agent = connected_agent();
    let sent =
        AgentOrders { term: 0, evacuated: Some(vec![DOMAIN.into()]), ..orders(None, Vec::new()) };
    let steps = agent.table.on_orders(agent.now, &entry(), 1, agent.now, sent);
    agent.apply_steps(steps);
    assert!(!is_closed(&agent));
    agent.start(100);
    assert_eq!(agent.take_start(), Some(run()));
}

// A backend server whose heartbeats name no domain is in that of its agent's settings.
#[test]
fn settings_name_domain() {
    let mut agent = connected_agent();
    agent.table = agent.table.clone().in_domain(SOUTH.into());
    let mut unnamed = heartbeat(2, false);
    unnamed.view.domain = "".into();
    let steps = agent.table.on_heartbeat(agent.now, &unnamed);
    agent.apply_steps(steps);
    send_list(&mut agent, Some(&[DOMAIN]), Vec::new());
    assert!(!is_closed(&agent));
    send_list(&mut agent, Some(&[SOUTH]), Vec::new());
    assert!(is_closed(&agent));
}
