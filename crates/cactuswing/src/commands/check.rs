//! `check`: checks an operators' text or a configuration of queues before it is sent.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::ArgMatches;
use decisions::config_check::{TextWarning, text_warnings};
use indexmap::IndexMap;
use model::{
    ConfigDelta, ConfigFinding, ConfigInForce, ConfigVersion, ControlAnswer, ControlQuery,
    OperatorConfig, ProcessLimits, QueueCatalog, ServiceServers, sorted,
};
use platform::{CatalogContext, check_catalog, read_catalog};
use serde::Serialize;
use serde::de::IgnoredAny;

use super::text::{current_config, parse_text};
use super::{argument, print_json, wants_json, with_hosts};
use crate::cli::ExitKind;
use crate::control_client::{ControlClient, ControlFailure};

/// A field that only an operators' text has.
const TEXT_FIELD: &str = "teams";
/// Fields that only a configuration of queues has.
const QUEUE_FIELDS: [&str; 3] = ["version", "routes", "limits"];

/// What a file configures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum ConfigKind {
    /// The operators' text: services, teams and routing.
    Text,
    /// Queues and their services.
    Queues,
}

/// What `--against` names.
enum Reference {
    /// A control host.
    Control(SocketAddr),
    /// A file with its content.
    File(String, Vec<u8>),
}

/// The output of `check`.
#[derive(Serialize)]
struct CheckReport {
    kind: ConfigKind,
    /// Errors, then warnings.
    findings: Vec<ConfigFinding>,
    /// What the file was compared with; absent without `--against`.
    #[serde(skip_serializing_if = "Option::is_none")]
    against: Option<Comparison>,
}

/// How a file differs from the version in force.
#[derive(Serialize)]
struct Comparison {
    /// The version in force; `None` if there is none, or if a file doesn't tell it.
    version: Option<ConfigVersion>,
    /// One line for each difference; none if the file has errors.
    changes: Vec<String>,
}

/// Checks a file and prints what was found.
pub fn run(matches: &ArgMatches) -> ExitKind {
    match check(matches) {
        Ok(report) => show(matches, &report),
        Err(exit) => exit,
    }
}

fn check(matches: &ArgMatches) -> Result<CheckReport, ExitKind> {
    let document = read_bytes(argument(matches, "text"))?;
    let reference = match matches.get_one::<String>("against") {
        Some(name) => Some(read_reference(name)?),
        None => None,
    };
    match kind_of(&document) {
        ConfigKind::Text => check_text(&document, reference),
        ConfigKind::Queues => {
            let memory_mb = matches.get_one("memory-mb").copied();
            let default = ProcessLimits::default();
            let memory_mb = memory_mb.unwrap_or(default.memory_mb);
            check_queues(&document, reference, ProcessLimits { memory_mb, ..default })
        }
    }
}

/// Reads a file; prints the error if it can't be read.
fn read_bytes(path: &str) -> Result<Vec<u8>, ExitKind> {
    std::fs::read(path).map_err(|error| {
        eprintln!("{path}: {error}");
        ExitKind::BadInput
    })
}

fn read_reference(name: &str) -> Result<Reference, ExitKind> {
    match name.parse() {
        Ok(address) => Ok(Reference::Control(address)),
        Err(_) => Ok(Reference::File(name.to_owned(), read_bytes(name)?)),
    }
}

/// Tells the kind of a document by its fields, or by their names where it is no JSON.
fn kind_of(document: &[u8]) -> ConfigKind {
    let has_queues = match serde_json::from_slice::<IndexMap<String, IgnoredAny>>(document) {
        Ok(fields) => {
            !fields.contains_key(TEXT_FIELD)
                && QUEUE_FIELDS.iter().any(|field| fields.contains_key(*field))
        }
        Err(_) => String::from_utf8_lossy(document).contains("\"routes\""),
    };
    if has_queues { ConfigKind::Queues } else { ConfigKind::Text }
}

fn check_queues(
    document: &[u8],
    reference: Option<Reference>,
    process: ProcessLimits,
) -> Result<CheckReport, ExitKind> {
    let is_compared = reference.is_some();
    let (in_force, servers) = match reference {
        None => (None, None),
        Some(Reference::Control(host)) => {
            let asked = with_hosts(vec![host], async |client| {
                Ok((current_catalog(client).await?, known_servers(client).await))
            });
            let (catalog, servers) = asked?;
            if servers.is_none() {
                eprintln!("{host} does not tell its backend servers; they are not checked");
            }
            (catalog, servers)
        }
        Some(Reference::File(path, content)) => {
            let catalog = read_catalog(&content).map_err(|error| {
                eprintln!("{path}: {}: {error}", error.path());
                ExitKind::BadInput
            })?;
            (Some(catalog), None)
        }
    };
    let version = in_force.as_ref().map(|catalog| catalog.version);
    let context = CatalogContext { process, in_force, servers };
    let checked = check_catalog(document, &context);
    let changes = match (version, &checked.catalog) {
        (None, Some(_)) => vec!["+ the first configuration".to_owned()],
        _ => checked.changes,
    };
    let against = is_compared.then_some(Comparison { version, changes });
    Ok(CheckReport { kind: ConfigKind::Queues, findings: checked.findings, against })
}

async fn current_catalog(
    client: &mut ControlClient,
) -> Result<Option<Arc<QueueCatalog>>, ControlFailure> {
    match client.query(ControlQuery::Catalog).await? {
        ControlAnswer::Catalog(catalog) => Ok(catalog),
        _ => Err(ControlFailure::Unknown),
    }
}

/// The backend servers that control knows; `None` if it does not answer, as hosts of the
/// previous version.
async fn known_servers(client: &mut ControlClient) -> Option<Vec<ServiceServers>> {
    match client.query(ControlQuery::Servers).await {
        Ok(ControlAnswer::Servers(servers)) => Some(servers),
        _ => None,
    }
}

fn check_text(document: &[u8], reference: Option<Reference>) -> Result<CheckReport, ExitKind> {
    let in_force = match reference {
        None => None,
        Some(Reference::Control(host)) => {
            let config = with_hosts(vec![host], async |client| current_config(client).await)?;
            Some(config.map(|ConfigInForce { version, text }| (Some(version), text)))
        }
        Some(Reference::File(path, content)) => {
            let text = read_text(&content).map_err(|findings| {
                findings.iter().for_each(|finding| print_finding(&path, finding));
                ExitKind::BadInput
            })?;
            Some(Some((None, text)))
        }
    };
    let read = read_text(document);
    let against = in_force.map(|in_force| {
        let changes = match (&in_force, &read) {
            (Some((_, before)), Ok(text)) => {
                ConfigDelta::between(&sorted(before), &sorted(text)).lines()
            }
            (None, Ok(_)) => vec!["+ the first text".to_owned()],
            (_, Err(_)) => Vec::new(),
        };
        Comparison { version: in_force.and_then(|(version, _)| version), changes }
    });
    let findings = match read {
        Ok(text) => text_warnings(&text).iter().map(warning_finding).collect(),
        Err(errors) => errors,
    };
    Ok(CheckReport { kind: ConfigKind::Text, findings, against })
}

fn read_text(document: &[u8]) -> Result<OperatorConfig, Vec<ConfigFinding>> {
    let text = std::str::from_utf8(document).map_err(|error| {
        let place = format!("byte {}", error.valid_up_to());
        vec![ConfigFinding::error(place, format!("expected UTF-8 text: {error}"))]
    })?;
    parse_text(text).map_err(|errors| errors.into_iter().map(ConfigFinding::from).collect())
}

fn warning_finding(warning: &TextWarning) -> ConfigFinding {
    match warning {
        TextWarning::LongDeclared { service, declared, deadline } => ConfigFinding::warning(
            format!("$.services.{service}.declared_ms"),
            format!(
                "{} exceeds deadline_ms, which is {}: a request that sets neither ends before a \
                 run of the declared time",
                declared.as_millis(),
                deadline.as_millis()
            ),
        ),
        TextWarning::RepeatedDependency { service, position, dependency } => {
            ConfigFinding::warning(
                format!("$.services.{service}.depends_on[{position}]"),
                format!("{dependency} is already listed"),
            )
        }
        TextWarning::NoWeights => ConfigFinding::warning(
            "$.balance",
            "slowdown_weight and waste_weight are both 0, which counts as equal weights",
        ),
        TextWarning::RepeatedWorker { position, worker } => ConfigFinding::warning(
            format!("$.drained_workers[{position}]"),
            format!("{worker} is already listed"),
        ),
    }
}

fn print_finding(path: &str, finding: &ConfigFinding) {
    let ConfigFinding { severity, place, message } = finding;
    eprintln!("{path}: {place}: {severity}: {message}");
}

fn show(matches: &ArgMatches, report: &CheckReport) -> ExitKind {
    let errors = report.findings.iter().filter(|finding| finding.is_error()).count();
    let warnings = report.findings.len() - errors;
    if wants_json(matches) {
        print_json(report);
    } else {
        let path = argument(matches, "text");
        report.findings.iter().for_each(|finding| print_finding(path, finding));
        if let Some(Comparison { changes, .. }) = &report.against
            && errors == 0
        {
            changes.iter().for_each(|change| println!("{change}"));
            if changes.is_empty() {
                println!("nothing would change");
            }
        }
        let count = |number: usize, noun| match number {
            0 => format!("no {noun}s"),
            1 => format!("1 {noun}"),
            number => format!("{number} {noun}s"),
        };
        let summary = format!("{path}: {}, {}", count(errors, "error"), count(warnings, "warning"));
        if errors == 0 { println!("{summary}") } else { eprintln!("{summary}") }
    }
    if errors == 0 { ExitKind::Done } else { ExitKind::BadInput }
}
