//! Parts of a prompt that several requests may share.

use std::fmt;

use crate::name::rendezvous;

/// Maximum number of hexadecimal digits that fit into a [`Segment`].
const MAX_DIGITS: usize = 16;

/// A part of a prompt, identified by a hash of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Segment(pub u64);

impl Segment {
    /// Parses an identifier, which is usually hexadecimal. Identifiers of any other form are
    /// hashed, with the same result on every host.
    #[must_use]
    pub fn from_id(id: &str) -> Self {
        let number = (id.len() <= MAX_DIGITS)
            .then(|| u64::from_str_radix(id, 16).ok())
            .flatten();
        Self(number.unwrap_or_else(|| rendezvous("segment", id)))
    }
}

impl fmt::Display for Segment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// Formats segments for a log line, separated by commas, or as `-` if there are none.
#[must_use]
pub fn format_list(segments: &[Segment]) -> String {
    if segments.is_empty() {
        return "-".to_owned();
    }
    let texts: Vec<_> = segments.iter().map(Segment::to_string).collect();
    texts.join(",")
}
