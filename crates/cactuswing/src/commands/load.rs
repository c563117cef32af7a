//! `load`: a steady stream of equal requests against a system in one process,
//! to measure the system's own share of a response.

use clap::ArgMatches;
use model::{LogSettings, OperatorText, read_operator_text};
use standin::{Expectation, InstanceLine, Trace, TraceEvent, TraceHeader, TraceStep};

use super::replay::{finish, play_once};
use super::{show_mistakes, wants_json};
use crate::cli::ExitKind;

const WORKERS: usize = 11;
const TEXT: &str = r#"{
  "services": { "read": { "idempotent": true }, "write": { "idempotent": false } },
  "teams": { "load": { "task_quota": 100000 } }
}"#;

/// Sends the stream and prints what came of it.
pub fn run(matches: &ArgMatches) -> ExitKind {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1).max(1);
    let service = if matches.get_flag("durable") { "write" } else { "read" };
    let trace = steady_trace(
        service,
        number("rate"),
        number("seconds"),
        number("entries"),
        number("run-ms") as f64,
    );
    let text: OperatorText = match read_operator_text(TEXT) {
        Ok(text) => text,
        Err(mistakes) => return show_mistakes("load", &mistakes, false),
    };
    let log = LogSettings { level: "error".into(), file: None };
    let controls = matches.get_one::<usize>("controls").copied().unwrap_or(1);
    match play_once(&trace, text, None, controls, &log) {
        Ok(report) => finish(&[report], wants_json(matches)),
        Err(exit) => exit,
    }
}

fn steady_trace(service: &str, rate: u64, seconds: u64, entries: u64, run_ms: f64) -> Trace {
    let request = |number: u64| TraceEvent {
        at_ms: number * 1_000 / rate,
        step: TraceStep::Request {
            service: service.into(),
            team: "load".into(),
            key: (service == "write").then(|| format!("w-{number}").into()),
            run_ms,
            deadline_ms: None,
        },
    };
    let header = TraceHeader {
        trace: format!("load-{service}-{rate}"),
        about: "equal requests at a steady rate".to_owned(),
        text: String::new(),
        entries: entries as usize,
        client_delay_ms: 0.0,
        instances: (0..WORKERS).map(|number| instance(service, number)).collect(),
    };
    let events = (0..rate * seconds).map(request).collect();
    let expect = Expectation { least_completed_share: Some(1.0), ..Expectation::default() };
    Trace { header, events, expect }
}

fn instance(service: &str, number: usize) -> InstanceLine {
    InstanceLine {
        worker: format!("worker-{number:02}"),
        domain: format!("domain-{}", number % 3),
        rack: format!("rack-{}", number / 3),
        cores: 16,
        memory_mb: 32_768,
        service: service.into(),
        slots: 8,
        connections: 64,
        speed: 1.0,
    }
}
