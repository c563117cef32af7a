//! Case 8: the operator removes the route of a job that was accepted and has not ended.

use std::time::Duration;

use super::{START_LIMIT, prepare};
use crate::Verdict;
use crate::record::Record;
use crate::system::{Plan, System, client_call};

const PREFIX: &str = "/lohu930/";
const OTHER_PREFIX: &str = "/pufi791/";
const ID: &str = "5c0e7a21d94b36f8";
const RUN_MS: u64 = 900;
/// `finish_s`, after which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan { entries: 2, agents: 3, cpu: 16_000, guards: true, links: false };
    let mut system = System::start(plan, record);
    let routes = [(PREFIX, 1_500), (OTHER_PREFIX, 1_500)];
    if let Err(verdict) = prepare(&mut system, &routes) {
        return verdict;
    }
    let step = "\"count\":2,\"cpu\":1600,\"mem_mb\":64,\"estimate_ms\":900";
    let body = format!(
        "{{\"spec\":\"ms={RUN_MS} cpu=1600\",\"steps\":[{{{step}}},{{{step},\"depends_on\":[0]}}]}}"
    );
    let path = format!("{PREFIX}{ID}");
    let answer = client_call(record, system.front(0), "POST", &path, &body, CALL_TIMEOUT);
    if answer.is_none_or(|answer| answer.status / 100 != 2) {
        return Verdict::NotRun("the job is not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_millis(300));
    let changed = match has_trouble {
        true => system.put_config(&routes[1..], START_LIMIT),
        false => system.put_config(&routes, START_LIMIT),
    };
    if !changed {
        return Verdict::NotRun("the change is not acknowledged".to_owned());
    }
    std::thread::sleep(FINISH);
    client_call(record, system.front(0), "GET", &path, "", CALL_TIMEOUT);
    let first_ends = system.runs().iter().filter(|run| run.ended.is_some()).count();
    let has_second = system.runs().iter().any(|run| run.task.contains(".0.1."));
    // For the record: the job is still there once its route is back.
    if !system.put_config(&routes, START_LIMIT) {
        return Verdict::NotRun("the last change is not acknowledged".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    client_call(record, system.front(0), "GET", &path, "", CALL_TIMEOUT);
    if first_ends < 2 {
        return Verdict::NotRun("the first step has not ended".to_owned());
    }
    if has_second {
        return Verdict::Held;
    }
    record.line(format!(
        "LOST: for {FINISH:?} no task of the second step ran, with all minions idle and the \
         first step done"
    ));
    Verdict::Broken
}
