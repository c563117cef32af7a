//! `replay`: replays recorded traces and checks their expectations.

use std::path::Path;

use clap::ArgMatches;
use indicatif::{ProgressBar, ProgressStyle};
use model::{LogSettings, OperatorConfig, RoutingPolicy, read_operator_config};
use standin::{Trace, read_trace};
use strum::IntoEnumIterator;

use super::{argument, print_json, read_file, show_errors, wants_json};
use crate::cli::ExitKind;
use crate::replay::{PlayOptions, ReplayReport, play};
use crate::report::print_replays;

/// Replays each trace under each policy.
pub fn run(matches: &ArgMatches) -> ExitKind {
    match run_all(matches) {
        Ok(reports) => print_and_check(&reports, wants_json(matches)),
        Err(exit) => exit,
    }
}

/// Prints the reports; `Refused` if one has a violation.
pub(super) fn print_and_check(reports: &[ReplayReport], json: bool) -> ExitKind {
    if json {
        print_json(&reports);
    } else {
        print_replays(reports);
    }
    let passed = reports.iter().all(|report| report.violations.is_empty());
    if passed { ExitKind::Done } else { ExitKind::Refused }
}

fn run_all(matches: &ArgMatches) -> Result<Vec<ReplayReport>, ExitKind> {
    let policies = read_policies(matches)?;
    let controls = matches.get_one::<usize>("controls").copied().unwrap_or(1);
    let log = open_log(argument(matches, "log"))?;
    let mut reports = Vec::new();
    for path in matches.get_many::<String>("trace").into_iter().flatten() {
        let trace = read_trace_file(path)?;
        let text = read_trace_text(path, &trace)?;
        for policy in &policies {
            reports.push(play_once(&trace, text.clone(), *policy, controls, &log)?);
        }
    }
    Ok(reports)
}

fn open_log(file: &str) -> Result<LogSettings, ExitKind> {
    let file = (!file.is_empty()).then(|| file.to_owned());
    let level = if file.is_some() { "info" } else { "error" };
    let log = LogSettings { level: level.into(), file };
    edges::log_writer::open_log(&log).map_err(|error| {
        eprintln!("{error}");
        ExitKind::BadInput
    })?;
    Ok(log)
}

fn read_policies(matches: &ArgMatches) -> Result<Vec<Option<RoutingPolicy>>, ExitKind> {
    let Some(names) = matches.get_many::<String>("policy") else { return Ok(vec![None]) };
    let mut policies = Vec::new();
    for name in names {
        if name == "all" {
            policies.extend(RoutingPolicy::iter().map(Some));
            continue;
        }
        let policy: RoutingPolicy = name.parse().map_err(|_| {
            let names: Vec<String> =
                RoutingPolicy::iter().map(|policy| policy.to_string()).collect();
            eprintln!("--policy: no policy named \"{name}\"; expected all, {}", names.join(", "));
            ExitKind::BadInput
        })?;
        policies.push(Some(policy));
    }
    Ok(policies)
}

fn read_trace_file(path: &str) -> Result<Trace, ExitKind> {
    let text = read_file(path)?;
    read_trace(&text).map_err(|error| {
        eprintln!("{path}: {error}");
        ExitKind::BadInput
    })
}

/// Reads the operators' text of a trace. Its path is relative to the parent of
/// the folder that holds the trace.
fn read_trace_text(trace_path: &str, trace: &Trace) -> Result<OperatorConfig, ExitKind> {
    let root = Path::new(trace_path).parent().and_then(Path::parent).unwrap_or(Path::new("."));
    let path = root.join(&trace.header.text).display().to_string();
    let text = read_file(&path)?;
    read_operator_config(&text).map_err(|errors| show_errors(&path, &errors, false))
}

/// Replays a trace once; shows a progress bar on a terminal.
pub(super) fn play_once(
    trace: &Trace,
    text: OperatorConfig,
    policy: Option<RoutingPolicy>,
    controls: usize,
    log: &LogSettings,
) -> Result<ReplayReport, ExitKind> {
    let bar = ProgressBar::new(trace.events.len() as u64);
    let style = ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(trace.header.trace.clone());
    let progress = |played: usize, _total: usize| bar.set_position(played as u64);
    let options = PlayOptions { text, policy, controls, log: log.clone(), progress: &progress };
    let played = play(trace, options);
    bar.finish_and_clear();
    played.map_err(|error| {
        eprintln!("{error}");
        ExitKind::Refused
    })
}
