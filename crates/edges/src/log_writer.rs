//! The duty that writes log lines, so that no other duty blocks on the disk.
//!
//! Lines are buffered for a short delay and written in batches: under load a
//! wake-up and a system call for each line would cost more than the line
//! itself.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jiff::Timestamp;
use kernel::{PopResult, RingReceiver, SharedClock};
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

use crate::duty_time::{duty_seconds, used_between};
use crate::edge_error::EdgeError;

/// The text of an event line already has its time and level.
const EVENT_PATTERN: &str = "{m}{n}";
const LIBRARY_PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.6fZ)(utc)} level={l} {m}{n}";
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.6fZ";
const EVENT_APPENDER: &str = "own";
const LIBRARY_APPENDER: &str = "library";
/// Log target of event lines: all of them are written by this crate.
const EVENT_TARGET: &str = "edges";

/// Opens the log once for the whole process; a later call changes nothing.
///
/// # Errors
/// When the file can't be opened.
pub fn open_log(settings: &LogSettings) -> Result<(), EdgeError> {
    let file = settings.file.as_deref();
    let events = Appender::builder().build(EVENT_APPENDER, event_appender(file)?);
    let library = Appender::builder().build(LIBRARY_APPENDER, library_appender(file)?);
    let event_logger = Logger::builder().appender(EVENT_APPENDER).additive(false);
    // Libraries log at warn level and above only.
    let root = Root::builder().appender(LIBRARY_APPENDER).build(LevelFilter::Warn);
    let config = Config::builder()
        .appender(events)
        .appender(library)
        .logger(event_logger.build(EVENT_TARGET, level(&settings.level)))
        // warp logs callers that disconnect; the counters of answers cover them.
        .logger(Logger::builder().build("warp", LevelFilter::Off))
        .build(root)
        .map_err(|error| EdgeError::Log { reason: error.to_string() })?;
    // Tests and `try` run several roles in one process; only the first opens the log.
    let _already_open = log4rs::init_config(config);
    Ok(())
}

fn event_appender(file: Option<&str>) -> Result<Box<dyn Append>, EdgeError> {
    let encoder = Box::new(PatternEncoder::new(EVENT_PATTERN));
    match file {
        Some(path) => file_appender(path, encoder),
        None => Ok(Box::new(StdoutAppender { encoder, buffer: Mutex::new(Vec::new()) })),
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

/// Buffers lines for standard output until it is flushed.
#[derive(Debug)]
struct StdoutAppender {
    encoder: Box<PatternEncoder>,
    buffer: Mutex<Vec<u8>>,
}

impl Append for StdoutAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        self.encoder.encode(&mut SimpleWriter(&mut *buffer), record)
    }

    fn flush(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut output = std::io::stdout().lock();
        // There is nowhere to report that standard output is closed.
        let _unread = output.write_all(&buffer).and_then(|()| output.flush());
        buffer.clear();
    }
}

fn level(name: &str) -> LevelFilter {
    name.parse().unwrap_or(LevelFilter::Info)
}

/// Maximum number of info and debug lines in a second; lines of other levels are
/// always written, and count towards the limit.
const MAX_LINES_PER_SECOND: u32 = 1_000;

/// Rate limiter of log lines: counts the lines that were written and suppressed
/// in the current one-second window.
#[derive(Debug)]
struct LineLimiter {
    window_start: Instant,
    written: u32,
    suppressed: u32,
}

impl LineLimiter {
    fn write(&mut self, now: Instant, line: &LogLine) {
        if self.allows(now, line) {
            write(line);
        }
    }

    /// Whether a line may be written now. A new window starts with a line that
    /// reports how many were suppressed in the last one.
    fn allows(&mut self, now: Instant, line: &LogLine) -> bool {
        if now >= self.window_start + Duration::from_secs(1) {
            if self.suppressed > 0 {
                let text = format!("event=lines_left_out count={}", self.suppressed);
                write(&LogLine { at: line.at, level: LineLevel::Warn, text });
            }
            *self = LineLimiter { window_start: now, written: 0, suppressed: 0 };
        }
        if !line.level.is_unlimited() && self.written >= MAX_LINES_PER_SECOND {
            self.suppressed += 1;
            return false;
        }
        self.written += 1;
        true
    }
}

/// How long lines are buffered before they are written.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Minimum interval between two lines about the duties' processor time.
const DUTY_TIME_INTERVAL: Duration = Duration::from_secs(1);

/// Reports the processor time of each duty while other lines are written; an
/// idle process is not woken for it.
struct DutyTimeReport {
    reported_at: Instant,
    seconds: IndexMap<String, f64>,
    /// Longest time in the interval by which this thread woke up late from a sleep
    /// of known length: how long a thread of this process waits for the processor.
    max_wake_delay: Duration,
}

impl DutyTimeReport {
    fn new(now: Instant) -> DutyTimeReport {
        let seconds = duty_seconds();
        DutyTimeReport { reported_at: now, seconds, max_wake_delay: Duration::ZERO }
    }

    /// Records a sleep of [`BATCH_DELAY`] that took `slept`.
    fn add_sleep(&mut self, slept: Duration) {
        self.max_wake_delay = self.max_wake_delay.max(slept.saturating_sub(BATCH_DELAY));
    }

    /// The line that is due, with the milliseconds that each duty used since the
    /// last one.
    fn take_line(&mut self, clock: &SharedClock) -> Option<LogLine> {
        let now = clock.now();
        let interval = now.saturating_duration_since(self.reported_at);
        if interval < DUTY_TIME_INTERVAL {
            return None;
        }
        let seconds = duty_seconds();
        let used = used_between(&self.seconds, &seconds);
        let all = used.values().sum::<f64>();
        let mut text = format!(
            "event=duty_time interval_ms={} all_ms={:.0} core_milli={:.0} wake_delay_ms={}",
            interval.as_millis(),
            all * 1_000.0,
            all * 1_000.0 / interval.as_secs_f64(),
            self.max_wake_delay.as_millis(),
        );
        *self = DutyTimeReport { reported_at: now, seconds, max_wake_delay: Duration::ZERO };
        for (duty, used) in used {
            text.push_str(&format!(" {duty}_ms={:.0}", used * 1_000.0));
        }
        Some(LogLine { at: clock.wall_clock(), level: LineLevel::Summary, text })
    }
}

/// Runs the duty until its ring is closed.
pub fn run(ring: &RingReceiver<LogLine>, clock: &SharedClock) {
    let mut limiter = LineLimiter { window_start: clock.now(), written: 0, suppressed: 0 };
    let mut duty_times = DutyTimeReport::new(clock.now());
    while let PopResult::Message(line) = ring.pop(None) {
        limiter.write(clock.now(), &line);
        let slept_from = clock.now();
        std::thread::sleep(BATCH_DELAY);
        duty_times.add_sleep(clock.now().saturating_duration_since(slept_from));
        while let Some(line) = ring.try_next() {
            limiter.write(clock.now(), &line);
        }
        if let Some(line) = duty_times.take_line(clock) {
            write(&line);
        }
        log::logger().flush();
    }
    log::logger().flush();
}

/// Writes a line at once and flushes, from any thread: for the last line of a process, whose
/// logging duty may be the one that failed.
pub fn write_last(line: &LogLine) {
    write(line);
    log::logger().flush();
}

fn write(line: &LogLine) {
    let level = match line.level {
        LineLevel::Error => Level::Error,
        LineLevel::Warn => Level::Warn,
        LineLevel::Summary | LineLevel::Info => Level::Info,
        LineLevel::Debug => Level::Debug,
    };
    let at = Timestamp::try_from(line.at).unwrap_or_default();
    let at = at.strftime(TIME_FORMAT);
    log::log!(level, "time={at} level={level} {}", line.text);
}
