//! An entry is started again while a machine beside a minion is frozen, and clients that got no
//! response send their best-effort jobs to it.

use std::time::Duration;

use super::prepare;
use crate::Verdict;
use crate::record::Record;
use crate::system::{Plan, Role, System, client_call};

const AGENTS: usize = 10;
const JOBS: usize = 40;
const PREFIX: &str = "/lohu930/";
const TIMEOUT_MS: u64 = 6_000;
const RUN_MS: u64 = 3_000;
/// `resend_ms`.
const RESEND: Duration = Duration::from_millis(1_300);
/// When the disruptions begin, after the jobs were sent.
const DELAY: Duration = Duration::from_millis(300);
/// How long the entry is down.
const DOWN: Duration = Duration::from_millis(300);
/// How long the machine is frozen; the site file has `node_freeze` for up to 3.5 s.
const FREEZE: Duration = Duration::from_millis(2_000);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan { entries: 2, agents: AGENTS, cpu: 16_000, guards: true, links: false };
    let mut system = System::start(plan, record);
    if let Err(verdict) = prepare(&mut system, &[(PREFIX, TIMEOUT_MS)]) {
        return verdict;
    }
    let body = format!(
        "{{\"spec\":\"ms={RUN_MS} cpu=1600\",\"best_effort\":true,\"steps\":[{{\"count\":1,\
         \"cpu\":1600,\"mem_mb\":64,\"estimate_ms\":{RUN_MS}}}]}}"
    );
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let send = |entry: usize| -> Vec<std::thread::JoinHandle<()>> {
        let clients = (0..JOBS).map(|job| {
            let (front, record, body) = (system.front(entry), record.clone(), body.clone());
            std::thread::spawn(move || {
                let path = format!("{PREFIX}5c0e7a21d94b36{job:02x}");
                client_call(&record, front, "POST", &path, &body, timeout);
            })
        });
        clients.collect()
    };
    let mut clients = send(0);
    std::thread::sleep(DELAY);
    let keeper = Role::Agent(0);
    if has_trouble {
        system.signal(keeper, "STOP");
        system.kill(Role::Entry(1));
    }
    std::thread::sleep(DOWN);
    if has_trouble {
        system.restart(Role::Entry(1));
    }
    std::thread::sleep(RESEND - DELAY - DOWN);
    let send = |entry: usize| -> Vec<std::thread::JoinHandle<()>> {
        let clients = (0..JOBS).map(|job| {
            let (front, record, body) = (system.front(entry), record.clone(), body.clone());
            std::thread::spawn(move || {
                let path = format!("{PREFIX}5c0e7a21d94b36{job:02x}");
                client_call(&record, front, "POST", &path, &body, timeout);
            })
        });
        clients.collect()
    };
    clients.extend(send(1));
    std::thread::sleep(FREEZE + DELAY - RESEND);
    if has_trouble {
        system.signal(keeper, "CONT");
    }
    for client in clients {
        let _ended = client.join();
    }
    std::thread::sleep(Duration::from_secs(1));
    let runs = system.runs();
    let mut breaks = 0;
    for (at, first) in runs.iter().enumerate() {
        for second in runs.iter().skip(at + 1).filter(|second| second.task == first.task) {
            let Some((ended, how)) = first.ended else { continue };
            if ended > second.began {
                breaks += 1;
                record.line(format!(
                    "TWICE: {} on {} ended {how} {:?} after run {} of it began on {}",
                    first.task,
                    first.minion,
                    ended - second.began,
                    second.run,
                    second.minion
                ));
            }
        }
    }
    match breaks {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
