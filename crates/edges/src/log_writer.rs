//! The duty that writes log lines, so that nothing else waits on the disk.
//!
//! Lines are gathered for a moment and written together: under load a wake-up
//! and a system call for each line would cost more than the line.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use jiff::Timestamp;
use kernel::{Popped, RingReceiver, SharedClock};
use log::{Level, LevelFilter, Record};
use log4rs::Config;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use model::{LineLevel, LogLine, LogSettings};

use crate::edge_error::EdgeError;

/// Lines of our own carry their time and level in their text.
const OWN_PATTERN: &str = "{m}{n}";
const LIBRARY_PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.6fZ)(utc)} level={l} {m}{n}";
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.6fZ";
const OWN_APPENDER: &str = "own";
const LIBRARY_APPENDER: &str = "library";
/// Target of our own lines: this crate writes all of them.
const OWN_TARGET: &str = "edges";

/// Opens the log once for the whole process; a later call changes nothing.
///
/// # Errors
/// When the file can't be opened.
pub fn open_log(settings: &LogSettings) -> Result<(), EdgeError> {
    let file = settings.file.as_deref();
    let own = Appender::builder().build(OWN_APPENDER, own_appender(file)?);
    let library = Appender::builder().build(LIBRARY_APPENDER, library_appender(file)?);
    let own_logger = Logger::builder().appender(OWN_APPENDER).additive(false);
    // What libraries say is of interest only when something is wrong.
    let root = Root::builder().appender(LIBRARY_APPENDER).build(LevelFilter::Warn);
    let config = Config::builder()
        .appender(own)
        .appender(library)
        .logger(own_logger.build(OWN_TARGET, level(&settings.level)))
        // Callers that break off are no news; the answers' counters show them.
        .logger(Logger::builder().build("warp", LevelFilter::Off))
        .build(root)
        .map_err(|error| EdgeError::Log { reason: error.to_string() })?;
    // Tests and `try` assemble several roles in one process; the first opens the log.
    let _already_open = log4rs::init_config(config);
    Ok(())
}

fn own_appender(file: Option<&str>) -> Result<Box<dyn Append>, EdgeError> {
    let encoder = Box::new(PatternEncoder::new(OWN_PATTERN));
    match file {
        Some(path) => file_appender(path, encoder),
        None => Ok(Box::new(OutputAppender { encoder, gathered: Mutex::new(Vec::new()) })),
    }
}

fn library_appender(file: Option<&str>) -> Result<Box<dyn Append>, EdgeError> {
    let encoder = Box::new(PatternEncoder::new(LIBRARY_PATTERN));
    match file {
        Some(path) => file_appender(path, encoder),
        None => {
            let console = ConsoleAppender::builder().encoder(encoder).target(Target::Stdout);
            Ok(Box::new(console.build()))
        }
    }
}

fn file_appender(path: &str, encoder: Box<PatternEncoder>) -> Result<Box<dyn Append>, EdgeError> {
    let file = FileAppender::builder().encoder(encoder).build(path);
    let file = file.map_err(|error| EdgeError::Log { reason: format!("{path}: {error}") })?;
    Ok(Box::new(file))
}

/// Gathers lines for standard output until it is flushed.
#[derive(Debug)]
struct OutputAppender {
    encoder: Box<PatternEncoder>,
    gathered: Mutex<Vec<u8>>,
}

impl Append for OutputAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut gathered = self.gathered.lock().unwrap_or_else(PoisonError::into_inner);
        self.encoder.encode(&mut SimpleWriter(&mut *gathered), record)
    }

    fn flush(&self) {
        let mut gathered = self.gathered.lock().unwrap_or_else(PoisonError::into_inner);
        let mut output = std::io::stdout().lock();
        // Nobody can be told when nothing reads the output any more.
        let _unread = output.write_all(&gathered).and_then(|()| output.flush());
        gathered.clear();
    }
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
    fn write(&mut self, now: Instant, line: &LogLine) {
        if self.allows(now, line) {
            write(line);
        }
    }

    /// Whether a line may be written now.
    fn allows(&mut self, now: Instant, line: &LogLine) -> bool {
        if now >= self.since + Duration::from_secs(1) {
            if self.left_out > 0 {
                let text = format!("event=lines_left_out count={}", self.left_out);
                write(&LogLine { at: line.at, level: LineLevel::Warn, text });
            }
            *self = LineBudget { since: now, written: 0, left_out: 0 };
        }
        let matters = matches!(line.level, LineLevel::Error | LineLevel::Warn);
        if !matters && self.written >= LINES_PER_SECOND {
            self.left_out += 1;
            return false;
        }
        self.written += 1;
        true
    }
}

/// How long lines are gathered before they are written.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Runs the duty until its ring is closed.
pub fn run(ring: &RingReceiver<LogLine>, clock: &SharedClock) {
    let mut budget = LineBudget { since: clock.now(), written: 0, left_out: 0 };
    while let Popped::Message(line) = ring.pop(None) {
        budget.write(clock.now(), &line);
        std::thread::sleep(GATHER_TIME);
        while let Some(line) = ring.try_next() {
            budget.write(clock.now(), &line);
        }
        log::logger().flush();
    }
    log::logger().flush();
}

fn write(line: &LogLine) {
    let level = match line.level {
        LineLevel::Error => Level::Error,
        LineLevel::Warn => Level::Warn,
        LineLevel::Info => Level::Info,
        LineLevel::Debug => Level::Debug,
    };
    let at = Timestamp::try_from(line.at).unwrap_or_default();
    let at = at.strftime(TIME_FORMAT);
    log::log!(level, "time={at} level={level} {}", line.text);
}
