//! The record of a script: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

pub struct Record {
    file: File,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: File::create(path).expect("a writable folder"),
            began: Instant::now(),
        }
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&mut self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.write_all(line.as_bytes());
    }
}
