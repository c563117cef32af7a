//! Owns structured log lines: one event a line, as `event=… key=value …`,
//! handed to the logging duty so that no other duty waits for the disk.
//!
//! Invariant: a line that does not fit into the ring is dropped and counted;
//! the sender never waits.

use std::fmt::{Display, Write};
use std::time::SystemTime;

use kernel::{RingSender, SharedClock};

use crate::counters::ProcessCounters;

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineLevel {
    /// A fault that requires an operator.
    Error,
    /// A fault that the process handled.
    Warn,
    /// A figure over an interval, at most one a second; not rate limited, since it
    /// matters most when other lines are left out.
    Summary,
    /// A change of state.
    Info,
    /// A decision about a single task.
    Debug,
}

impl LineLevel {
    /// Whether lines of this level are written regardless of the rate limit.
    pub fn is_unlimited(self) -> bool {
        match self {
            LineLevel::Error | LineLevel::Warn | LineLevel::Summary => true,
            LineLevel::Info | LineLevel::Debug => false,
        }
    }
}

/// A finished log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Wall clock time of the event.
    pub at: SystemTime,
    /// Severity of the line.
    pub level: LineLevel,
    /// The text, without a line break.
    pub text: String,
}

/// Initial capacity of a line's text, in bytes; most lines are shorter.
const TYPICAL_LINE_BYTES: usize = 192;

/// Builder of a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventLine {
    text: String,
}

impl EventLine {
    /// Starts a line for `event`.
    pub fn new(event: &str) -> EventLine {
        let mut text = String::with_capacity(TYPICAL_LINE_BYTES);
        text.push_str("event=");
        text.push_str(event);
        EventLine { text }
    }

    /// Adds `key=value`; a value that is empty or contains whitespace, control
    /// characters, quotes or `=` is quoted.
    pub fn with(mut self, key: &str, value: impl Display) -> EventLine {
        let result = write!(self.text, " {key}=");
        debug_assert!(result.is_ok(), "writing to a string does not fail");
        let start = self.text.len();
        let result = write!(self.text, "{value}");
        debug_assert!(result.is_ok(), "writing to a string does not fail");
        if needs_quotes(&self.text[start..]) {
            let quoted = format!("{:?}", &self.text[start..]);
            self.text.replace_range(start.., &quoted);
        }
        self
    }

    /// Finishes a line that is written without the logging duty.
    pub fn finish(self, at: SystemTime, level: LineLevel) -> LogLine {
        LogLine { at, level, text: self.text }
    }
}

fn needs_quotes(value: &str) -> bool {
    value.is_empty()
        || value.chars().any(|c| c.is_whitespace() || c == '"' || c == '=' || c.is_control())
}

/// Sends log lines to the logging duty.
#[derive(Clone)]
pub struct EventLog {
    ring: RingSender<LogLine>,
    clock: SharedClock,
    counters: ProcessCounters,
}

impl EventLog {
    /// Creates a log that writes to `ring`.
    pub fn new(
        ring: RingSender<LogLine>,
        clock: SharedClock,
        counters: ProcessCounters,
    ) -> EventLog {
        EventLog { ring, clock, counters }
    }

    /// Writes a line, or counts it as dropped when the ring refuses it.
    pub fn write(&self, level: LineLevel, line: EventLine) {
        let line = line.finish(self.clock.wall_clock(), level);
        if self.ring.push(line).is_err() {
            self.counters.count_dropped_line();
        }
    }

    /// Writes a line at level info.
    pub fn info(&self, line: EventLine) {
        self.write(LineLevel::Info, line);
    }

    /// Writes a line at level summary.
    pub fn summary(&self, line: EventLine) {
        self.write(LineLevel::Summary, line);
    }

    /// Writes a line at level warn.
    pub fn warn(&self, line: EventLine) {
        self.write(LineLevel::Warn, line);
    }
}
