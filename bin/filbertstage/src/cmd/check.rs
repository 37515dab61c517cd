//! `filbertstage --check`: checks settings and prints the effective ones.

use std::path::Path;
use std::process::ExitCode;

use node::settings::Settings;

use super::{EXIT_FAILED, EXIT_SETTINGS};

/// Reads settings, or prints every problem with its place.
pub fn read(file: &Path) -> Result<Settings, ExitCode> {
    let shown = file.display();
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("filbertstage: {shown}: {error}: give a file that can be read");
        ExitCode::from(EXIT_SETTINGS)
    })?;
    Settings::read(&text).map_err(|problems| {
        for problem in &problems.0 {
            eprintln!(
                "{shown}:{}: {}: {}",
                problem.line, problem.key, problem.message
            );
        }
        ExitCode::from(EXIT_SETTINGS)
    })
}

/// Runs the check.
pub fn run(file: &Path) -> ExitCode {
    let mut settings = match read(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    "(hidden)".clone_into(&mut settings.fleet_key);
    match serde_json::to_string_pretty(&settings) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("filbertstage: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
