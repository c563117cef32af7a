//! The duty that writes log lines, so that nothing else waits on the disk.

use std::time::{Duration, Instant};

use kernel::{Popped, RingReceiver, SharedClock};
use log::LevelFilter;
use log4rs::Config;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;
use model::{LineLevel, LogLine, LogSettings};

use crate::edge_error::EdgeError;

const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.6fZ)(utc)} level={l} {m}{n}";
const APPENDER: &str = "lines";
/// Target of our own lines: this crate writes all of them.
const OWN_TARGET: &str = "edges";

/// Opens the log once for the whole process; a later call changes nothing.
///
/// # Errors
/// When the file can't be opened.
pub fn open_log(settings: &LogSettings) -> Result<(), EdgeError> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn log4rs::append::Append> = match &settings.file {
        Some(path) => {
            let file = FileAppender::builder().encoder(encoder).build(path);
            Box::new(file.map_err(|error| EdgeError::Log { reason: format!("{path}: {error}") })?)
        }
        None => {
            Box::new(ConsoleAppender::builder().encoder(encoder).target(Target::Stdout).build())
        }
    };
    // What libraries say is of interest only when something is wrong.
    let root = Root::builder().appender(APPENDER).build(LevelFilter::Warn);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .logger(Logger::builder().build(OWN_TARGET, level(&settings.level)))
        // Callers that break off are no news; the answers' counters show them.
        .logger(Logger::builder().build("warp", LevelFilter::Off))
        .build(root)
        .map_err(|error| EdgeError::Log { reason: error.to_string() })?;
    // Tests and `try` assemble several roles in one process; the first opens the log.
    let _already_open = log4rs::init_config(config);
    Ok(())
}

fn level(name: &str) -> LevelFilter {
    name.parse().unwrap_or(LevelFilter::Info)
}

/// Lines that a process writes in one second at most; what is wrong is always
/// written.
const LINES_PER_SECOND: u32 = 1_000;

/// How many lines were written in the present second, and how many left out.
#[derive(Debug)]
struct LineBudget {
    since: Instant,
    written: u32,
    left_out: u32,
}

impl LineBudget {
    /// Whether a line may be written now.
    fn allows(&mut self, now: Instant, level: LineLevel) -> bool {
        if now >= self.since + Duration::from_secs(1) {
            if self.left_out > 0 {
                log::warn!("event=lines_left_out count={}", self.left_out);
            }
            *self = LineBudget { since: now, written: 0, left_out: 0 };
        }
        let matters = matches!(level, LineLevel::Error | LineLevel::Warn);
        if !matters && self.written >= LINES_PER_SECOND {
            self.left_out += 1;
            return false;
        }
        self.written += 1;
        true
    }
}

/// Runs the duty until its ring is closed.
pub fn run(ring: &RingReceiver<LogLine>, clock: &SharedClock) {
    let mut budget = LineBudget { since: clock.now(), written: 0, left_out: 0 };
    loop {
        match ring.pop(None) {
            Popped::Message(line) => {
                if budget.allows(clock.now(), line.level) {
                    write(&line);
                }
            }
            Popped::DeadlinePassed => {}
            Popped::Closed => {
                log::logger().flush();
                return;
            }
        }
    }
}

fn write(line: &LogLine) {
    match line.level {
        LineLevel::Error => log::error!("{}", line.text),
        LineLevel::Warn => log::warn!("{}", line.text),
        LineLevel::Info => log::info!("{}", line.text),
        LineLevel::Debug => log::debug!("{}", line.text),
    }
}
