//! The cases of the second review that are scripts. The argument is the folder of a case in `review/`;
//! `TROUBLE=0` leaves its disruption out. Exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run.

mod cases;
mod http;
mod json;
mod link;
mod minion;
mod record;
mod system;

use std::path::PathBuf;

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let folder = PathBuf::from("review").join(&case);
    let record = Record::create(&folder);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case {case}, with the disruption: {has_trouble}"));
    let verdict = cases::run(&case, &record, has_trouble);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
