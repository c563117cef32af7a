//! A minion crashes, and starts again under the id that it had, while the agent on its machine
//! stands still for less than a second. Jobs are handed in meanwhile; no task may run twice at
//! the same time. The same comes some times in turn, on all machines.

use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, Job, Route, config};
use crate::killed_together::record_overlaps;
use crate::minion::{Minion, RunTrace};
use crate::record::Record;
use crate::system::{Deployment, Signal, System};

const PREFIX: &str = "/lohu930/";
/// One at a time is disturbed: an eighth of the minions, a twelfth of the processes.
const MINIONS: usize = 8;
const ROUNDS: usize = 8;
const JOBS_PER_ROUND: u64 = 40;
const TASK_MS: u64 = 800;
/// Time from the agent's freeze to the crash of its minion, and from there to its restart.
const CRASH_AFTER: Duration = Duration::from_millis(100);
const DOWN: Duration = Duration::from_millis(100);
/// Time for which the agent stands still.
const FREEZE: Duration = Duration::from_millis(850);
/// Calm time after each round.
const CALM: Duration = Duration::from_millis(3_300);

pub fn run(record: Record, trouble: bool) -> Verdict {
    let labels: &[&str] = &["a", "r1"];
    let deployment =
        Deployment { controls: 3, entries: 1, minions: &[labels; MINIONS], cpu_milli: 16_000 };
    let mut system = System::start(&deployment, record.clone());
    let route = Route { name: "r-3hwrr6x", prefix: PREFIX, timeout_ms: 1_500, goal_ms: 60 };
    let acked = system.operate("PUT", config(1, &[route]).as_bytes(), Duration::from_secs(15));
    if acked.is_none_or(|response| response.status != 200)
        || !system.wait_ready(Duration::from_secs(10))
    {
        return Verdict::CouldNotRun("the system did not become ready");
    }
    std::thread::sleep(Duration::from_secs(4));

    let client = Client { record: record.clone(), deadline: Duration::from_millis(1_500) };
    let entry = system.front(0);
    let mut ended: Vec<Minion> = Vec::new();
    for round in 0..ROUNDS {
        let machine = round % MINIONS;
        let began = Instant::now();
        if trouble {
            system.signal_agent(machine, Signal::Stop);
            std::thread::sleep(CRASH_AFTER);
            system.minions[machine].crash();
            std::thread::sleep(DOWN);
            ended.push(system.restart_minion(machine));
        }
        for number in 0..JOBS_PER_ROUND {
            if client.submit(&[entry; 3], PREFIX, &job(round, number)) != Some(200) {
                return Verdict::CouldNotRun("a job was not accepted");
            }
        }
        std::thread::sleep((began + FREEZE).saturating_duration_since(Instant::now()));
        if trouble {
            system.signal_agent(machine, Signal::Continue);
        }
        std::thread::sleep(CALM);
    }
    let minions = ended.iter().chain(&system.minions);
    let traces: Vec<RunTrace> = minions.flat_map(|minion| minion.traces()).collect();
    if traces.is_empty() {
        return Verdict::CouldNotRun("no task was run");
    }
    match record_overlaps(&record, &traces) {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn job(round: usize, number: u64) -> Job {
    Job {
        id: format!("5c0e7a{round:02x}{number:08x}"),
        best_effort: false,
        tasks: 2,
        cpu_milli: 1_000,
        run_ms: TASK_MS,
        required_label: None,
    }
}
