//! Identifiers of requests, attempts and node incarnations.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A random number that a node draws when it starts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A request: the incarnation of the node that took it and that node's count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The node that took the request.
    pub incarnation: Incarnation,
    /// The node's running count.
    pub sequence: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:x}", self.incarnation, self.sequence)
    }
}

/// The text is not a request identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not a request id: copy it from the answer's x-request-id header")
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Id {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (incarnation, sequence) = text.split_once('-').ok_or(ParseError)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| ParseError)?;
        let sequence = u64::from_str_radix(sequence, 16).map_err(|_| ParseError)?;
        Ok(Self {
            incarnation: Incarnation(incarnation),
            sequence,
        })
    }
}

/// One try of a request on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The request that is tried.
    pub request: Id,
    /// Counts from one.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.request, self.number)
    }
}
