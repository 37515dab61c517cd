//! The command line of the node.

pub mod check;
pub mod serve;

use std::path::PathBuf;

use lexopt::prelude::*;

/// Exit code for a command line that is not understood.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for settings that cannot work.
pub const EXIT_SETTINGS: u8 = 3;
/// Exit code for a node that could not start or did not drain whole.
pub const EXIT_FAILED: u8 = 1;

/// What `--help` prints.
pub const HELP: &str = "\
Serves prompts of very unlike lengths: one process on each entry host.

Usage: filbertstage --settings FILE [--check]

Options:
      --settings FILE  Read the settings from FILE (JSON with comments)
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

const FLAGS: [&str; 4] = ["--settings", "--check", "--help", "--version"];

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
}

impl Command {
    /// Parses the arguments.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, String> {
        let mut file = None;
        let mut check = false;
        while let Some(argument) = parser.next().map_err(|error| error.to_string())? {
            match argument {
                Long("settings") => {
                    let value = parser.value().map_err(|error| error.to_string())?;
                    file = Some(PathBuf::from(value));
                }
                Long("check") => check = true,
                Long("help") | Short('h') => return Ok(Self::Help),
                Long("version") | Short('V') => return Ok(Self::Version),
                Long(flag) => return Err(unknown(&format!("--{flag}"))),
                other => return Err(unknown(&format!("{other:?}"))),
            }
        }
        let file = file.ok_or("no settings: give --settings FILE, or --help for help")?;
        Ok(if check {
            Self::Check(file)
        } else {
            Self::Serve(file)
        })
    }
}

fn unknown(argument: &str) -> String {
    let nearest = FLAGS.iter().max_by(|left, right| {
        let score = |flag: &str| strsim::jaro_winkler(argument, flag);
        score(left).total_cmp(&score(right))
    });
    format!(
        "unknown argument {argument}: did you mean {}?",
        nearest.unwrap_or(&"--help")
    )
}
