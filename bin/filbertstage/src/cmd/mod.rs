//! The command line of the node.

pub mod check;
pub mod route;
pub mod serve;

use std::path::PathBuf;

use lexopt::prelude::*;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use telemetry::log::Writer;

/// Exit code for a command line that is not understood.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for settings that cannot work.
pub const EXIT_SETTINGS: u8 = 3;
/// Exit code for a node that could not start or did not drain whole.
pub const EXIT_FAILED: u8 = 1;

/// What `--help` prints.
pub const HELP: &str = "\
Serves prompts of very unlike lengths: one process on each entry host.

Usage: filbertstage [route] --settings FILE [--check]

Commands:
  route                Serve by the catalogue that the platform publishes, in place of the lists

Options:
      --settings FILE  Read the settings from FILE (JSON with comments); the default is the file
                       that FILBERTSTAGE_CONFIG names
      --check          Check the settings, print the effective ones, and exit
      --help           Print this help
      --version        Print the version

Exit codes:
  0  drained whole after SIGTERM, or the settings are valid
  1  could not start, or did not drain within the set bound
  2  the command line is not understood
  3  the settings cannot work

See docs/settings.md for every key.
";

const FLAGS: [&str; 5] = ["route", "--settings", "--check", "--help", "--version"];

/// A parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check this file.
    Check(PathBuf),
    /// Serve by this file.
    Serve(PathBuf),
    /// Serve by this file and the platform's catalogue.
    Route(PathBuf),
    /// Check this file of a host that serves by the platform's catalogue.
    CheckRoute(PathBuf),
}

/// Names the settings file where the command line does not.
const SETTINGS_ENV: &str = "FILBERTSTAGE_CONFIG";

/// Installs the logger; lines go to standard output, and a slow reader of them holds nothing up.
pub fn install_logger(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("filbertstage")
        .build();
    let writer = match Writer::start(std::io::stdout()) {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!("filbertstage: no logs are written: {error}");
            return;
        }
    };
    // A second logger is never installed in this process.
    let _ = WriteLogger::init(level, config, writer);
}

impl Command {
    /// Parses the arguments.
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
            .ok_or("no settings: give --settings FILE, or --help for help")?;
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
