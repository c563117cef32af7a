//! The command line: what can be asked for, and the exit code of each outcome.

use std::ffi::OsString;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::commands;

/// How a command ended; each kind is one exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitKind {
    /// Done.
    Done,
    /// Refused, or stated outcomes were not met.
    Refused,
    /// Bad usage or input.
    BadInput,
    /// It can't be told whether it was done.
    Unknown,
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> ExitCode {
        ExitCode::from(match kind {
            ExitKind::Done => 0,
            ExitKind::Refused => 1,
            ExitKind::BadInput => 2,
            ExitKind::Unknown => 3,
        })
    }
}

/// Runs one command line.
pub fn run_command_line(arguments: impl Iterator<Item = OsString>) -> ExitKind {
    match command_line().try_get_matches_from(arguments) {
        Ok(matches) => run(&matches),
        Err(error) => {
            // A closed terminal is no reason to fail differently.
            let _closed = error.print();
            if error.use_stderr() { ExitKind::BadInput } else { ExitKind::Done }
        }
    }
}

fn run(matches: &ArgMatches) -> ExitKind {
    match matches.subcommand() {
        Some(("try", matches)) => commands::try_out::run(matches),
        Some(("entry", matches)) => commands::serve::run_entry(matches),
        Some(("agent", matches)) => commands::serve::run_agent(matches),
        Some(("control", matches)) => commands::serve::run_control(matches),
        Some(("example", matches)) => commands::example::run(matches),
        Some(("check", matches)) => commands::text::check(matches),
        Some(("plan", matches)) => commands::text::plan(matches),
        Some(("apply", matches)) => commands::text::apply(matches),
        Some(("show", matches)) => commands::text::show(matches),
        Some(("drain", matches)) => commands::text::drain(matches),
        Some(("status", matches)) => commands::inspect::status(matches),
        Some(("explain", matches)) => commands::inspect::explain(matches),
        Some(("figures", matches)) => commands::inspect::figures(matches),
        Some(("load", matches)) => commands::load::run(matches),
        Some(("replay", matches)) => commands::replay::run(matches),
        _ => ExitKind::BadInput,
    }
}

fn command_line() -> Command {
    Command::new("cactuswing")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Dispatcher for sub-second tasks")
        .after_help(
            "Exit codes: 0 done; 1 refused or stated outcomes not met; 2 bad usage or input; \
             3 outcome unknown.\nNew here? Run `cactuswing try`.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("try")
                .about("Run everything in one process with stand-ins and play a short trace")
                .arg(json()),
        )
        .subcommand(role("entry", "Serve callers"))
        .subcommand(role("agent", "Run tasks beside a worker's backend servers"))
        .subcommand(role("control", "Keep configuration, members, ledger and figures"))
        .subcommand(
            Command::new("example")
                .about("Print a complete working file to start from, on loopback")
                .arg(
                    Arg::new("kind")
                        .required(true)
                        .value_parser(["entry", "agent", "control", "text"])
                        .help("Which file"),
                ),
        )
        .subcommand(
            Command::new("check")
                .about("Check an operators' text and report every mistake with its place")
                .arg(text())
                .arg(json()),
        )
        .subcommand(
            Command::new("plan")
                .about("Show what applying a text would change, and the version to base it on")
                .arg(text())
                .arg(controls())
                .arg(json()),
        )
        .subcommand(
            Command::new("apply")
                .about("Change the configuration, if nobody changed it since the named version")
                .arg(text())
                .arg(controls())
                .arg(
                    Arg::new("base")
                        .long("base")
                        .required(true)
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help("Version that the text was made from; 0 before the first"),
                )
                .arg(
                    Arg::new("request")
                        .long("request")
                        .value_name("ID")
                        .help("Request id; resend with the same id when the answer was lost"),
                )
                .arg(json()),
        )
        .subcommand(
            Command::new("show")
                .about("Print the configuration in force, or earlier versions")
                .arg(
                    Arg::new("history")
                        .long("history")
                        .action(ArgAction::SetTrue)
                        .help("List accepted versions instead"),
                )
                .arg(controls())
                .arg(json()),
        )
        .subcommand(
            Command::new("status")
                .about("Show control hosts, members and the versions in force")
                .arg(controls())
                .arg(json()),
        )
        .subcommand(
            Command::new("explain")
                .about("Show what happened to a job, step by step")
                .arg(Arg::new("job").required(true).value_name("TEAM/SUBMISSION").help("The job"))
                .arg(
                    Arg::new("entry")
                        .long("entry")
                        .value_name("ADDRESS")
                        .default_value("127.0.0.1:7001")
                        .value_parser(value_parser!(std::net::SocketAddr))
                        .help("The entry at which the job was submitted"),
                )
                .arg(json()),
        )
        .subcommand(
            Command::new("figures")
                .about("Print a month's figures")
                .arg(
                    Arg::new("month")
                        .long("month")
                        .required(true)
                        .value_name("YYYY-MM")
                        .help("Calendar month in the deployment's time zone"),
                )
                .arg(
                    Arg::new("csv")
                        .long("csv")
                        .action(ArgAction::SetTrue)
                        .conflicts_with("json")
                        .help("As comma-separated values"),
                )
                .arg(controls())
                .arg(json()),
        )
        .subcommand(
            Command::new("drain")
                .about("Give a worker no new work; what runs there finishes")
                .arg(Arg::new("worker").required(true).value_name("WORKER").help("The worker"))
                .arg(
                    Arg::new("undo")
                        .long("undo")
                        .action(ArgAction::SetTrue)
                        .help("Give the worker work again"),
                )
                .arg(controls())
                .arg(json()),
        )
        .subcommand(
            Command::new("load")
                .about("Send equal requests at a steady rate and measure the system's own share")
                .arg(number("rate", "1000", "Requests a second"))
                .arg(number("seconds", "5", "Seconds"))
                .arg(number("entries", "2", "Entries"))
                .arg(number("run-ms", "1", "Run time of each task in milliseconds"))
                .arg(
                    Arg::new("durable")
                        .long("durable")
                        .action(ArgAction::SetTrue)
                        .help("Requests that may not be repeated, through the ledger"),
                )
                .arg(
                    Arg::new("slopes")
                        .long("slopes")
                        .action(ArgAction::SetTrue)
                        .help("Measure what each duty costs, over several rates and sizes"),
                )
                .arg(hosts())
                .arg(json()),
        )
        .subcommand(
            Command::new("replay")
                .about("Play a recorded trace and compare with its stated outcomes")
                .arg(
                    Arg::new("trace")
                        .required(true)
                        .num_args(1..)
                        .value_name("TRACE")
                        .help("Trace files"),
                )
                .arg(
                    Arg::new("policy")
                        .long("policy")
                        .value_name("POLICY")
                        .action(ArgAction::Append)
                        .help("Routing policy instead of the text's; `all` for each in turn"),
                )
                .arg(hosts())
                .arg(
                    Arg::new("log")
                        .long("log")
                        .value_name("FILE")
                        .help("Write log lines to this file"),
                )
                .arg(json()),
        )
}

fn role(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("settings")
            .long("settings")
            .required(true)
            .value_name("FILE")
            .help("Settings as JSON; `cactuswing example` prints one to start from"),
    )
}

fn hosts() -> Arg {
    Arg::new("controls")
        .long("controls")
        .value_name("HOSTS")
        .default_value("3")
        .value_parser(value_parser!(usize))
        .help("Control hosts: 1, 3 or 5")
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn text() -> Arg {
    Arg::new("text").required(true).value_name("TEXT").help("Operators' text, a JSON file")
}

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON for machines")
}

fn controls() -> Arg {
    Arg::new("control")
        .long("control")
        .value_name("ADDRESS")
        .action(ArgAction::Append)
        .default_value("127.0.0.1:7201")
        .value_parser(value_parser!(std::net::SocketAddr))
        .help("Address of a control host; repeat for more")
}
