//! `plan`, `apply`, `show`, `drain`: commands on the operators' text,
//! the configuration that control keeps in versions.

use clap::ArgMatches;
use compact_str::CompactString;
use model::{
    Command, CommandResult, ConfigDelta, ConfigInForce, ControlAnswer, ControlQuery, HistoryLine,
    OperatorConfig, ValidationError, read_operator_config, sorted,
};
use serde::Serialize;

use super::{argument, print_json, read_file, show_errors, wants_json, with_control};
use crate::cli::ExitKind;
use crate::control_client::{ControlClient, ControlFailure};

/// Attempts of `drain` to apply its change; one fails if the configuration changes
/// between reading and applying it.
const MAX_DRAIN_ATTEMPTS: usize = 10;

fn read_text(matches: &ArgMatches) -> Result<OperatorConfig, ExitKind> {
    let path = argument(matches, "text");
    let text = read_file(path)?;
    parse_text(&text).map_err(|errors| show_errors(path, &errors, wants_json(matches)))
}

/// Reads and validates an operators' text, its time zone included.
///
/// # Errors
/// Every error of the first kind found: schema, dependencies, time zone.
pub(super) fn parse_text(text: &str) -> Result<OperatorConfig, Vec<ValidationError>> {
    let text = read_operator_config(text)?;
    if services::is_time_zone(&text.time_zone) {
        return Ok(text);
    }
    let expected = format!(
        "expected an IANA time zone, such as Europe/Stockholm, found \"{}\"",
        text.time_zone
    );
    Err(vec![ValidationError { path: "$.time_zone".to_owned(), expected }])
}

/// The output of `plan`.
#[derive(Serialize)]
struct Plan {
    /// Version in force, which `apply` takes as `--base`; 0 if there is none.
    base: u64,
    /// One line for each difference from the text in force.
    changes: Vec<String>,
}

/// Prints what applying a text would change, and the version to base it on.
pub fn plan(matches: &ArgMatches) -> ExitKind {
    let text = match read_text(matches) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    let current = match with_control(matches, async |client| current_config(client).await) {
        Ok(current) => current,
        Err(exit) => return exit,
    };
    let plan = plan_changes(current.as_ref(), &text);
    if wants_json(matches) {
        print_json(&plan);
        return ExitKind::Done;
    }
    for change in &plan.changes {
        println!("{change}");
    }
    if plan.changes.is_empty() {
        println!("nothing would change");
    }
    println!("apply with --base {}", plan.base);
    ExitKind::Done
}

fn plan_changes(current: Option<&ConfigInForce>, text: &OperatorConfig) -> Plan {
    match current {
        Some(config) => Plan {
            base: config.version,
            changes: ConfigDelta::between(&config.text, &sorted(text)).lines(),
        },
        None => Plan { base: 0, changes: vec!["+ the first text".to_owned()] },
    }
}

pub(super) async fn current_config(
    client: &mut ControlClient,
) -> Result<Option<ConfigInForce>, ControlFailure> {
    match client.query(ControlQuery::Config).await? {
        ControlAnswer::Config(config) => Ok(config),
        _ => Err(ControlFailure::Unknown),
    }
}

/// Applies a text by compare-and-set on the version given as `--base`.
pub fn apply(matches: &ArgMatches) -> ExitKind {
    let text = match read_text(matches) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    let base = matches.get_one::<u64>("base").copied().unwrap_or_default();
    let given_id = matches.get_one::<String>("request").map(CompactString::from);
    let request = given_id.unwrap_or_else(new_request_id);
    let command = Command::ApplyConfig { request: request.clone(), base, text: Box::new(text) };
    match with_control(matches, async |client| client.propose(command).await) {
        Ok(result) => show_applied(matches, &result),
        Err(ExitKind::Unknown) => {
            eprintln!("resend the same text with --request {request}");
            ExitKind::Unknown
        }
        Err(exit) => exit,
    }
}

/// Makes a request id that is unique on this host: process id and time.
fn new_request_id() -> CompactString {
    let now = std::time::SystemTime::now();
    let since_epoch = now.duration_since(std::time::SystemTime::UNIX_EPOCH).unwrap_or_default();
    compact_str::format_compact!("{}-{}", std::process::id(), since_epoch.as_nanos())
}

fn show_applied(matches: &ArgMatches, result: &CommandResult) -> ExitKind {
    if wants_json(matches) {
        print_json(result);
    }
    match result {
        CommandResult::ConfigAccepted { version } => {
            if !wants_json(matches) {
                println!("version {version} is accepted");
            }
            ExitKind::Done
        }
        CommandResult::VersionConflict { current, lines } => {
            if !wants_json(matches) {
                eprintln!("not applied: --base is not the current version {current}; differences:");
                lines.iter().for_each(|line| eprintln!("  {line}"));
            }
            ExitKind::Refused
        }
        other => {
            eprintln!("not applied: {other:?}");
            ExitKind::Refused
        }
    }
}

/// Prints the configuration in force, or with `--history` the accepted versions.
pub fn show(matches: &ArgMatches) -> ExitKind {
    if matches.get_flag("history") {
        return show_history(matches);
    }
    match with_control(matches, async |client| current_config(client).await) {
        Ok(Some(config)) if wants_json(matches) => {
            print_json(&config);
            ExitKind::Done
        }
        Ok(Some(config)) => {
            eprintln!("version {}", config.version);
            print_json(&config.text);
            ExitKind::Done
        }
        Ok(None) => {
            eprintln!("no text has been applied yet; apply one with `cactuswing apply`");
            ExitKind::Refused
        }
        Err(exit) => exit,
    }
}

fn show_history(matches: &ArgMatches) -> ExitKind {
    let answer = with_control(matches, async |client| client.query(ControlQuery::History).await);
    let history: Vec<HistoryLine> = match answer {
        Ok(ControlAnswer::History(history)) => history,
        Ok(_) => return ExitKind::Unknown,
        Err(exit) => return exit,
    };
    if wants_json(matches) {
        print_json(&history);
        return ExitKind::Done;
    }
    for HistoryLine { version, at_ms, request } in &history {
        println!("{version}\t{at_ms}\t{request}");
    }
    ExitKind::Done
}

/// Adds a worker to the drained ones, which get no new work, or with `--undo`
/// removes it.
pub fn drain(matches: &ArgMatches) -> ExitKind {
    let worker = CompactString::from(argument(matches, "worker"));
    let undo = matches.get_flag("undo");
    for _ in 0..MAX_DRAIN_ATTEMPTS {
        let changed = with_control(matches, async |client| {
            let Some(config) = current_config(client).await? else { return Ok(None) };
            let text = with_drained(&config.text, &worker, undo);
            let command = Command::ApplyConfig {
                request: new_request_id(),
                base: config.version,
                text: Box::new(text),
            };
            client.propose(command).await.map(Some)
        });
        match changed {
            Ok(Some(CommandResult::VersionConflict { .. })) => {}
            Ok(Some(result)) => return show_applied(matches, &result),
            Ok(None) => {
                eprintln!("no text has been applied yet; apply one with `cactuswing apply`");
                return ExitKind::Refused;
            }
            Err(exit) => return exit,
        }
    }
    eprintln!(
        "not applied: the configuration changed during {MAX_DRAIN_ATTEMPTS} attempts; try again"
    );
    ExitKind::Refused
}

/// Returns the text with `worker` drained, or not drained if `undo`.
fn with_drained(text: &OperatorConfig, worker: &CompactString, undo: bool) -> OperatorConfig {
    let mut text = text.clone();
    text.drained_workers.retain(|drained| drained != worker);
    if !undo {
        text.drained_workers.push(worker.clone());
    }
    text
}
