//! placeholder
use super::arguments::{Arguments, Error};
use std::process::ExitCode;
pub const HELP: &str = "";
pub const FLAGS: &[&str] = &[];
pub fn run(_arguments: &mut Arguments) -> Result<ExitCode, Error> {
    Ok(ExitCode::SUCCESS)
}
