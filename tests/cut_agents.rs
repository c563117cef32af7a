//! Agents that are cut off from control, but not from entries. Guards against a task that runs
//! again although its run has ended successfully while its agent was cut off: the end is
//! acknowledged once the agent is back, unless the lease has expired meanwhile.

use std::time::{Duration, Instant};

use model::{AgentOrder, EndKind, JobPhase, ListedEnd, ResourceAmount, SchedulerKey, ServerAnswer};

use crate::agent_fixture::{AgentFixture, is_renewal, is_start, run};
use crate::end_acks::{CONTROL_GRANT, CONTROL_SESSION, orders};
use crate::schedule_model::{LEASE, ScheduleModel, job};

/// Tasks of the stored job.
const TASKS: u32 = 6;
/// Time between two best-effort jobs, for which entries give grants meanwhile.
const JOB_INTERVAL: usize = 10;

/// What happens to the agent's process while it is cut off.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// It is killed and started again.
    Restart,
    /// It stands still for this time; its backend server goes on.
    Freeze(Duration),
}

/// Cuts an agent off from control while stored tasks run there, with best-effort jobs beside.
fn cut_agent(run_time: Duration, cut: Duration, trouble: Trouble) {
    let mut model = ScheduleModel::new(1, 3);
    model.run_time = run_time;
    let stored = job(1, TASKS, false);
    model.submit(0, stored.clone());
    model.run_fault_free(2);
    assert_eq!(model.running(), TASKS as usize);
    let cut_at = model.now;
    let (mut rounds, mut is_restarted) = (0, false);
    while model.now < cut_at + cut {
        if rounds % JOB_INTERVAL == 0 {
            model.submit(1, job(100 + rounds, 1, true));
        }
        let middle = model.now >= cut_at + cut / 2;
        match trouble {
            Trouble::Restart if middle && !is_restarted => {
                is_restarted = true;
                model.restart_agent(0);
            }
            Trouble::Freeze(time) if middle && model.now < cut_at + cut / 2 + time => {
                model.freeze_agent(0);
            }
            Trouble::Freeze(_) => model.thaw_agent(0),
            _ => {}
        }
        model.step_cut(0);
        rounds += 1;
    }
    model.thaw_agent(0);
    model.run_fault_free(400);
    let case = format!("runs of {run_time:?}, cut for {cut:?}, {trouble:?}");
    assert_eq!(model.stored_phase(&stored), Some(JobPhase::Completed), "{case}");
    assert_eq!(model.unacked_ends(), 0, "{case}");
}

#[test]
fn cut_tasks_run_once() {
    for run_ms in [200, 900, 2_500, 5_000] {
        for cut_ms in [1_000, 4_200, 5_000, 5_700, 6_000, 8_000, 20_000] {
            cut_agent(Duration::from_millis(run_ms), Duration::from_millis(cut_ms), Trouble::None);
        }
    }
}

#[test]
fn cut_restarts_run_once() {
    let freezes = [500, 1_500, 3_000].map(|ms| Trouble::Freeze(Duration::from_millis(ms)));
    for trouble in freezes.into_iter().chain([Trouble::Restart]) {
        for run_ms in [200, 900, 2_500] {
            for cut_ms in [5_700, 7_400, 9_000] {
                cut_agent(Duration::from_millis(run_ms), Duration::from_millis(cut_ms), trouble);
            }
        }
    }
}

/// Lets time pass in which the entry gives grants and renewals are answered; returns when a
/// renewal was sent and until when it lets runs stay active, of those that do.
fn extended_leases(agent: &mut AgentFixture, time: Duration) -> Vec<(Instant, Instant)> {
    let until = agent.now + time;
    let mut leases = Vec::new();
    while agent.now < until {
        agent.advance(Duration::from_millis(20));
        agent.order(Vec::new());
        while let Some(renewal) = agent.take_call(is_renewal) {
            leases.extend(renewal.valid_until.map(|until| (agent.now, until)));
            let lists = ServerAnswer::Lists { running: Vec::new(), ended: Vec::new() };
            agent.answer(&renewal, lists);
        }
    }
    leases
}

// Guards against an end that control has given up, and that still counts: the lease has to
// expire before control starts the task elsewhere, and only then.
#[test]
fn unacked_end_ends_lease() {
    let mut agent = AgentFixture::new();
    let steps = agent.table.on_opened(agent.now, SchedulerKey::Control, CONTROL_SESSION);
    agent.apply_steps(steps);
    let size = ResourceAmount { cpu_milli: 100, memory_mb: 1, accelerators: 0 };
    let (life, spec) = ("i-1/7".into(), "work".to_owned());
    let start = orders(
        None,
        vec![AgentOrder::Start {
            life,
            runs: vec![run()],
            spec,
            size,
            estimate_ms: None,
            queue: None,
        }],
    );
    let now = agent.now;
    let steps = agent.table.on_orders(now, &SchedulerKey::Control, CONTROL_SESSION, now, start);
    agent.apply_steps(steps);
    let start = agent.take_call(is_start).expect("the run is started");
    agent.answer(&start, ServerAnswer::Done);
    agent.advance(Duration::from_millis(20));
    agent.list_end(ListedEnd { number: 1, run: run(), kind: EndKind::Done });
    let given_up_at = agent.now + CONTROL_GRANT + LEASE;
    let leases = extended_leases(&mut agent, CONTROL_GRANT + LEASE * 4);
    let expiries = leases.windows(2).filter(|pair| pair[1].0 > pair[0].1);
    let expiry = expiries.map(|pair| pair[0].1).next().expect("the lease expires");
    assert!(expiry > given_up_at - LEASE * 2, "only once control's grant is over");
    assert!(expiry < given_up_at, "before control starts the task elsewhere");
    let last = leases.last().expect("the entry's runs may go on");
    assert!(last.0 > given_up_at, "the end is void");
}
