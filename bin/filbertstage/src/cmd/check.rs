//! `filbertstage --check`: checks settings and prints the effective ones.

use std::path::Path;
use std::process::ExitCode;

use node::settings::Settings;
use serde::Serialize;
use settings::Problems;

use super::{EXIT_FAILED, EXIT_SETTINGS};

/// Reads the settings from `file` with `parse`. On failure, prints every problem with its line and
/// key and returns the exit code.
pub fn read_settings<T>(
    file: &Path,
    parse: fn(&str) -> Result<T, Problems>,
) -> Result<T, ExitCode> {
    let path = file.display();
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("filbertstage: {path}: {error}: give a file that can be read");
        ExitCode::from(EXIT_SETTINGS)
    })?;
    parse(&text).map_err(|problems| {
        for problem in &problems.0 {
            eprintln!(
                "{path}:{}: {}: {}",
                problem.line, problem.key, problem.message
            );
        }
        ExitCode::from(EXIT_SETTINGS)
    })
}

/// Checks the settings of a node and prints the effective ones without the fleet key.
pub fn run(file: &Path) -> ExitCode {
    let mut settings = match read_settings(file, Settings::read) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    "(hidden)".clone_into(&mut settings.fleet_key);
    print(&settings)
}

/// Checks the settings of a host that serves from the platform's catalogue and prints the effective
/// ones.
pub fn run_route(file: &Path) -> ExitCode {
    match read_settings(file, relay::settings::Settings::read) {
        Ok(settings) => print(&settings),
        Err(code) => code,
    }
}

fn print<T: Serialize>(settings: &T) -> ExitCode {
    match serde_json::to_string_pretty(settings) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("filbertstage: the settings could not be printed: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
