//! Case 6: a machine beside a minion is cut from control for some seconds, while a task of a
//! stored job ends there.

use std::time::{Duration, Instant};

use super::{find_twice, prepare};
use crate::Verdict;
use crate::record::Record;
use crate::system::{Plan, System, client_call};

const AGENTS: usize = 5;
const JOBS: usize = 5;
const PREFIX: &str = "/lohu930/";
/// Work of a task, as that of an order confirmation.
const RUN_MS: u64 = 900;
/// Largest dose of `node_cut` on `side` machines in the site file.
const CUT: Duration = Duration::from_secs(6);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan { entries: 2, agents: AGENTS, cpu: 16_000, guards: true, links: true };
    let mut system = System::start(plan, record);
    if let Err(verdict) = prepare(&mut system, &[(PREFIX, 1_500)]) {
        return verdict;
    }
    let body = format!(
        "{{\"spec\":\"ms={RUN_MS} cpu=1600\",\"steps\":[{{\"count\":1,\"cpu\":1600,\
         \"mem_mb\":64,\"estimate_ms\":{RUN_MS}}}]}}"
    );
    let ids: Vec<String> = (0..JOBS).map(|job| format!("5c0e7a21d94b36{job:02x}")).collect();
    for (job, id) in ids.iter().enumerate() {
        let front = system.front(job % plan.entries);
        let answer = client_call(record, front, "POST", &path(id), &body, CALL_TIMEOUT);
        if answer.is_none_or(|answer| answer.status / 100 != 2) {
            return Verdict::NotRun(format!("job {id} is not accepted"));
        }
    }
    let Some(agent) = await_start(&system) else {
        return Verdict::NotRun("no task has started".to_owned());
    };
    if has_trouble {
        system.set_cut(agent, true);
    }
    std::thread::sleep(CUT);
    if has_trouble {
        system.set_cut(agent, false);
    }
    std::thread::sleep(Duration::from_secs(8));
    for id in &ids {
        client_call(record, system.front(0), "GET", &path(id), "", CALL_TIMEOUT);
    }
    let runs = system.runs();
    let all_done = ids.iter().all(|id| {
        runs.iter().any(|run| {
            run.task.starts_with(id.as_str()) && run.ended.is_some_and(|(_, how)| how == "done")
        })
    });
    if !all_done {
        return Verdict::NotRun("a task has not run to its end".to_owned());
    }
    match find_twice(&runs, record) {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn path(id: &str) -> String {
    format!("{PREFIX}{id}")
}

/// Waits for a run that has just begun; returns the number of its machine.
fn await_start(system: &System) -> Option<usize> {
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        let active =
            |minion: &crate::minion::Minion| minion.runs().iter().any(|run| run.ended.is_none());
        if let Some(agent) = system.minions.iter().position(active) {
            return Some(agent);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    None
}
