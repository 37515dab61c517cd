//! Command line and logger of the node.

pub mod check;
pub mod route;
pub mod serve;

use std::path::PathBuf;

use lexopt::prelude::*;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use telemetry::log::Writer;

/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for invalid settings.
pub const EXIT_SETTINGS: u8 = 3;
/// Exit code for a node that could not start or did not drain completely.
pub const EXIT_FAILED: u8 = 1;

/// The version, and a digest of the sources that tells builds of one version apart.
pub const VERSION: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    " (sources ",
    env!("FILBERTSTAGE_SOURCES"),
    ")"
);

/// Output of `--help`.
pub const HELP: &str = "\
Serves prompts of widely varying lengths: one process on each entry host.

Usage: filbertstage [route] --settings FILE [--check]

Commands:
  route                Serve from the catalogue that the platform publishes instead of the lists

Options:
      --settings FILE  Read the settings from FILE (JSON with comments)
                       [default: the file that the variable FILBERTSTAGE_CONFIG names]
      --check          Check the settings, print the effective ones, and exit
      --help           Print this help
      --version        Print the version

Exit codes:
  0  drained completely after SIGTERM or SIGINT, or the settings are valid
  1  could not start, or did not drain within the configured time
  2  the command line is invalid
  3  the settings are invalid

Signals:
  SIGTERM, SIGINT  Drain. A node that gets a second one ends running requests with a final response
  SIGHUP           Read the settings again. A node takes over log.level and times.drain_ms

See docs/settings.md for every key.
";

const FLAGS: [&str; 5] = ["route", "--settings", "--check", "--help", "--version"];

/// A parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Prints the help.
    Help,
    /// Prints the version.
    Version,
    /// Checks the settings of a node in this file.
    Check(PathBuf),
    /// Runs a node with the settings in this file.
    Serve(PathBuf),
    /// Runs a host that serves from the platform's catalogue, with the settings in this file.
    Route(PathBuf),
    /// Checks the settings of a host that serves from the platform's catalogue.
    CheckRoute(PathBuf),
}

/// Environment variable with the path of the settings file, used if `--settings` is not given.
const SETTINGS_ENV: &str = "FILBERTSTAGE_CONFIG";

/// Installs the logger, which writes to standard output. A slow reader of the output does not block
/// the process.
pub fn install_logger(level: &str) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("filbertstage")
        .build();
    let writer = match Writer::start(std::io::stdout()) {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!("filbertstage: logging is disabled: {error}");
            return;
        }
    };
    // Fails only if a logger is already installed; this process installs no other.
    let _ = WriteLogger::init(LevelFilter::Trace, config, writer);
    set_log_level(level);
    log::info!("event=starting version=\"{VERSION}\"");
}

/// Sets the lowest level that is logged. An unknown `level` counts as `info`.
pub fn set_log_level(level: &str) {
    log::set_max_level(level.parse().unwrap_or(LevelFilter::Info));
}

impl Command {
    /// Parses the arguments. The error is a message for the user.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, String> {
        let mut file = None;
        let mut check = false;
        let mut route = false;
        while let Some(argument) = parser.next().map_err(|error| error.to_string())? {
            match argument {
                Long("settings") => {
                    let value = parser.value().map_err(|error| error.to_string())?;
                    file = Some(PathBuf::from(value));
                }
                Long("check") => check = true,
                Value(command) if command == "route" => route = true,
                Long("help") | Short('h') => return Ok(Self::Help),
                Long("version") | Short('V') => return Ok(Self::Version),
                Long(flag) => return Err(unknown_argument(&format!("--{flag}"))),
                other => return Err(unknown_argument(&format!("{other:?}"))),
            }
        }
        let file = file
            .or_else(|| std::env::var_os(SETTINGS_ENV).map(PathBuf::from))
            .ok_or(
                "no settings file: give --settings FILE or set FILBERTSTAGE_CONFIG, see --help",
            )?;
        Ok(match (route, check) {
            (false, true) => Self::Check(file),
            (false, false) => Self::Serve(file),
            (true, true) => Self::CheckRoute(file),
            (true, false) => Self::Route(file),
        })
    }
}

fn unknown_argument(argument: &str) -> String {
    let nearest = FLAGS.iter().max_by(|left, right| {
        let score = |flag: &str| strsim::jaro_winkler(argument, flag);
        score(left).total_cmp(&score(right))
    });
    format!(
        "unknown argument {argument}: did you mean {}?",
        nearest.unwrap_or(&"--help")
    )
}
