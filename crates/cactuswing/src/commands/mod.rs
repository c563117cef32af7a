//! The commands: one module for each group of related ones. A command prints its
//! result and returns the exit code.

pub mod check;
pub mod example;
pub mod inspect;
pub mod load;
pub mod replay;
pub mod serve;
mod slopes;
pub mod text;
pub mod try_out;

use std::net::SocketAddr;

use clap::ArgMatches;
use model::ValidationError;
use serde::Serialize;

use crate::cli::ExitKind;
use crate::control_client::{ControlClient, ControlFailure};

/// Whether `--json` was given.
fn wants_json(matches: &ArgMatches) -> bool {
    matches.get_flag("json")
}

fn argument<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}

fn print_json(value: &impl Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("can't write the result as JSON: {error}"),
    }
}

/// Reads a file; prints the error if it can't be read.
fn read_file(path: &str) -> Result<String, ExitKind> {
    std::fs::read_to_string(path).map_err(|error| {
        eprintln!("{path}: {error}");
        ExitKind::BadInput
    })
}

/// Prints every validation error of the file at `path`.
fn show_errors(path: &str, errors: &[ValidationError], json: bool) -> ExitKind {
    if json {
        print_json(&errors);
    } else {
        for error in errors {
            eprintln!("{path}: {error}");
        }
        let plural = if errors.len() == 1 { "" } else { "s" };
        eprintln!("{path}: {} error{plural}", errors.len());
    }
    ExitKind::BadInput
}

/// Runs `body` with a client of the control group at `--control`; prints the
/// error if it fails.
fn with_control<T>(
    matches: &ArgMatches,
    body: impl AsyncFnOnce(&mut ControlClient) -> Result<T, ControlFailure>,
) -> Result<T, ExitKind> {
    let addresses: Vec<SocketAddr> =
        matches.get_many("control").map(|given| given.copied().collect()).unwrap_or_default();
    with_hosts(addresses, body)
}

/// Runs `body` with a client of the control group at these addresses; prints the
/// error if it fails.
fn with_hosts<T>(
    addresses: Vec<SocketAddr>,
    body: impl AsyncFnOnce(&mut ControlClient) -> Result<T, ControlFailure>,
) -> Result<T, ExitKind> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| {
        eprintln!("can't start the async runtime: {error}");
        ExitKind::Refused
    })?;
    let mut client = ControlClient::new(addresses);
    runtime.block_on(body(&mut client)).map_err(|failure| {
        eprintln!("{failure}");
        match failure {
            ControlFailure::NoLeader => ExitKind::Refused,
            ControlFailure::Unknown => ExitKind::Unknown,
        }
    })
}
