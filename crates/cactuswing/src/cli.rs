//! Defines the command line and the exit code of each outcome.

use std::ffi::OsString;
use std::ops::RangeInclusive;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use model::{MAX_FDS_RANGE, MEMORY_MB_RANGE};

use crate::commands;

/// The outcome of a command; each has its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitKind {
    /// Exit code 0: the command succeeded.
    Done,
    /// Exit code 1: the command was refused, or an expectation was not met.
    Refused,
    /// Exit code 2: wrong usage, or invalid or unreadable input.
    BadInput,
    /// Exit code 3: outcome unknown; the command may have taken effect.
    Unknown,
    /// Exit code 4: a duty of the process ended without being asked to.
    DutyFailed,
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> ExitCode {
        ExitCode::from(match kind {
            ExitKind::Done => 0,
            ExitKind::Refused => 1,
            ExitKind::BadInput => 2,
            ExitKind::Unknown => 3,
            ExitKind::DutyFailed => 4,
        })
    }
}

/// Parses the arguments, of which the first is the program's name, and runs the
/// command.
pub fn run_command_line(arguments: impl Iterator<Item = OsString>) -> ExitKind {
    match command_line().try_get_matches_from(arguments) {
        Ok(matches) => run(&matches),
        Err(error) => {
            // A failure to print doesn't change the exit code.
            let _printed = error.print();
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
        Some(("check", matches)) => commands::check::run(matches),
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
            "Exit codes: 0 success; 1 refused, or an expectation not met; 2 wrong usage or input; \
             3 outcome unknown.\nNew here? Run `cactuswing try`.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("try")
                .about("Run a cluster with stand-in servers in one process, on a short trace")
                .arg(json_arg()),
        )
        .subcommand(role_command("entry", "Run an entry, which serves callers"))
        .subcommand(role_command("agent", "Run an agent, which starts tasks on backend servers"))
        .subcommand(role_command(
            "control",
            "Run a control host: configuration, members, ledger, figures",
        ))
        .subcommand(
            Command::new("example")
                .about("Print a complete example file for a cluster on loopback")
                .arg(
                    Arg::new("kind")
                        .required(true)
                        .value_parser(["entry", "agent", "control", "text"])
                        .help("Kind of file"),
                ),
        )
        .subcommand(
            Command::new("check")
                .about(
                    "Check an operators' text or a configuration of queues: errors, warnings, \
                     differences from the version in force",
                )
                .arg(
                    Arg::new("text")
                        .required(true)
                        .value_name("FILE")
                        .help("Operators' text or configuration of queues, a JSON file"),
                )
                .arg(
                    Arg::new("against").long("against").value_name("ADDRESS|FILE").help(
                        "Compare with the version in force at a control host, or with a file",
                    ),
                )
                .arg(
                    limit_arg("memory-mb", MEMORY_MB_RANGE, "Memory of the entries in MB")
                        .default_value("512"),
                )
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("plan")
                .about("Show what applying a text would change, and the version to base it on")
                .arg(text_arg())
                .arg(control_arg())
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("apply")
                .about("Apply a text, if the configuration has not changed since version --base")
                .arg(text_arg())
                .arg(control_arg())
                .arg(
                    Arg::new("base")
                        .long("base")
                        .required(true)
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help("Version that the text is based on; 0 if none has been applied"),
                )
                .arg(
                    Arg::new("request")
                        .long("request")
                        .value_name("ID")
                        .help("Request id; resend with the same id if the outcome is unknown"),
                )
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("show")
                .about("Print the configuration in force, or earlier versions")
                .arg(
                    Arg::new("history")
                        .long("history")
                        .action(ArgAction::SetTrue)
                        .help("List the accepted versions instead"),
                )
                .arg(control_arg())
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("status")
                .about("Show control hosts, members and the versions in force")
                .arg(control_arg())
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("explain")
                .about("Print the recorded events of a job in order")
                .arg(
                    Arg::new("job")
                        .required(true)
                        .value_name("TEAM/SUBMISSION")
                        .help("Id of the job"),
                )
                .arg(
                    Arg::new("entry")
                        .long("entry")
                        .value_name("ADDRESS")
                        .default_value("127.0.0.1:7001")
                        .value_parser(value_parser!(std::net::SocketAddr))
                        .help("Address of the entry to which the job was submitted"),
                )
                .arg(json_arg()),
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
                        .help("Print comma-separated values"),
                )
                .arg(control_arg())
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("drain")
                .about("Give a worker no new work and let its running tasks finish")
                .arg(Arg::new("worker").required(true).value_name("WORKER").help("Its name"))
                .arg(
                    Arg::new("undo")
                        .long("undo")
                        .action(ArgAction::SetTrue)
                        .help("Give the worker work again"),
                )
                .arg(control_arg())
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("load")
                .about("Send identical requests at a steady rate and measure the system's overhead")
                .arg(number_arg("rate", "1000", "Requests a second, at least 1"))
                .arg(number_arg("seconds", "5", "Seconds"))
                .arg(number_arg("entries", "2", "Entries"))
                .arg(number_arg("run-ms", "1", "Run time of each task in milliseconds, at least 1"))
                .arg(
                    Arg::new("durable")
                        .long("durable")
                        .action(ArgAction::SetTrue)
                        .help("Send requests that must not be repeated; the ledger records each"),
                )
                .arg(
                    Arg::new("slopes")
                        .long("slopes")
                        .action(ArgAction::SetTrue)
                        .help("Measure each duty's processor time at several rates and sizes"),
                )
                .arg(host_count_arg())
                .arg(json_arg()),
        )
        .subcommand(
            Command::new("replay")
                .about("Replay recorded traces and check their expectations")
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
                        .help("Routing policy instead of the text's, or `all`; may be repeated"),
                )
                .arg(host_count_arg())
                .arg(
                    Arg::new("log")
                        .long("log")
                        .value_name("FILE")
                        .help("Write log lines to this file"),
                )
                .arg(json_arg()),
        )
}

/// A command that runs one role with the settings in a file.
fn role_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("settings")
                .long("settings")
                .required(true)
                .value_name("FILE")
                .help("Settings as JSON; `cactuswing example` prints one to start from"),
        )
        .arg(limit_arg("memory-mb", MEMORY_MB_RANGE, "Memory in MB; overrides the settings"))
        .arg(limit_arg("max-fds", MAX_FDS_RANGE, "File descriptors; overrides the settings"))
}

/// A limit of the host on the process.
fn limit_arg(name: &'static str, range: RangeInclusive<u64>, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(u64).range(range))
        .help(help)
}

fn host_count_arg() -> Arg {
    Arg::new("controls")
        .long("controls")
        .value_name("HOSTS")
        .default_value("3")
        .value_parser(value_parser!(usize))
        .help("Number of control hosts: 1, 3 or 5")
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn text_arg() -> Arg {
    Arg::new("text").required(true).value_name("TEXT").help("Operators' text, a JSON file")
}

fn json_arg() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON instead of text")
}

fn control_arg() -> Arg {
    Arg::new("control")
        .long("control")
        .value_name("ADDRESS")
        .action(ArgAction::Append)
        .default_value("127.0.0.1:7201")
        .value_parser(value_parser!(std::net::SocketAddr))
        .help("Address of a control host; may be repeated")
}
