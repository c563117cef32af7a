//! Case 10: a minion rejects all starts for some seconds, and callers ask how many jobs wait.

use std::time::Duration;

use super::prepare;
use crate::Verdict;
use crate::json::Json;
use crate::record::Record;
use crate::system::{Plan, System, client_call, rack_label};

/// The last one is alone in its rack.
const AGENTS: usize = 7;
const JOBS: usize = 6;
const PREFIX: &str = "/lohu930/";
const RUN_MS: u64 = 900;
/// How long the minion rejects starts; the site file has `srv_grey` for up to 7.2 s.
const SHED: Duration = Duration::from_secs(7);
/// `visible_ms` + 2 s.
const VISIBLE: Duration = Duration::from_secs(5);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan { entries: 2, agents: AGENTS, cpu: 16_000, guards: true, links: false };
    let mut system = System::start(plan, record);
    if let Err(verdict) = prepare(&mut system, &[(PREFIX, 1_500)]) {
        return verdict;
    }
    let minion = system.minions[AGENTS - 1].clone();
    minion.set_shedding(has_trouble);
    let shed_from = record.now();
    let body = format!(
        "{{\"spec\":\"ms={RUN_MS} cpu=1600\",\"steps\":[{{\"count\":1,\"cpu\":1600,\
         \"mem_mb\":64,\"estimate_ms\":{RUN_MS},\"required_label\":\"{}\"}}]}}",
        rack_label(AGENTS - 1)
    );
    for job in 0..JOBS {
        let path = format!("{PREFIX}5c0e7a21d94b36{job:02x}");
        let answer = client_call(record, system.front(0), "POST", &path, &body, CALL_TIMEOUT);
        if answer.is_none_or(|answer| answer.status / 100 != 2) {
            return Verdict::NotRun(format!("job {job} is not accepted"));
        }
    }
    std::thread::sleep(VISIBLE + Duration::from_millis(300));
    let mut breaks = 0;
    for entry in 0..plan.entries {
        let begun = system.runs().len();
        let answer = client_call(record, system.front(entry), "GET", PREFIX, "", CALL_TIMEOUT);
        let body = answer.and_then(|answer| Json::read(&answer.body));
        let Some(waiting) = body.and_then(|body| body.number("waiting")) else {
            return Verdict::NotRun("the number of waiting jobs isn't told".to_owned());
        };
        let left = JOBS.saturating_sub(begun);
        record.line(format!("{left} jobs haven't begun, {waiting} are told to wait"));
        if (waiting as usize) * 2 < left {
            breaks += 1;
            record.line("MIXED: the number of waiting jobs is under half of those that wait");
        }
    }
    let shed_for = record.now() - shed_from;
    std::thread::sleep(SHED.saturating_sub(shed_for));
    minion.set_shedding(false);
    std::thread::sleep(Duration::from_secs(5));
    for job in 0..JOBS {
        let path = format!("{PREFIX}5c0e7a21d94b36{job:02x}");
        client_call(record, system.front(0), "GET", &path, "", CALL_TIMEOUT);
    }
    if system.runs().len() < JOBS {
        return Verdict::NotRun("a job has not run".to_owned());
    }
    match breaks {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
