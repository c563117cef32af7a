//! A minion that runs tasks of accepted jobs is lost for good, without a word. Its tasks
//! have to be started elsewhere: the other minions are idle.

use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, Job, Route, config};
use crate::record::Record;
use crate::system::{Deployment, System};

const PREFIX: &str = "/lohu930/";
/// One of them is lost: an eighth.
const MINIONS: usize = 8;
const JOBS: u64 = 24;
const TASK_MS: u64 = 3_000;
const TASK_CPU_MILLI: u64 = 1_000;
const MINION_CPU_MILLI: u64 = 16_000;
/// Time from the clients' requests to the loss.
const LOSE_AFTER: Duration = Duration::from_millis(1_000);
/// `finish_s`: jobs are asked for this long after the end of the traffic.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running while there is capacity for it.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

pub fn run(record: Record, trouble: bool) -> Verdict {
    let labels: &[&str] = &["a", "r1"];
    let cpu_milli = MINION_CPU_MILLI;
    let deployment = Deployment { controls: 3, entries: 1, minions: &[labels; MINIONS], cpu_milli };
    let system = System::start(&deployment, record.clone());
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
    let jobs: Vec<Job> = (0..JOBS).map(job).collect();
    for job in &jobs {
        if client.submit(&[entry; 3], PREFIX, job) != Some(200) {
            return Verdict::CouldNotRun("a job was not accepted");
        }
    }
    let traffic_ended = Instant::now();
    std::thread::sleep(LOSE_AFTER);
    let lost = system.minions.iter().max_by_key(|minion| minion.running());
    let Some(lost) = lost.filter(|minion| minion.running() > 0) else {
        return Verdict::CouldNotRun("no task runs");
    };
    if trouble {
        lost.crash();
    }
    let at_finish = traffic_ended + FINISH;
    std::thread::sleep(at_finish.saturating_duration_since(Instant::now()) + IDLE_LIMIT);

    let free: u64 = system.minions.iter().map(|minion| minion.free_cpu()).sum();
    record.write(&format!("free capacity: {free} thousandths of a core"));
    let traces: Vec<_> = system.minions.iter().flat_map(|minion| minion.traces()).collect();
    let mut stalled = 0;
    for job in &jobs {
        let state = client.state(entry, PREFIX, &job.id).map(|(_, state)| state);
        let own = || traces.iter().filter(|run| run.task.starts_with(&job.id));
        let is_done = own().any(|run| run.ended.is_some_and(|(_, how)| how == "done"));
        let ends: Vec<Instant> = own().filter_map(|run| run.ended.map(|(at, _)| at)).collect();
        let is_idle = ends.len() == own().count();
        let idle = ends.into_iter().max().unwrap_or(traffic_ended).elapsed();
        if !is_done && is_idle && idle >= IDLE_LIMIT {
            stalled += 1;
            record.write(&format!(
                "LOST: {} has had nothing running for {:.1} s and is not done, though minions are \
                 idle; state {}",
                job.id,
                idle.as_secs_f64(),
                state.unwrap_or_else(|| "unknown".to_owned())
            ));
        }
    }
    record.write(&format!("accepted jobs that nothing runs for: {stalled} of {JOBS}"));
    let has_room = free >= 2 * TASK_CPU_MILLI && 2 * free > MINIONS as u64 * MINION_CPU_MILLI;
    match stalled {
        0 => Verdict::Held,
        _ if has_room => Verdict::Broken,
        _ => Verdict::CouldNotRun("there was no room"),
    }
}

fn job(number: u64) -> Job {
    Job {
        id: format!("5c0e7a21d94b{number:04x}"),
        best_effort: false,
        tasks: 1,
        cpu_milli: TASK_CPU_MILLI,
        run_ms: TASK_MS,
        required_label: None,
    }
}
