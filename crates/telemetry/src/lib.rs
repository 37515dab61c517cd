//! Log output and metrics of a process.
//!
//! ```
//! use std::io::Write as _;
//! use filbertstage_telemetry::log::Writer;
//!
//! let mut log = Writer::start(std::io::stdout())?;
//! writeln!(log, "event=started")?;
//! log.flush()?;
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod log;
pub mod metrics;
