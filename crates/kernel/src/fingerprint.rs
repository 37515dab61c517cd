//! Identifies requests that are the same: their caller, method, path and body.

use std::fmt;

/// A hash of a request. No caller can build two different requests with the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Number of hexadecimal digits of a fingerprint's text.
    const DIGITS: usize = 32;

    /// Parses the text of a fingerprint.
    #[must_use]
    pub fn from_id(id: &str) -> Option<Self> {
        let number = (id.len() == Self::DIGITS).then(|| u128::from_str_radix(id, 16).ok());
        number.flatten().map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
