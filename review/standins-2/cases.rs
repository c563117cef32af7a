//! The cases, by their numbers.

mod cut_agent;
mod deleted_job;
mod dropped_route;
mod hidden_queue;
mod late_submission;
mod renamed_route;
mod suspended_machine;
mod unknown_keeper;
mod waiting_drain;

use crate::Verdict;
use crate::minion::Run;
use crate::record::Record;
use crate::system::System;

use std::time::Duration;

/// Time for the system to start.
pub const START_LIMIT: Duration = Duration::from_secs(20);

/// Runs a case.
pub fn run(case: &str, record: &Record, has_trouble: bool) -> Verdict {
    match case {
        "6" => cut_agent::run(record, has_trouble),
        "7" => suspended_machine::run(record, has_trouble),
        "8" => dropped_route::run(record, has_trouble),
        "9" => waiting_drain::run(record, has_trouble),
        "10" => hidden_queue::run(record, has_trouble),
        "more-2/deleted-job" => deleted_job::run(record, has_trouble),
        "more-2/late-submission" => late_submission::run(record, has_trouble),
        "more-2/renamed-route" => renamed_route::run(record, has_trouble),
        "more-2/unknown-keeper" => unknown_keeper::run(record, has_trouble),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    }
}

/// Sends the configuration and waits for the system.
pub fn prepare(system: &mut System, routes: &[(&str, u64)]) -> Result<(), Verdict> {
    if !system.put_config(routes, START_LIMIT) {
        return Err(Verdict::NotRun("the configuration is not acknowledged".to_owned()));
    }
    match system.await_ready(START_LIMIT) {
        true => Ok(()),
        false => Err(Verdict::NotRun("the entries are not ready".to_owned())),
    }
}

/// Looks for breaks of TWICE among the runs of stored jobs, as the rule is written: two runs of
/// a task at the same time, or a start after a run has ended `done` whose end is taken note of.
pub fn find_twice(runs: &[Run], record: &Record) -> usize {
    let mut breaks = 0;
    for (at, first) in runs.iter().enumerate() {
        for second in runs.iter().skip(at + 1).filter(|second| second.task == first.task) {
            let overlap = first.ended.is_none_or(|(ended, _)| ended > second.began);
            let was_done = first.ended.is_some_and(|(_, how)| how == "done");
            let is_noted = first.noted.is_some();
            if overlap || (was_done && is_noted) {
                breaks += 1;
                record.line(format!(
                    "TWICE: {} run {} on {} began {:?}, ended {:?}, noted {:?}; run {} on {} began {:?}",
                    first.task, first.run, first.minion, first.began, first.ended, first.noted,
                    second.run, second.minion, second.began
                ));
            }
        }
    }
    breaks
}
