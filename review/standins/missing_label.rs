//! The only minion with a label drains and is taken away. Jobs that require the label wait
//! for another; jobs that require none must go on, as the other minions are idle.

use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, Job, Route, config};
use crate::record::Record;
use crate::system::{Deployment, System};

const PREFIX: &str = "/lohu930/";
/// One of them has the label, and leaves: a sixteenth.
const MINIONS: usize = 16;
const LABELLED_MINION: usize = 15;
const LABELLED_JOBS: u64 = 30;
const PLAIN_JOBS: u64 = 10;
const TASK_MS: u64 = 200;
const TASK_CPU_MILLI: u64 = 1_000;
const MINION_CPU_MILLI: u64 = 16_000;
/// Part of the jobs' objective beside their longest chain of work.
const GOAL_MS: u64 = 60_000;
/// `finish_s`: jobs are looked at this long after the end of the traffic.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running while there is capacity for it.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

pub fn run(record: Record, trouble: bool) -> Verdict {
    let mut minions: [&[&str]; MINIONS] = [&["a", "r1"]; MINIONS];
    minions[LABELLED_MINION] = &["b", "r2"];
    let cpu_milli = MINION_CPU_MILLI;
    let deployment = Deployment { controls: 3, entries: 1, minions: &minions, cpu_milli };
    let system = System::start(&deployment, record.clone());
    let route = Route { name: "r-3hwrr6x", prefix: PREFIX, timeout_ms: 1_500, goal_ms: GOAL_MS };
    let acked = system.operate("PUT", config(1, &[route]).as_bytes(), Duration::from_secs(15));
    if acked.is_none_or(|response| response.status != 200)
        || !system.wait_ready(Duration::from_secs(10))
    {
        return Verdict::CouldNotRun("the system did not become ready");
    }
    std::thread::sleep(Duration::from_secs(4));
    if trouble {
        system.minions[LABELLED_MINION].leave();
    }
    std::thread::sleep(Duration::from_secs(4));

    let client = Client { record: record.clone(), deadline: Duration::from_millis(1_500) };
    let entry = system.front(0);
    let labelled = (0..LABELLED_JOBS).map(|number| job("b0b0b0b0", number, Some("b")));
    let plain = (0..PLAIN_JOBS).map(|number| job("a0a0a0a0", number, None));
    for job in labelled.chain(plain) {
        if client.submit(&[entry; 3], PREFIX, &job) != Some(200) {
            return Verdict::CouldNotRun("a job was not accepted");
        }
    }
    let traffic_ended = Instant::now();
    record.write("the traffic has ended; all jobs were accepted");
    std::thread::sleep(FINISH + IDLE_LIMIT);

    let free: u64 = system.minions.iter().map(|minion| minion.free_cpu()).sum();
    record.write(&format!("free capacity for jobs without a label: {free} thousandths of a core"));
    let mut stalled = 0;
    for number in 0..PLAIN_JOBS {
        let id = job("a0a0a0a0", number, None).id;
        let state = client.state(entry, PREFIX, &id);
        let traces = system.minions.iter().flat_map(|minion| minion.traces());
        let began = traces.filter(|run| run.task.starts_with(&id)).map(|run| run.began).min();
        if began.is_none() {
            stalled += 1;
            record.write(&format!(
                "LOST: {id} has had nothing running for {:.1} s, though minions are idle; state {}",
                traffic_ended.elapsed().as_secs_f64(),
                state.map_or_else(|| "unknown".to_owned(), |(_, state)| state)
            ));
        }
    }
    record.write(&format!("jobs without a label that were not begun: {stalled} of {PLAIN_JOBS}"));
    let has_room = free >= 2 * TASK_CPU_MILLI && 2 * free > MINIONS as u64 * MINION_CPU_MILLI;
    match stalled {
        0 => Verdict::Held,
        _ if has_room => Verdict::Broken,
        _ => Verdict::CouldNotRun("there was no room"),
    }
}

fn job(group: &str, number: u64, required_label: Option<&'static str>) -> Job {
    Job {
        id: format!("{group}{number:08x}"),
        best_effort: false,
        tasks: 1,
        cpu_milli: TASK_CPU_MILLI,
        run_ms: TASK_MS,
        required_label,
    }
}
