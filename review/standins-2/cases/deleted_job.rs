//! A client cancels a best-effort job while it runs.

use std::time::Duration;

use super::prepare;
use crate::Verdict;
use crate::record::Record;
use crate::system::{Plan, System, client_call};

const PREFIX: &str = "/lohu930/";
const ID: &str = "5c0e7a21d94b36f8";
/// `timeout_ms` of the route, and how long the client waits.
const TIMEOUT_MS: u64 = 15_000;
/// Steps of the job, one task each, one after the other.
const STEPS: usize = 8;
const RUN_MS: u64 = 900;
/// `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan { entries: 2, agents: 3, cpu: 16_000, guards: true, links: false };
    let mut system = System::start(plan, record);
    if let Err(verdict) = prepare(&mut system, &[(PREFIX, TIMEOUT_MS)]) {
        return verdict;
    }
    let step = |number: usize| {
        let depends =
            if number == 0 { String::new() } else { format!(",\"depends_on\":[{}]", number - 1) };
        format!("{{\"count\":1,\"cpu\":1600,\"mem_mb\":64,\"estimate_ms\":{RUN_MS}{depends}}}")
    };
    let steps: Vec<String> = (0..STEPS).map(step).collect();
    let body = format!(
        "{{\"spec\":\"ms={RUN_MS} cpu=1600\",\"best_effort\":true,\"steps\":[{}]}}",
        steps.join(",")
    );
    let path = format!("{PREFIX}{ID}");
    let (front, own_record, own_path) = (system.front(0), record.clone(), path.clone());
    let submission = std::thread::spawn(move || {
        let timeout = Duration::from_millis(TIMEOUT_MS);
        client_call(&own_record, front, "POST", &own_path, &body, timeout)
    });
    std::thread::sleep(Duration::from_millis(500));
    if system.runs().is_empty() {
        return Verdict::NotRun("no task has started".to_owned());
    }
    let mut cancelled_at = None;
    if has_trouble {
        let answer = client_call(record, system.front(0), "DELETE", &path, "", CALL_TIMEOUT);
        match answer.map(|answer| answer.status) {
            Some(200..=299 | 410) => cancelled_at = Some(record.now()),
            _ => return Verdict::NotRun("the cancelling is not acknowledged".to_owned()),
        }
    }
    std::thread::sleep(Duration::from_millis(RUN_MS * STEPS as u64) + Duration::from_secs(2));
    let answer = submission.join().ok().flatten();
    let runs = system.runs();
    let Some(cancelled_at) = cancelled_at else {
        return match answer {
            Some(answer) if answer.status == 200 && runs.len() == STEPS => Verdict::Held,
            _ => Verdict::NotRun("the job is not completed".to_owned()),
        };
    };
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
