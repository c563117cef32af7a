//! Owns log lines: one event a line, as `event=… key=value …`, handed to the
//! logging duty so that no decision waits on the disk.
//!
//! Invariant: a line that finds no room is dropped and counted, never waited
//! for.

use std::fmt::{Display, Write};
use std::time::SystemTime;

use kernel::{RingSender, SharedClock};

use crate::counters::ProcessCounters;

/// How much a line matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineLevel {
    /// Something is wrong and needs a person.
    Error,
    /// Something is wrong and was dealt with.
    Warn,
    /// Something happened.
    Info,
    /// A decision on one task.
    Debug,
}

/// One line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// When it was written, by the calendar.
    pub at: SystemTime,
    /// How much it matters.
    pub level: LineLevel,
    /// The text, without a line break.
    pub text: String,
}

/// A line in the making.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventLine {
    text: String,
}

impl EventLine {
    /// A line about `event`.
    pub fn new(event: &str) -> EventLine {
        EventLine { text: format!("event={event}") }
    }

    /// Adds `key=value`; a value with spaces, quotes or `=` is quoted.
    pub fn with(mut self, key: &str, value: impl Display) -> EventLine {
        let value = value.to_string();
        let plain = !value.is_empty()
            && !value.chars().any(|c| c.is_whitespace() || c == '"' || c == '=' || c.is_control());
        let written = if plain {
            write!(self.text, " {key}={value}")
        } else {
            write!(self.text, " {key}={value:?}")
        };
        debug_assert!(written.is_ok(), "writing to a string does not fail");
        self
    }
}

/// Hands lines to the logging duty.
#[derive(Clone)]
pub struct EventLog {
    ring: RingSender<LogLine>,
    clock: SharedClock,
    counters: ProcessCounters,
}

impl EventLog {
    /// A log that writes through `ring`.
    pub fn new(
        ring: RingSender<LogLine>,
        clock: SharedClock,
        counters: ProcessCounters,
    ) -> EventLog {
        EventLog { ring, clock, counters }
    }

    /// Writes a line.
    pub fn write(&self, level: LineLevel, line: EventLine) {
        let line = LogLine { at: self.clock.calendar(), level, text: line.text };
        if self.ring.push(line).is_err() {
            self.counters.drop_line();
        }
    }

    /// Writes a line about something that happened.
    pub fn info(&self, line: EventLine) {
        self.write(LineLevel::Info, line);
    }

    /// Writes a line about something that is wrong and was dealt with.
    pub fn warn(&self, line: EventLine) {
        self.write(LineLevel::Warn, line);
    }
}
