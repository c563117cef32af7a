//! An entry is frozen while it takes a job; the client leaves and cancels the job.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use super::prepare;
use crate::Verdict;
use crate::record::Record;
use crate::system::{HOST, Plan, Role, System, client_call};

const PREFIX: &str = "/lohu930/";
const ID: &str = "5c0e7a21d94b36f8";
/// Steps of the job, one task each, one after the other.
const STEPS: usize = 6;
const RUN_MS: u64 = 900;
/// How long the entry is frozen; the site file has `node_freeze` for up to 3.5 s.
const FREEZE: Duration = Duration::from_secs(3);
/// When the client leaves.
const PATIENCE: Duration = Duration::from_millis(500);
/// `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan { entries: 3, agents: 3, cpu: 16_000, guards: true, links: false };
    let mut system = System::start(plan, record);
    if let Err(verdict) = prepare(&mut system, &[(PREFIX, 1_500)]) {
        return verdict;
    }
    let step = |number: usize| {
        let depends = match number.checked_sub(1) {
            Some(earlier) => format!(",\"depends_on\":[{earlier}]"),
            None => String::new(),
        };
        format!("{{\"count\":1,\"cpu\":1600,\"mem_mb\":64,\"estimate_ms\":{RUN_MS}{depends}}}")
    };
    let steps: Vec<String> = (0..STEPS).map(step).collect();
    let body = format!("{{\"spec\":\"ms={RUN_MS} cpu=1600\",\"steps\":[{}]}}", steps.join(","));
    let path = format!("{PREFIX}{ID}");
    if has_trouble {
        system.signal(Role::Entry(0), "STOP");
    }
    let Ok(mut stream) = TcpStream::connect(system.front(0)) else {
        return Verdict::NotRun("the entry can't be reached".to_owned());
    };
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         Cactuswing-Deadline-Ms: 1500\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.line(format!("client POST {path} at {}", system.front(0)));
    if stream.write_all(request.as_bytes()).is_err() {
        return Verdict::NotRun("the request can't be sent".to_owned());
    }
    std::thread::sleep(PATIENCE);
    drop(stream);
    record.line("the client leaves");
    let answer = client_call(record, system.front(1), "DELETE", &path, "", CALL_TIMEOUT);
    if !answer.is_some_and(|answer| matches!(answer.status, 200..=299 | 410)) {
        return Verdict::NotRun("the cancelling is not acknowledged".to_owned());
    }
    let cancelled_at = record.now();
    std::thread::sleep(FREEZE - PATIENCE);
    if has_trouble {
        system.signal(Role::Entry(0), "CONT");
    }
    std::thread::sleep(Duration::from_millis(RUN_MS * STEPS as u64) + Duration::from_secs(2));
    client_call(record, system.front(1), "GET", &path, "", CALL_TIMEOUT);
    let runs = system.runs();
    let late: Vec<_> = runs.iter().filter(|run| run.began > cancelled_at + CANCEL).collect();
    for run in &late {
        let after = run.began - cancelled_at;
        record.line(format!("UNASKED: {} started {after:?} after the cancelling", run.task));
    }
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
