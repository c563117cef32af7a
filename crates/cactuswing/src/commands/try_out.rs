//! `try`: replays a short trace against a cluster in this process, with stand-in
//! backend servers.

use clap::ArgMatches;
use model::{LogSettings, read_operator_config};
use standin::read_trace;

use super::replay::{play_once, print_and_check};
use super::{show_errors, wants_json};
use crate::cli::ExitKind;

const TRACE: &str = include_str!("../../../../traces/try.jsonl");
const TEXT: &str = include_str!("../../../../examples/roubikov.json");

/// Replays the trace that is compiled into the binary.
pub fn run(matches: &ArgMatches) -> ExitKind {
    let trace = match read_trace(TRACE) {
        Ok(trace) => trace,
        Err(error) => {
            eprintln!("built-in trace: {error}");
            return ExitKind::BadInput;
        }
    };
    let text = match read_operator_config(TEXT) {
        Ok(text) => text,
        Err(errors) => return show_errors("examples/roubikov.json", &errors, false),
    };
    let log = LogSettings { level: "error".into(), file: None };
    if let Err(error) = edges::log_writer::open_log(&log) {
        eprintln!("{error}");
        return ExitKind::BadInput;
    }
    if !wants_json(matches) {
        println!("{}\n", trace.header.about);
    }
    match play_once(&trace, text, None, 1, &log) {
        Ok(report) => print_and_check(&[report], wants_json(matches)),
        Err(exit) => exit,
    }
}
