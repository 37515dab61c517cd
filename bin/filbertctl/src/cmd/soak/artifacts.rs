//! Keeps the log and trace of a failed run, so that it can be analyzed without another run.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

use super::tally::Tally;

/// The log and trace files of one run.
pub struct Artifacts {
    log: PathBuf,
    trace: PathBuf,
}

impl Artifacts {
    /// Creates `directory` and starts to write the nodes' logs to a file in it that is named after
    /// `seed`.
    ///
    /// # Errors
    ///
    /// The I/O error, if the directory or file cannot be created.
    pub fn start(directory: &Path, seed: u64) -> io::Result<Self> {
        fs::create_dir_all(directory)?;
        let artifacts = Self {
            log: directory.join(format!("{seed}.log")),
            trace: directory.join(format!("{seed}.trace")),
        };
        let config = ConfigBuilder::new()
            .set_time_format_rfc3339()
            .add_filter_allow_str("filbert")
            .build();
        let file = File::create(&artifacts.log)?;
        if WriteLogger::init(LevelFilter::Debug, config, file).is_err() {
            log::info!("event=log_not_kept reason=\"--log writes it to standard output\"");
        }
        Ok(artifacts)
    }

    /// Removes the log of a run that passed, and otherwise keeps it and writes the trace.
    ///
    /// # Errors
    ///
    /// The I/O error, if the log cannot be removed or the trace cannot be written.
    pub fn finish(self, tally: &Tally, passed: bool) -> io::Result<()> {
        if passed {
            return fs::remove_file(&self.log);
        }
        fs::write(&self.trace, tally.trace_text())?;
        log::logger().flush();
        eprintln!(
            "kept the log {} and the trace {}",
            self.log.display(),
            self.trace.display()
        );
        Ok(())
    }
}
