//! An entry and the agents that run its tasks are killed at the same moment, and start
//! again at once. Clients send their best-effort jobs again, as they must; no task may run
//! twice at the same time.

use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, Job, Route, config};
use crate::minion::RunTrace;
use crate::record::Record;
use crate::system::{Deployment, System};

const PREFIX: &str = "/lohu930/";
const JOBS: u64 = 24;
const TASK_MS: u64 = 3_000;
const TIMEOUT_MS: u64 = 6_000;
/// Time from the clients' requests to the kill.
const KILL_AFTER: Duration = Duration::from_millis(600);
/// Time for which the killed processes are down.
const DOWN: Duration = Duration::from_millis(300);
/// Entry and agents that are killed: half of the entries and half of the agents.
const KILLED_ENTRIES: [usize; 1] = [0];
const KILLED_AGENTS: [usize; 4] = [0, 2, 4, 6];
const MINIONS: usize = 8;

pub fn run(record: Record, trouble: bool) -> Verdict {
    let labels: &[&str] = &["a", "r1"];
    let deployment =
        Deployment { controls: 3, entries: 2, minions: &[labels; MINIONS], cpu_milli: 16_000 };
    let mut system = System::start(&deployment, record.clone());
    let route = Route { name: "r-3hwrr6x", prefix: PREFIX, timeout_ms: TIMEOUT_MS, goal_ms: 60 };
    let acked = system.operate("PUT", config(1, &[route]).as_bytes(), Duration::from_secs(15));
    if acked.is_none_or(|response| response.status != 200)
        || !system.wait_ready(Duration::from_secs(10))
    {
        return Verdict::CouldNotRun("the system did not become ready");
    }
    // Agents have found all schedulers by then.
    std::thread::sleep(Duration::from_secs(4));

    let entries = [system.front(0), system.front(1), system.front(1)];
    let deadline = Duration::from_millis(TIMEOUT_MS);
    let client = Client { record: record.clone(), deadline };
    let clients: Vec<_> = (0..JOBS)
        .map(|number| {
            let client = client.clone();
            let job = Job {
                id: format!("5c0e7a21d94b{number:04x}"),
                best_effort: true,
                tasks: 2,
                cpu_milli: 1_000,
                run_ms: TASK_MS,
                required_label: None,
            };
            std::thread::spawn(move || client.submit(&entries, PREFIX, &job))
        })
        .collect();
    std::thread::sleep(KILL_AFTER);
    if system.minions.iter().all(|minion| minion.running() == 0) {
        return Verdict::CouldNotRun("no task runs");
    }
    if trouble {
        system.kill_together(&KILLED_ENTRIES, &KILLED_AGENTS);
        std::thread::sleep(DOWN);
        system.restart(&KILLED_ENTRIES, &KILLED_AGENTS);
    }
    for client in clients {
        let _status = client.join();
    }
    let traces: Vec<RunTrace> = system.minions.iter().flat_map(|minion| minion.traces()).collect();
    match record_overlaps(&record, &traces) {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Records the pairs of runs of one task that ran at the same time; returns their number.
pub fn record_overlaps(record: &Record, traces: &[RunTrace]) -> usize {
    let mut overlaps = 0;
    for (position, first) in traces.iter().enumerate() {
        for second in &traces[position + 1..] {
            let (Some((first_end, _)), Some((second_end, _))) = (first.ended, second.ended) else {
                continue;
            };
            let from = first.began.max(second.began);
            let until = first_end.min(second_end);
            if first.task == second.task && from < until {
                overlaps += 1;
                record.write(&format!(
                    "TWICE: {} ran at the same time on {} (run {}) and {} (run {}), from {:.3} to \
                     {:.3}",
                    first.task,
                    first.minion,
                    first.run,
                    second.minion,
                    second.run,
                    record.seconds(from),
                    record.seconds(until)
                ));
            }
        }
    }
    record.write(&format!("tasks that ran twice at the same time: {overlaps}"));
    overlaps
}
