//! The record of a case: one line for each message and event, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of a case; clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let at = self.now().as_secs_f64();
        let _written = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}
