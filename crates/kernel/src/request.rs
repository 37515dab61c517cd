//! Identifiers of requests, attempts and node incarnations.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A random number that identifies one run of a node, drawn at startup.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A request identifier: the incarnation of the node that accepted the request and a sequence
/// number of that node.
///
/// Its text form is both numbers in hexadecimal, separated by `-`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The incarnation of the node that accepted the request.
    pub incarnation: Incarnation,
    /// The request's sequence number at that node.
    pub sequence: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:x}", self.incarnation, self.sequence)
    }
}

/// The error returned for a text that is not a request identifier.
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

/// The identifier of one attempt to run a request on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The request.
    pub request: Id,
    /// The number of the attempt, starting at 1.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.request, self.number)
    }
}
