//! The cases that are scripts. `run.sh` in a case's folder starts this program with the
//! name of the case and the path of its record. It exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

mod client;
mod http;
mod json;
mod killed_together;
mod large_jobs;
mod lost_minion;
mod minion;
mod missing_label;
mod reborn_minion;
mod record;
mod system;
mod unreadable_text;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, path) = (arguments.next().unwrap_or_default(), arguments.next());
    let record = Record::create(&path.expect("the path of the record"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "killed-together" => killed_together::run(record.clone(), trouble),
        "large-jobs" => large_jobs::run(record.clone(), trouble),
        "lost-minion" => lost_minion::run(record.clone(), trouble),
        "missing-label" => missing_label::run(record.clone(), trouble),
        "reborn-minion" => reborn_minion::run(record.clone(), trouble),
        "unreadable-text" => unreadable_text::run(record.clone(), trouble),
        _ => Verdict::CouldNotRun("no such case"),
    };
    let (line, status) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.write(&line);
    println!("{case}: {line}");
    std::process::exit(status);
}
