//! A control host is down for a while, and is back; large jobs were accepted (and cancelled)
//! meanwhile. When another control host is lost later on, the two that are up must go on
//! together: an accepted job of two steps has to come to its second step.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, Route, config};
use crate::record::Record;
use crate::system::{Deployment, System};

const PREFIX: &str = "/lohu930/";
/// Jobs that are accepted while the first control host is down, by this many clients.
const JOBS: u64 = 840;
const CLIENTS: u64 = 12;
/// Steps of one task each, for minions with a label that none has yet, so that none of the
/// jobs is begun before it is cancelled. The second half depends on all of the first half.
const STEPS: u64 = 180;
const SPEC_BYTES: usize = 4_000;
/// Time from the return of the first control host to the job of two steps; more than
/// `catch_up_s`.
const PAUSE: Duration = Duration::from_secs(12);
/// Time from that job to the loss of the second control host; its first step takes longer.
const LOSE_AFTER: Duration = Duration::from_secs(1);
const STEP_MS: u64 = 4_000;
const MINION_CPU_MILLI: u64 = 16_000;
/// `finish_s`: jobs are asked for this long after the end of the traffic.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running while there is capacity for it.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
const LAST_JOB: &str = "5c0e7a21d94b36f8";

pub fn run(record: Record, trouble: bool) -> Verdict {
    let labels: &[&str] = &["a", "r1"];
    let cpu_milli = MINION_CPU_MILLI;
    let deployment = Deployment { controls: 3, entries: 1, minions: &[labels; 2], cpu_milli };
    let mut system = System::start(&deployment, record.clone());
    let route = Route { name: "r-3hwrr6x", prefix: PREFIX, timeout_ms: 1_500, goal_ms: 3_600_000 };
    let acked = system.operate("PUT", config(1, &[route]).as_bytes(), Duration::from_secs(15));
    if acked.is_none_or(|response| response.status != 200)
        || !system.wait_ready(Duration::from_secs(10))
    {
        return Verdict::CouldNotRun("the system did not become ready");
    }
    std::thread::sleep(Duration::from_secs(4));
    let Some(leader) = system.leader() else {
        return Verdict::CouldNotRun("no leader was found");
    };
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    if trouble {
        system.kill_control(first);
    }
    let entry = system.front(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            std::thread::spawn(move || hand_in(&record, entry, client))
        })
        .collect();
    let accepted: u64 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    record.write(&format!("{accepted} of {JOBS} large jobs were accepted"));
    if accepted < JOBS {
        return Verdict::CouldNotRun("too few jobs were accepted");
    }
    cancel_all(&record, entry);
    if trouble {
        system.restart_control(first);
    }
    std::thread::sleep(PAUSE);

    let client = Client { record: record.clone(), deadline: Duration::from_millis(1_500) };
    let path = format!("{PREFIX}{LAST_JOB}");
    let body = two_steps();
    if !(0..3).any(|_try| client.send(entry, "POST", &path, &body).is_some_and(is_success)) {
        return Verdict::CouldNotRun("the job of two steps was not accepted");
    }
    let traffic_ended = Instant::now();
    std::thread::sleep(LOSE_AFTER);
    if trouble {
        system.kill_control(second);
    }
    let at_finish = traffic_ended + FINISH;
    std::thread::sleep(at_finish.saturating_duration_since(Instant::now()) + IDLE_LIMIT);

    let state = client.state(entry, PREFIX, LAST_JOB);
    let traces = system.minions.iter().flat_map(|minion| minion.traces());
    let own: Vec<_> = traces.filter(|run| run.task.starts_with(LAST_JOB)).collect();
    let free: u64 = system.minions.iter().map(|minion| minion.free_cpu()).sum();
    record.write(&format!("free capacity: {free} thousandths of a core; state {state:?}"));
    let done = own.iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "done")).count();
    let is_idle = own.iter().all(|run| run.ended.is_some());
    match (done, is_idle) {
        (2.., _) | (_, false) => Verdict::Held,
        _ => {
            record.write(&format!(
                "LOST: {done} of 2 steps of {LAST_JOB} are done and nothing runs for it, though \
                 minions are idle and two of three control hosts run"
            ));
            Verdict::Broken
        }
    }
}

/// Cancels all large jobs, so that the system is idle afterwards.
fn cancel_all(record: &Record, entry: SocketAddr) {
    let client = Client { record: record.clone(), deadline: Duration::from_millis(1_500) };
    for number in 0..JOBS {
        let path = format!("{PREFIX}{}", job_id(number % CLIENTS, number / CLIENTS));
        let _cancelled = client.send(entry, "DELETE", &path, "");
    }
}

fn is_success((status, _): (u16, String)) -> bool {
    status == 200
}

fn two_steps() -> String {
    let step = format!("\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":{STEP_MS}");
    format!(
        "{{\"spec\":\"ms={STEP_MS} cpu=1000\",\"steps\":[{{{step}}},{{{step},\"depends_on\":[0]}}]}}"
    )
}

fn job_id(client: u64, number: u64) -> String {
    format!("5c0e{client:04x}{number:08x}")
}

/// Hands in this client's share of the jobs; returns how many were accepted.
fn hand_in(record: &Record, entry: SocketAddr, client: u64) -> u64 {
    let steps: Vec<String> = (0..STEPS)
        .map(|step| {
            let earlier: Vec<String> = (0..STEPS / 2).map(|earlier| earlier.to_string()).collect();
            let after = match step < STEPS / 2 {
                true => String::new(),
                false => format!(",\"depends_on\":[{}]", earlier.join(",")),
            };
            format!(
                "{{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":200,\
                 \"required_label\":\"b\"{after}}}"
            )
        })
        .collect();
    let body =
        format!("{{\"spec\":\"{}\",\"steps\":[{}]}}", "x".repeat(SPEC_BYTES), steps.join(","));
    let sender = Client { record: record.clone(), deadline: Duration::from_millis(1_500) };
    let jobs = 0..JOBS / CLIENTS;
    let accepted = jobs.filter(|number| {
        let path = format!("{PREFIX}{}", job_id(client, *number));
        (0..3).any(|_try| sender.send(entry, "POST", &path, &body).is_some_and(is_success))
    });
    accepted.count() as u64
}
