//! The record of a case: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// A file of lines with the time since the case began; clones share it.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Adds a line.
    pub fn write(&self, line: &str) {
        self.write_at(Instant::now(), line);
    }

    /// Adds a line about something that happened at this time.
    pub fn write_at(&self, at: Instant, line: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(file, "{seconds:8.3} {line}").expect("the record can be written");
    }

    /// Time since the case began, in seconds.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }
}
