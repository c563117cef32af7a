//! A backend server that has left, or is gone without a word, while one of its heartbeats is
//! still on its way. Guards against a server that is in use again after its agent was
//! restarted: the agent remembers nothing of the leave.

use std::time::Duration;

use assert_matches::assert_matches;
use decisions::agent::RunTable;
use model::{JobPhase, ServerAnswer, ServerReport, StartRefusal};

use crate::agent_fixture::{AgentFixture, entry, heartbeat, is_renewal, is_start, run};
use crate::schedule_model::{LEASE, ScheduleModel, job, run_limits};

/// Incarnation of the agent's next process.
const NEXT_INCARNATION: u64 = 50;

/// The fixture with the agent's next process, which knows nothing.
fn restarted_agent() -> AgentFixture {
    let mut agent = AgentFixture::new();
    agent.table = RunTable::new(agent.now, "agent-1".into(), NEXT_INCARNATION, run_limits());
    while agent.take_call(|_| true).is_some() {}
    agent.server = ServerReport::Absent;
    let steps = agent.table.on_opened(agent.now, entry(), 1);
    agent.apply_steps(steps);
    agent
}

/// Lets a heartbeat of the server that has left arrive, and checks that the server is not
/// offered and nothing is started there.
fn late_heartbeat_ignored(agent: &mut AgentFixture) {
    agent.heartbeat(9, false);
    agent.start(1_000);
    for _ in 0..10 {
        let unanswered = agent.stay_silent(LEASE / 2);
        assert!(!unanswered.iter().any(|call| is_start(&call.request)), "a start is sent");
        assert_eq!(agent.server, ServerReport::Absent);
    }
}

/// Lets the next server register at the same address, which refuses calls to the former one.
fn next_server_followed(agent: &mut AgentFixture) {
    let mut next = heartbeat(1, false);
    next.instance = "i-2".into();
    next.view.life = "i-2/8".into();
    for _ in 0..100 {
        let steps = agent.table.on_heartbeat(agent.now, &next);
        agent.apply_steps(steps);
        next.sequence += 1;
        agent.advance(Duration::from_millis(30));
        while let Some(call) = agent.take_call(is_renewal) {
            let answer = match call.instance == next.instance {
                true => ServerAnswer::Lists { running: Vec::new(), ended: Vec::new() },
                false => ServerAnswer::Refused(StartRefusal::Gone),
            };
            agent.answer(&call, answer);
            if agent.server != ServerReport::Absent {
                break;
            }
        }
    }
    assert_matches!(&agent.server, ServerReport::Present(view) if view.life == next.view.life);
}

#[test]
fn left_server_unused() {
    let mut agent = AgentFixture::new();
    let steps = agent.table.on_leave(agent.now, &"i-1".into());
    agent.apply_steps(steps);
    assert_eq!(agent.server, ServerReport::Absent);
    late_heartbeat_ignored(&mut agent);
    next_server_followed(&mut agent);
}

#[test]
fn restarted_agent_waits() {
    let mut agent = restarted_agent();
    late_heartbeat_ignored(&mut agent);
    next_server_followed(&mut agent);
}

// Guards against a thread that spins while the agent may not report yet.
#[test]
fn awaited_lists_rest() {
    let mut agent = restarted_agent();
    agent.heartbeat(9, false);
    agent.start(1_000);
    for _ in 0..100 {
        agent.advance(Duration::from_millis(10));
        let due = agent.table.next_deadline();
        assert!(
            due.is_none_or(|due| due > agent.now),
            "due since {:?}",
            due.map(|due| agent.now - due)
        );
    }
}

/// Whether the agent's next process is told of the leave, or not, makes no difference.
#[test]
fn late_leave_ignored() {
    let mut agent = restarted_agent();
    late_heartbeat_ignored(&mut agent);
    let steps = agent.table.on_leave(agent.now, &"i-1".into());
    agent.apply_steps(steps);
    late_heartbeat_ignored(&mut agent);
    assert!(agent.updates.iter().all(|update| *update != model::RunUpdate::lapsed(run())));
    next_server_followed(&mut agent);
}

// The same with schedulers, which knew the server before: no job waits for it.
#[test]
fn jobs_avoid_departed() {
    let mut model = ScheduleModel::new(1, 2);
    model.lose_server(1);
    model.restart_agent(1);
    // Until the agent's next session the schedulers of the model don't hear that it restarted.
    for _ in 0..100 {
        model.foreign_heartbeat(1, 100);
        model.run_fault_free(1);
    }
    let jobs: Vec<_> = (1..=8).map(|number| job(number, 1, false)).collect();
    for (round, job) in jobs.iter().enumerate() {
        model.foreign_heartbeat(1, 100 + round as u64 % 2);
        model.submit(0, job.clone());
        model.commit();
        model.run_fault_free(20);
    }
    model.run_fault_free(40);
    for job in &jobs {
        let trace = model.event_trace(&job.id);
        assert_eq!(model.stored_phase(job), Some(JobPhase::Completed), "{trace}");
        let starts = model.starts.iter().filter(|(task, _)| task.job == job.id);
        assert_eq!(starts.map(|(_, count)| *count).sum::<usize>(), 1, "{trace}");
        let placed_there =
            |line: &str| line.contains("tasks_placed") && line.contains("agent=agent-1");
        assert!(!trace.lines().any(placed_there), "{trace}");
    }
}
