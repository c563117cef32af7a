//! One module for each family of commands.

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
use model::Mistake;
use serde::Serialize;

use crate::cli::ExitKind;
use crate::control_client::{ControlClient, ControlFailure};

/// Whether JSON was asked for.
fn wants_json(matches: &ArgMatches) -> bool {
    matches.get_flag("json")
}

fn argument<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}

fn print_json(value: &impl Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("the answer can't be written as JSON: {error}"),
    }
}

/// Reads a file, or says why it can't be read.
fn read_file(path: &str) -> Result<String, ExitKind> {
    std::fs::read_to_string(path).map_err(|error| {
        eprintln!("{path}: {error}");
        ExitKind::BadInput
    })
}

/// Shows every mistake of a file.
fn show_mistakes(path: &str, mistakes: &[Mistake], json: bool) -> ExitKind {
    if json {
        print_json(&mistakes);
    } else {
        for mistake in mistakes {
            eprintln!("{path}: {mistake}");
        }
        let plural = if mistakes.len() == 1 { "" } else { "s" };
        eprintln!("{path}: {} mistake{plural}", mistakes.len());
    }
    ExitKind::BadInput
}

/// Runs `body` with a connection to the control group.
fn with_control<T>(
    matches: &ArgMatches,
    body: impl AsyncFnOnce(&mut ControlClient) -> Result<T, ControlFailure>,
) -> Result<T, ExitKind> {
    let addresses: Vec<SocketAddr> =
        matches.get_many("control").map(|given| given.copied().collect()).unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| {
        eprintln!("no runtime: {error}");
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
