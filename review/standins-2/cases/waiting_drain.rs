//! Case 9: an entry gets SIGTERM while a request waits there for capacity.

use std::time::Duration;

use super::prepare;
use crate::Verdict;
use crate::record::Record;
use crate::system::{Plan, Role, System, client_call};

const PREFIX: &str = "/lohu930/";
/// `timeout_ms` of the route, and how long the clients wait.
const TIMEOUT_MS: u64 = 6_000;
const AGENTS: usize = 3;
/// Tasks that fill all minions.
const FILLERS: usize = 9;
const FILLER_MS: u64 = 8_000;
/// Work of the request's task, as that of an order confirmation.
const RUN_MS: u64 = 900;
/// When the request is sent, after the SIGTERM: the platform still sends the node requests, as
/// it probes once a second and waits for two misses.
const SEND_DELAY: Duration = Duration::from_millis(1_800);
/// `grace_s`, after which SIGKILL follows SIGTERM.
const GRACE: Duration = Duration::from_secs(6);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan { entries: 2, agents: AGENTS, cpu: 4_800, guards: true, links: false };
    let mut system = System::start(plan, record);
    if let Err(verdict) = prepare(&mut system, &[(PREFIX, TIMEOUT_MS)]) {
        return verdict;
    }
    let job = |count: usize, run_ms: u64, best_effort: bool| {
        format!(
            "{{\"spec\":\"ms={run_ms} cpu=1600\",\"best_effort\":{best_effort},\"steps\":[{{\
             \"count\":{count},\"cpu\":1600,\"mem_mb\":64,\"estimate_ms\":{run_ms}}}]}}"
        )
    };
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let filler = job(FILLERS, FILLER_MS, false);
    let path = format!("{PREFIX}5c0e7a21d94b3600");
    let answer = client_call(record, system.front(1), "POST", &path, &filler, timeout);
    if answer.is_none_or(|answer| answer.status / 100 != 2) {
        return Verdict::NotRun("the first job is not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_millis(500));
    if system.runs().len() != FILLERS {
        return Verdict::NotRun("the minions are not full".to_owned());
    }
    if has_trouble {
        system.signal(Role::Entry(0), "TERM");
    }
    std::thread::sleep(SEND_DELAY);
    let (front, own_record) = (system.front(0), record.clone());
    let request = std::thread::spawn(move || {
        let path = format!("{PREFIX}5c0e7a21d94b3601");
        let sent = own_record.now();
        let answer = client_call(&own_record, front, "POST", &path, &job(1, RUN_MS, true), timeout);
        (answer, own_record.now() - sent)
    });
    if has_trouble {
        std::thread::sleep(GRACE - SEND_DELAY);
        system.kill(Role::Entry(0));
    }
    let Ok((answer, took)) = request.join() else {
        return Verdict::NotRun("the client failed".to_owned());
    };
    std::thread::sleep(Duration::from_secs(1));
    match answer {
        Some(_) => Verdict::Held,
        None if took >= timeout => Verdict::NotRun("the client's deadline was reached".to_owned()),
        None => {
            let tasks = system.runs().iter().filter(|run| run.task.contains("3601.")).count();
            record.line(format!(
                "LOST: the connection ended without an answer {took:?} after the request, of \
                 which {tasks} tasks had started"
            ));
            Verdict::Broken
        }
    }
}
