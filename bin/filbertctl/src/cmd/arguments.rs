//! The arguments of a subcommand.

use std::collections::{BTreeMap, VecDeque};
use std::str::FromStr;

use lexopt::prelude::*;
use quick_error::quick_error;

use super::{EXIT_REFUSED, EXIT_UNAVAILABLE, EXIT_USAGE};

quick_error! {
    /// Why a command could not do its work.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is not understood.
        Usage(message: String) {
            display("{}", message)
        }
        /// A node or file could not be used.
        Unavailable(message: String) {
            display("{}", message)
        }
        /// A change was refused.
        Refused(message: String) {
            display("{}", message)
        }
    }
}

impl Error {
    /// The exit code of the error.
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            Self::Unavailable(_) => EXIT_UNAVAILABLE,
            Self::Refused(_) => EXIT_REFUSED,
        }
    }
}

/// Flags that every command takes.
const COMMON_FLAGS: [&str; 2] = ["help", "json"];
/// Options that every command takes.
const COMMON_OPTIONS: [&str; 1] = ["log="];

/// Parsed arguments, taken out one by one.
#[derive(Debug, Default)]
pub struct Arguments {
    options: BTreeMap<String, String>,
    flags: Vec<String>,
    positional: VecDeque<String>,
}

/// The known name that is most like `name`.
pub fn nearest<'a>(name: &str, known: &[&'a str]) -> &'a str {
    let score = |other: &str| strsim::jaro_winkler(name, other);
    let nearest = known
        .iter()
        .max_by(|left, right| score(left).total_cmp(&score(right)));
    nearest.copied().unwrap_or_default()
}

impl Arguments {
    /// Parses arguments; a known name that ends with `=` takes a value.
    pub fn parse(mut parser: lexopt::Parser, known: &[&str]) -> Result<Self, Error> {
        let usage = |error: lexopt::Error| Error::Usage(error.to_string());
        let mut arguments = Self::default();
        while let Some(argument) = parser.next().map_err(usage)? {
            match argument {
                Long(name) => {
                    let name = name.to_owned();
                    let takes_value = [known, &COMMON_OPTIONS]
                        .concat()
                        .contains(&format!("{name}=").as_str());
                    if takes_value {
                        let value = parser.value().map_err(usage)?;
                        arguments
                            .options
                            .insert(name, value.to_string_lossy().into_owned());
                    } else if known.contains(&name.as_str())
                        || COMMON_FLAGS.contains(&name.as_str())
                    {
                        arguments.flags.push(name);
                    } else {
                        return Err(unknown_flag(&name, known));
                    }
                }
                Short('h') => arguments.flags.push("help".to_owned()),
                Value(value) => arguments
                    .positional
                    .push_back(value.to_string_lossy().into_owned()),
                Short(letter) => {
                    return Err(Error::Usage(format!(
                        "unknown argument -{letter}: see --help"
                    )));
                }
            }
        }
        Ok(arguments)
    }

    /// Whether a flag was given.
    pub fn flag(&self, name: &str) -> bool {
        self.flags.iter().any(|flag| flag == name)
    }

    /// The value of an option, if it was given.
    pub fn value<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, Error> {
        let Some(text) = self.options.remove(name) else {
            return Ok(None);
        };
        let parsed = text.parse().map(Some);
        parsed.map_err(|_| {
            Error::Usage(format!(
                "--{name} {text:?} is not a valid value: see --help"
            ))
        })
    }

    /// The value of an option that must be given.
    pub fn required<T: FromStr>(&mut self, name: &str) -> Result<T, Error> {
        let missing = || Error::Usage(format!("--{name} is missing: see --help"));
        self.value(name)?.ok_or_else(missing)
    }

    /// The next argument without a name; `name` says what is missing.
    pub fn next_positional(&mut self, name: &str) -> Result<String, Error> {
        let missing = || Error::Usage(format!("{name} is missing: see --help"));
        self.positional.pop_front().ok_or_else(missing)
    }
}

fn unknown_flag(name: &str, known: &[&str]) -> Error {
    let names: Vec<_> = known
        .iter()
        .chain(&COMMON_FLAGS)
        .chain(&COMMON_OPTIONS)
        .map(|name| name.trim_end_matches('='))
        .collect();
    let hint = nearest(name, &names);
    Error::Usage(format!("unknown flag --{name}: did you mean --{hint}?"))
}
