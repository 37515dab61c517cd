//! Content of frames that was added after the format of [`crate::placement`] was in use.
//!
//! Hosts of several builds run side by side during an upgrade. A build rejects a whole frame that has an
//! [`crate::placement::Item`] variant unknown to it, but ignores bytes after the frame. So new content follows the
//! frame as a list of sections, each with the number of its kind. A receiver skips sections of unknown kinds.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Content that follows a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Extension {
    /// The failure domains that are evacuated.
    Evacuations(Evacuations),
    /// Endpoints that are cold.
    Cold(Vec<Cold>),
    /// Whether the sender reaches endpoints and serves requests of other hosts.
    Reaches(bool),
    /// Identities of endpoints at which requests of the sender have just failed.
    Failures(Vec<u64>),
    /// Whether the sender keeps to the attempts that another host lends it, and reports what it used.
    Borrows(bool),
    /// Digest of the set of hosts that the sender hears, itself included.
    Hears(u64),
}

/// The evacuated failure domains, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Era of the store, if it is known.
    pub era: Option<u64>,
    /// Position in the store up to which the sender knows the records.
    pub position: u64,
    /// Names of the failure domains.
    pub domains: Vec<String>,
}

/// An endpoint that is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cold {
    /// Identity of the endpoint's incarnation.
    pub endpoint: u64,
    /// Time until it is warm, in milliseconds.
    pub remaining_ms: u32,
}

/// An extension in encoded form.
#[derive(Debug, Serialize, Deserialize)]
struct Section {
    kind: u16,
    body: Vec<u8>,
}

/// Numbers of the kinds. A number is never used for another kind, and the body of a kind never changes: new fields need
/// a new kind.
mod kind {
    pub const EVACUATIONS: u16 = 1;
    pub const COLD: u16 = 2;
    pub const REACHES: u16 = 3;
    pub const FAILURES: u16 = 4;
    pub const HEARS: u16 = 6;
    pub const BORROWS: u16 = 7;
}

impl Extension {
    fn encode(&self) -> Option<Section> {
        let (kind, body) = match self {
            Self::Evacuations(content) => (kind::EVACUATIONS, postcard::to_stdvec(content)),
            Self::Cold(content) => (kind::COLD, postcard::to_stdvec(content)),
            Self::Reaches(content) => (kind::REACHES, postcard::to_stdvec(content)),
            Self::Failures(content) => (kind::FAILURES, postcard::to_stdvec(content)),
            Self::Hears(content) => (kind::HEARS, postcard::to_stdvec(content)),
            Self::Borrows(content) => (kind::BORROWS, postcard::to_stdvec(content)),
        };
        let body = body.ok()?;
        Some(Section { kind, body })
    }

    fn decode(section: &Section) -> Option<Self> {
        let body = section.body.as_slice();
        match section.kind {
            kind::EVACUATIONS => read(body).map(Self::Evacuations),
            kind::COLD => read(body).map(Self::Cold),
            kind::REACHES => read(body).map(Self::Reaches),
            kind::FAILURES => read(body).map(Self::Failures),
            kind::HEARS => read(body).map(Self::Hears),
            kind::BORROWS => read(body).map(Self::Borrows),
            _ => None,
        }
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    postcard::from_bytes(body).ok()
}

/// Encodes extensions as the bytes that follow a frame; empty if there are none.
#[must_use]
pub fn encode(extensions: &[Extension]) -> Vec<u8> {
    if extensions.is_empty() {
        return Vec::new();
    }
    let sections: Vec<_> = extensions.iter().filter_map(Extension::encode).collect();
    postcard::to_stdvec(&sections).unwrap_or_default()
}

/// Decodes the bytes that follow a frame. Sections of unknown kinds and malformed ones are skipped.
#[must_use]
pub fn decode(bytes: &[u8]) -> Vec<Extension> {
    let sections: Vec<Section> = read(bytes).unwrap_or_default();
    sections.iter().filter_map(Extension::decode).collect()
}
