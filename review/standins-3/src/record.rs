//! The record of a run: what was sent, answered and run, with times in seconds.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let at = self.started.elapsed().as_secs_f64();
        // A run without a record is still judged.
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}
