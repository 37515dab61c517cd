//! What operators see of a running process: its log lines and its metrics.
//!
//! ```
//! use std::io::Write as _;
//! use filbertstage_telemetry::lines::Lines;
//!
//! let mut lines = Lines::start(std::io::stdout())?;
//! writeln!(lines, "event=started")?;
//! lines.flush()?;
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod lines;
pub mod metrics;
