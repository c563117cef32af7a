//! `entry`, `agent`, `control`: run one role until SIGTERM or SIGINT. The first
//! signal starts the drain, a second one ends it early. A duty that ends without being
//! asked to ends the process at once, so that whoever supervises it starts it again.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use clap::ArgMatches;
use kernel::{DutyFailure, RingReceiver, SharedClock, SystemClock, panic_message};
use model::{
    AgentSettings, ControlSettings, EntrySettings, EventLine, LineLevel, LogSettings,
    ProcessLimits, ValidationError, read_agent_settings, read_control_settings,
    read_entry_settings,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{argument, read_file, show_errors};
use crate::cli::ExitKind;
use crate::roles::{DrainEnd, RoleError, RunningRole, start_agent, start_control, start_entry};

/// Interval at which the end of a drain is checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs an entry, which serves callers.
pub fn run_entry(matches: &ArgMatches) -> ExitKind {
    serve(matches, "entry", read_entry_settings, |settings: &mut EntrySettings, limits, clock| {
        limits.apply(&mut settings.limits);
        (settings.log.clone(), start_entry(settings, clock))
    })
}

/// Runs an agent, which starts tasks on the backend servers beside it.
pub fn run_agent(matches: &ArgMatches) -> ExitKind {
    serve(matches, "agent", read_agent_settings, |settings: &mut AgentSettings, limits, clock| {
        limits.apply(&mut settings.limits);
        (settings.log.clone(), start_agent(settings, clock))
    })
}

/// Runs a control host, which keeps the durable state.
pub fn run_control(matches: &ArgMatches) -> ExitKind {
    serve(
        matches,
        "control",
        read_control_settings,
        |settings: &mut ControlSettings, limits, clock| {
            limits.apply(&mut settings.limits);
            (settings.log.clone(), start_control(settings, clock))
        },
    )
}

/// Limits of the process on the command line, which override those of the settings: whoever
/// starts the process knows its host.
#[derive(Debug, Clone, Copy)]
struct LimitArguments {
    memory_mb: Option<u64>,
    max_fds: Option<u64>,
}

impl LimitArguments {
    fn of(matches: &ArgMatches) -> LimitArguments {
        let value = |name| matches.get_one::<u64>(name).copied();
        LimitArguments { memory_mb: value("memory-mb"), max_fds: value("max-fds") }
    }

    fn apply(self, limits: &mut ProcessLimits) {
        limits.memory_mb = self.memory_mb.unwrap_or(limits.memory_mb);
        limits.max_fds = self.max_fds.unwrap_or(limits.max_fds);
    }
}

/// Reads the settings, starts the role and runs it until a signal; a file without
/// valid settings starts nothing.
fn serve<S>(
    matches: &ArgMatches,
    role: &str,
    read: impl Fn(&str) -> Result<S, Vec<ValidationError>>,
    start: impl Fn(
        &mut S,
        LimitArguments,
        &SharedClock,
    ) -> (LogSettings, Result<RunningRole, RoleError>),
) -> ExitKind {
    let path = argument(matches, "settings");
    println!("event=starting role={role} version={} settings={path}", env!("CARGO_PKG_VERSION"));
    let text = match read_file(path) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    let mut settings = match read(&text) {
        Ok(settings) => settings,
        Err(errors) => return show_errors(path, &errors, false),
    };
    let clock: SharedClock = Arc::new(SystemClock);
    let (log, started) = start(&mut settings, LimitArguments::of(matches), &clock);
    if let Err(error) = edges::log_writer::open_log(&log) {
        eprintln!("{error}");
        return ExitKind::BadInput;
    }
    match started {
        Ok(running) => {
            log_panics();
            let reload = || log_reload(path, &text, |text| read(text).map(drop));
            run_until_signal(role, running, &reload)
        }
        Err(error) => {
            eprintln!("{role} can't start: {error}");
            ExitKind::Refused
        }
    }
}

/// Writes a line for each panic, also of a task that ends alone, to standard error: the
/// panicking thread may hold the log.
fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let thread = std::thread::current();
        let place = panic.location().map(ToString::to_string);
        let line = EventLine::new("panic")
            .with("duty", thread.name().unwrap_or("unnamed"))
            .with("reason", panic_message(panic.payload()))
            .with("at", place.unwrap_or_default());
        eprintln!("{}", line.finish(SystemTime::now(), LineLevel::Error).text);
    }));
}

/// Prints where the role listens, waits for a signal to stop, then drains. Returns as soon
/// as a duty has ended without being asked to: its state, and what others wait for, is lost,
/// and a drain would wait for it.
fn run_until_signal(role: &str, mut running: RunningRole, reload: &dyn Fn()) -> ExitKind {
    let Some(failures) = running.take_failures() else { return ExitKind::Refused };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let signals = runtime.and_then(|runtime| {
        let signals = {
            let _guard = runtime.enter();
            ProcessSignals::listen()?
        };
        Ok((runtime, signals))
    });
    let (runtime, mut signals) = match signals {
        Ok(runtime_and_signals) => runtime_and_signals,
        Err(error) => {
            eprintln!("{role} can't listen for signals: {error}");
            running.stop();
            return ExitKind::Refused;
        }
    };
    print_addresses(role, &running);
    let stop = async {
        while signals.next_request().await == ProcessRequest::Reload {
            reload();
        }
    };
    let failure = runtime.block_on(await_end(&failures, stop));
    if let Some(failure) = failure {
        return report_failure(role, &failure);
    }
    running.begin_drain();
    let gate = running.gate();
    let drain = std::thread::spawn(move || running.drain());
    let stop = async {
        tokio::select! {
            () = signals.next_stop() => gate.set(0),
            () = wait_finished(&drain) => {}
        }
    };
    let failure = runtime.block_on(await_end(&failures, stop));
    if let Some(failure) = failure {
        return report_failure(role, &failure);
    }
    match drain.join() {
        Ok(DrainEnd::Idle) => ExitKind::Done,
        Ok(DrainEnd::LimitReached) | Err(_) => ExitKind::Refused,
    }
}

/// Waits for `stop`, or for the first duty that ends without being asked to, which is
/// returned.
pub async fn await_end(
    failures: &RingReceiver<DutyFailure>,
    stop: impl Future<Output = ()>,
) -> Option<DutyFailure> {
    tokio::select! {
        () = stop => failures.try_next(),
        failure = failures.next() => failure,
    }
}

/// Logs the duty that ended, and returns the exit code.
pub fn report_failure(role: &str, failure: &DutyFailure) -> ExitKind {
    let line = EventLine::new("duty_failed")
        .with("role", role)
        .with("duty", &failure.duty)
        .with("reason", &failure.end);
    edges::log_writer::write_last(&line.finish(SystemTime::now(), LineLevel::Error));
    ExitKind::DutyFailed
}

/// Prints the addresses on which the role listens. Programs read this line to
/// learn the port where the settings leave its choice to the system (port 0).
fn print_addresses(role: &str, running: &RunningRole) {
    let announce = running.announce_address.map(|address| format!(" announce={address}"));
    println!(
        "event=listening role={role} address={}{}",
        running.address,
        announce.unwrap_or_default()
    );
}

/// Polls until `thread` has ended.
async fn wait_finished<T>(thread: &std::thread::JoinHandle<T>) {
    while !thread.is_finished() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Validates the settings file again and logs the outcome. Changes take effect
/// at the next start, so an invalid file has no effect on the running process.
fn log_reload(path: &str, before: &str, read: impl Fn(&str) -> Result<(), Vec<ValidationError>>) {
    let outcome = match std::fs::read_to_string(path) {
        Err(error) => format!("unreadable reason={:?}", error.to_string()),
        Ok(text) if text == before => "unchanged".to_owned(),
        Ok(text) => match read(&text) {
            Ok(()) => "changed in_force=next_start".to_owned(),
            Err(errors) => {
                let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
                format!("invalid reason={:?}", errors.join("; "))
            }
        },
    };
    println!("event=reload path={path} outcome={outcome}");
}

/// What a signal requests of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProcessRequest {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
}

struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    fn listen() -> std::io::Result<ProcessSignals> {
        Ok(ProcessSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal of any kind.
    async fn next_request(&mut self) -> ProcessRequest {
        tokio::select! {
            _ = self.terminate.recv() => ProcessRequest::Stop,
            _ = self.interrupt.recv() => ProcessRequest::Stop,
            _ = self.hangup.recv() => ProcessRequest::Reload,
        }
    }

    /// Waits for the next signal to stop; leaves SIGHUP pending.
    async fn next_stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
