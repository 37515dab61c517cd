//! Keeps what a run logged, so that a failed one can be traced without another run.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

use super::tally::Tally;

/// The files of one run.
pub struct Artifacts {
    log: PathBuf,
    trace: PathBuf,
}

impl Artifacts {
    /// Starts to write the nodes' logs of the run with `seed` to a file below `folder`.
    ///
    /// # Errors
    ///
    /// The system's error, when the folder or file cannot be written.
    pub fn start(folder: &Path, seed: u64) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let artifacts = Self {
            log: folder.join(format!("{seed}.log")),
            trace: folder.join(format!("{seed}.trace")),
        };
        let config = ConfigBuilder::new()
            .set_time_format_rfc3339()
            .add_filter_allow_str("filbert")
            .build();
        let file = File::create(&artifacts.log)?;
        if WriteLogger::init(LevelFilter::Debug, config, file).is_err() {
            log::info!("event=log_not_kept reason=\"--log shows it on standard output\"");
        }
        Ok(artifacts)
    }

    /// Keeps the log and the trace of a failed run, and removes the log of a sound one.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub fn finish(self, tally: &Tally, passed: bool) -> io::Result<()> {
        if passed {
            return fs::remove_file(&self.log);
        }
        fs::write(&self.trace, tally.trace_text())?;
        log::logger().flush();
        eprintln!("kept: {} and {}", self.log.display(), self.trace.display());
        Ok(())
    }
}
