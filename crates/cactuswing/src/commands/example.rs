//! `example`: prints complete settings or an operators' text for loopback.

use clap::ArgMatches;

use super::argument;
use crate::cli::ExitKind;
use crate::examples;

/// Prints the example of the given kind.
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
