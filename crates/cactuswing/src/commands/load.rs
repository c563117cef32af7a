//! `load`: sends identical requests at a steady rate to a cluster in this
//! process, to measure the system's overhead on a response.

use clap::ArgMatches;
use indexmap::IndexMap;
use model::{LogSettings, OperatorConfig, read_operator_config};
use standin::{Expectation, InstanceLine, Trace, TraceEvent, TraceHeader, TraceStep};

use super::replay::{play_once, print_and_check};
use super::{show_errors, wants_json};
use crate::cli::ExitKind;
use crate::replay::ReplayReport;

/// Number of workers in the cluster under load, each with an agent.
const WORKER_COUNT: usize = 11;
/// Operators' text of the cluster under load: one idempotent service, whose
/// requests the ledger does not record, and one whose requests it does.
const OPERATOR_TEXT: &str = r#"{
  "services": { "read": { "idempotent": true }, "write": { "idempotent": false } },
  "teams": { "load": { "task_quota": 100000 } }
}"#;

/// The load and the size of the cluster that receives it.
struct LoadPlan {
    service: &'static str,
    /// Requests a second.
    rate: u64,
    seconds: u64,
    entries: usize,
    agents: usize,
    /// Run time of each task.
    run_ms: f64,
    /// Number of control hosts.
    controls: usize,
}

/// Sends the requests and prints the report; with `--slopes`, measures the cost
/// of each duty instead.
pub fn run(matches: &ArgMatches) -> ExitKind {
    if matches.get_flag("slopes") {
        return super::slopes::run(wants_json(matches));
    }
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1).max(1);
    let plan = LoadPlan {
        service: if matches.get_flag("durable") { "write" } else { "read" },
        rate: number("rate"),
        seconds: number("seconds"),
        entries: number("entries") as usize,
        agents: WORKER_COUNT,
        run_ms: number("run-ms") as f64,
        controls: matches.get_one::<usize>("controls").copied().unwrap_or(1),
    };
    match play_plan(&plan) {
        Ok(report) => print_and_check(&[report], wants_json(matches)),
        Err(exit) => exit,
    }
}

fn play_plan(plan: &LoadPlan) -> Result<ReplayReport, ExitKind> {
    let text: OperatorConfig = read_operator_config(OPERATOR_TEXT)
        .map_err(|errors| show_errors("load", &errors, false))?;
    let log = LogSettings { level: "error".into(), file: None };
    play_once(&steady_trace(plan), text, None, plan.controls, &log)
}

/// Sends `rate` requests a second for `seconds`, and returns the processor time by
/// duty, in seconds for each second of the replay.
pub(super) fn play_steady(
    service: &'static str,
    rate: u64,
    seconds: u64,
) -> Result<IndexMap<String, f64>, ExitKind> {
    let plan = LoadPlan {
        service,
        rate,
        seconds,
        entries: 2,
        agents: WORKER_COUNT,
        run_ms: 1.0,
        controls: 3,
    };
    play_plan(&plan).map(|report| duty_seconds_per_second(&report))
}

/// Runs `agents` nearly idle agents for `seconds`, with one request a second, and
/// returns the processor time by duty, in seconds for each second of the replay.
pub(super) fn play_idle(agents: usize, seconds: u64) -> Result<IndexMap<String, f64>, ExitKind> {
    let plan = LoadPlan {
        service: "read",
        rate: 1,
        seconds,
        entries: 1,
        agents,
        run_ms: 1.0,
        controls: 3,
    };
    play_plan(&plan).map(|report| duty_seconds_per_second(&report))
}

fn duty_seconds_per_second(report: &ReplayReport) -> IndexMap<String, f64> {
    let used = report.duty_seconds.iter();
    used.map(|(duty, seconds)| (duty.clone(), seconds / report.seconds)).collect()
}

fn steady_trace(plan: &LoadPlan) -> Trace {
    let request = |number: u64| TraceEvent {
        at_ms: number * 1_000 / plan.rate,
        step: TraceStep::Request {
            service: plan.service.into(),
            team: "load".into(),
            key: (plan.service == "write").then(|| format!("w-{number}").into()),
            run_ms: plan.run_ms,
            deadline_ms: None,
        },
    };
    let header = TraceHeader {
        trace: format!("load-{}-{}", plan.service, plan.rate),
        about: "identical requests at a steady rate".to_owned(),
        text: String::new(),
        entries: plan.entries,
        client_delay_ms: 0.0,
        instances: (0..plan.agents).map(|number| instance(plan.service, number)).collect(),
    };
    let events = (0..plan.rate * plan.seconds).map(request).collect();
    let expect = Expectation { min_completed_share: Some(1.0), ..Expectation::default() };
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
