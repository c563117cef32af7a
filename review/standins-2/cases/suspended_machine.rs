//! Case 7: a machine beside a minion is suspended for some seconds, and the minion with it.

use std::time::{Duration, Instant};

use super::{find_twice, prepare};
use crate::Verdict;
use crate::record::Record;
use crate::system::{Plan, Role, System, client_call};

const AGENTS: usize = 10;
const JOBS: usize = 30;
const PREFIX: &str = "/lohu930/";
/// Work of a task, as that of an order confirmation.
const RUN_MS: u64 = 900;
/// Part of a task's work that is done when the machine is suspended.
const WORKED: Duration = Duration::from_millis(600);
/// How long the machine is suspended; the site file has `node_freeze` for up to 3.5 s.
const SUSPENSION: Duration = Duration::from_millis(2_500);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan { entries: 2, agents: AGENTS, cpu: 16_000, guards: true, links: false };
    let mut system = System::start(plan, record);
    if let Err(verdict) = prepare(&mut system, &[(PREFIX, 1_500)]) {
        return verdict;
    }
    let body = format!(
        "{{\"spec\":\"ms={RUN_MS} cpu=1600\",\"steps\":[{{\"count\":1,\"cpu\":1600,\
         \"mem_mb\":64,\"estimate_ms\":{RUN_MS}}}]}}"
    );
    for job in 0..JOBS {
        let path = format!("{PREFIX}5c0e7a21d94b36{job:02x}");
        let front = system.front(job % plan.entries);
        let answer = client_call(record, front, "POST", &path, &body, CALL_TIMEOUT);
        if answer.is_none_or(|answer| answer.status / 100 != 2) {
            return Verdict::NotRun(format!("job {job} is not accepted"));
        }
    }
    std::thread::sleep(WORKED);
    let is_busy = |agent: &usize| {
        system.minions[*agent].runs().iter().filter(|run| run.ended.is_none()).count() > 0
    };
    let Some(agent) = (0..AGENTS).find(is_busy) else {
        return Verdict::NotRun("no task is at work".to_owned());
    };
    if has_trouble {
        system.signal(Role::Agent(agent), "STOP");
        system.minions[agent].suspend(SUSPENSION);
        system.signal(Role::Agent(agent), "CONT");
    } else {
        std::thread::sleep(SUSPENSION);
    }
    let until = Instant::now() + Duration::from_secs(10);
    let all_done = loop {
        let runs = system.runs();
        let is_done = |job: usize| {
            let id = format!("5c0e7a21d94b36{job:02x}");
            let mut ends = runs.iter().filter(|run| run.task.starts_with(&id));
            ends.any(|run| run.ended.is_some_and(|(_, how)| how == "done"))
        };
        let are_over = runs.iter().all(|run| run.ended.is_some());
        if are_over && (0..JOBS).all(is_done) {
            break true;
        }
        if Instant::now() > until {
            break false;
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    std::thread::sleep(Duration::from_secs(1));
    if !all_done {
        return Verdict::NotRun("a task has not run to its end".to_owned());
    }
    match find_twice(&system.runs(), record) {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
