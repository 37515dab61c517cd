//! Arguments and errors of the subcommands.

use std::collections::{BTreeMap, VecDeque};
use std::str::FromStr;

use lexopt::prelude::*;
use quick_error::quick_error;

use super::{EXIT_REFUSED, EXIT_UNAVAILABLE, EXIT_USAGE};

quick_error! {
    /// An error that ends a command.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is invalid.
        Usage(message: String) {
            display("{}", message)
        }
        /// A node, file or other resource is unavailable.
        Unavailable(message: String) {
            display("{}", message)
        }
        /// A node refused the request, or the content of a file is invalid.
        Refused(message: String) {
            display("{}", message)
        }
    }
}

impl Error {
    /// Returns the exit code for the error.
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            Self::Unavailable(_) => EXIT_UNAVAILABLE,
            Self::Refused(_) => EXIT_REFUSED,
        }
    }
}

/// Flags without a value that every command accepts.
const COMMON_FLAGS: [&str; 2] = ["help", "json"];
/// Options with a value that every command accepts.
const COMMON_OPTIONS: [&str; 1] = ["log="];

/// Parsed arguments. Reading an option or a positional argument removes it.
#[derive(Debug, Default)]
pub struct Arguments {
    options: BTreeMap<String, String>,
    flags: Vec<String>,
    positional: VecDeque<String>,
}

/// Returns the name in `known` that is most similar to `name`, or an empty string if `known`
/// is empty.
pub fn nearest<'a>(name: &str, known: &[&'a str]) -> &'a str {
    let score = |other: &str| strsim::jaro_winkler(name, other);
    let nearest = known
        .iter()
        .max_by(|left, right| score(left).total_cmp(&score(right)));
    nearest.copied().unwrap_or_default()
}

impl Arguments {
    /// Parses the arguments.
    ///
    /// `known` lists the names that the command accepts; a name that ends with `=` takes a value.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] for an unknown name or a missing value.
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

    /// Returns whether the flag is given.
    pub fn flag(&self, name: &str) -> bool {
        self.flags.iter().any(|flag| flag == name)
    }

    /// Parses the value of an option, if the option is given.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if the value does not parse as `T`.
    pub fn value<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, Error> {
        let Some(text) = self.options.remove(name) else {
            return Ok(None);
        };
        let parsed = text.parse().map(Some);
        parsed.map_err(|_| Error::Usage(format!("invalid value {text:?} for --{name}: see --help")))
    }

    /// Parses the value of a required option.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if the option is missing or its value does not parse as `T`.
    pub fn required<T: FromStr>(&mut self, name: &str) -> Result<T, Error> {
        let missing = || Error::Usage(format!("missing option --{name}: see --help"));
        self.value(name)?.ok_or_else(missing)
    }

    /// Returns the next positional argument.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if there is none; the message contains `name`.
    pub fn next_positional(&mut self, name: &str) -> Result<String, Error> {
        let missing = || Error::Usage(format!("missing argument {name}: see --help"));
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
