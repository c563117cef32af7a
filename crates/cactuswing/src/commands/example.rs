//! `example`: complete working files to start from.

use clap::ArgMatches;

use super::argument;
use crate::cli::ExitKind;
use crate::examples;

/// Prints one example.
pub fn run(matches: &ArgMatches) -> ExitKind {
    let text = match argument(matches, "kind") {
        "entry" => examples::ENTRY,
        "agent" => examples::AGENT,
        "control" => examples::CONTROL,
        _ => examples::TEXT,
    };
    print!("{text}");
    ExitKind::Done
}
