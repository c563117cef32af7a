//! The operator replaces the route of an accepted job by one of another name at the same place.

use std::time::Duration;

use super::{START_LIMIT, prepare};
use crate::Verdict;
use crate::record::Record;
use crate::system::{Plan, System, client_call};

const PREFIX: &str = "/lohu930/";
const ID: &str = "5c0e7a21d94b36f8";
const RUN_MS: u64 = 900;
/// `visible_ms`, and `contact_ms` after the change.
const VISIBLE: Duration = Duration::from_secs(3);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan { entries: 2, agents: 3, cpu: 16_000, guards: true, links: false };
    let mut system = System::start(plan, record);
    let routes = [(PREFIX, 1_500)];
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
    system.name_suffix = if has_trouble { "x" } else { "" };
    if !system.put_config(&routes, START_LIMIT) {
        return Verdict::NotRun("the change is not acknowledged".to_owned());
    }
    std::thread::sleep(VISIBLE * 2);
    let mut breaks = 0;
    for entry in 0..plan.entries {
        let answer = client_call(record, system.front(entry), "GET", &path, "", CALL_TIMEOUT);
        match answer.map(|answer| answer.status) {
            Some(410) => breaks += 1,
            Some(_) => {}
            None => return Verdict::NotRun("a request got no answer".to_owned()),
        }
    }
    match breaks {
        0 => Verdict::Held,
        _ => {
            record.line("LOST: an accepted job that nobody has cancelled is answered 410");
            Verdict::Broken
        }
    }
}
