//! `entry`, `agent`, `control`: one role in one process, until it is told to
//! end.

use std::sync::Arc;

use clap::ArgMatches;
use kernel::{SharedClock, SystemClock};
use model::{
    LogSettings, Mistake, read_agent_settings, read_control_settings, read_entry_settings,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{argument, read_file, show_mistakes};
use crate::cli::ExitKind;
use crate::roles::{DrainEnd, RoleError, RunningRole, start_agent, start_control, start_entry};

/// Serves callers.
pub fn run_entry(matches: &ArgMatches) -> ExitKind {
    serve(matches, "entry", read_entry_settings, |settings, clock| {
        (settings.log.clone(), start_entry(settings, clock))
    })
}

/// Runs tasks beside backend servers.
pub fn run_agent(matches: &ArgMatches) -> ExitKind {
    serve(matches, "agent", read_agent_settings, |settings, clock| {
        (settings.log.clone(), start_agent(settings, clock))
    })
}

/// Keeps the durable state.
pub fn run_control(matches: &ArgMatches) -> ExitKind {
    serve(matches, "control", read_control_settings, |settings, clock| {
        (settings.log.clone(), start_control(settings, clock))
    })
}

fn serve<S>(
    matches: &ArgMatches,
    role: &str,
    read: impl Fn(&str) -> Result<S, Vec<Mistake>>,
    start: impl Fn(&S, &SharedClock) -> (LogSettings, Result<RunningRole, RoleError>),
) -> ExitKind {
    let path = argument(matches, "settings");
    println!("event=starting role={role} version={} settings={path}", env!("CARGO_PKG_VERSION"));
    let text = match read_file(path) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    let settings = match read(&text) {
        Ok(settings) => settings,
        Err(mistakes) => return show_mistakes(path, &mistakes, false),
    };
    let clock: SharedClock = Arc::new(SystemClock);
    let (log, started) = start(&settings, &clock);
    if let Err(error) = edges::log_writer::open_log(&log) {
        eprintln!("{error}");
        return ExitKind::BadInput;
    }
    match started {
        Ok(running) => {
            let reload = || note_reload(path, &text, |text| read(text).map(drop));
            run_until_signal(role, running, &reload)
        }
        Err(error) => {
            eprintln!("{role} did not start: {error}");
            ExitKind::Refused
        }
    }
}

/// Prints where the role listens, then waits for the signal to end.
fn run_until_signal(role: &str, running: RunningRole, reload: &dyn Fn()) -> ExitKind {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let signals = runtime.and_then(|runtime| {
        let signals = {
            let _inside = runtime.enter();
            StopSignals::listen()?
        };
        Ok((runtime, signals))
    });
    let (runtime, mut signals) = match signals {
        Ok(listening) => listening,
        Err(error) => {
            eprintln!("{role} can't listen for signals: {error}");
            running.stop();
            return ExitKind::Refused;
        }
    };
    announce(role, &running);
    runtime.block_on(async {
        while signals.next_wish().await == ProcessWish::Reload {
            reload();
        }
    });
    running.begin_drain();
    let gate = running.gate();
    let ending = std::thread::spawn(move || running.drain());
    runtime.block_on(async {
        tokio::select! {
            () = signals.next() => gate.set(0),
            () = wait_for(&ending) => {}
        }
    });
    match ending.join() {
        Ok(DrainEnd::Idle) => ExitKind::Done,
        Ok(DrainEnd::LimitReached) | Err(_) => ExitKind::Refused,
    }
}

/// Machines read this line to learn the port when the settings ask for any.
fn announce(role: &str, running: &RunningRole) {
    let announce = running.announce_address.map(|address| format!(" announce={address}"));
    println!(
        "event=listening role={role} address={}{}",
        running.address,
        announce.unwrap_or_default()
    );
}

/// Looks now and then whether the drain has ended.
async fn wait_for<T>(thread: &std::thread::JoinHandle<T>) {
    while !thread.is_finished() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

/// Reads the settings file again. What is in it takes effect at the next
/// start; a file with mistakes is reported and changes nothing.
fn note_reload(path: &str, before: &str, read: impl Fn(&str) -> Result<(), Vec<Mistake>>) {
    let outcome = match std::fs::read_to_string(path) {
        Err(error) => format!("unreadable reason={:?}", error.to_string()),
        Ok(text) if text == before => "unchanged".to_owned(),
        Ok(text) => match read(&text) {
            Ok(()) => "changed in_force=next_start".to_owned(),
            Err(mistakes) => {
                let mistakes: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
                format!("invalid reason={:?}", mistakes.join("; "))
            }
        },
    };
    println!("event=reload path={path} outcome={outcome}");
}

/// What the platform or a person wants of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProcessWish {
    End,
    Reload,
}

struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    fn listen() -> std::io::Result<StopSignals> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    async fn next_wish(&mut self) -> ProcessWish {
        tokio::select! {
            _ = self.terminate.recv() => ProcessWish::End,
            _ = self.interrupt.recv() => ProcessWish::End,
            _ = self.hangup.recv() => ProcessWish::Reload,
        }
    }

    /// The next signal to end.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
