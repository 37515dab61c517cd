//! Requests that were refused on a connection.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of refused requests after which a connection is not kept. It forgets none of them.
const MAX_REFUSED: usize = 32;

/// Stands for the identifier of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Tag(u64);

impl Tag {
    /// Returns the tag of the request with this identifier.
    pub fn of(id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// The requests that an endpoint has refused on one connection.
#[derive(Debug, Default)]
pub(super) struct Refused(Vec<Tag>);

impl Refused {
    /// Adds a request.
    pub fn insert(&mut self, request: Tag) {
        self.0.push(request);
    }

    /// Whether the connection must not carry further requests.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_REFUSED
    }

    /// Whether the endpoint has refused the request.
    pub fn contains(&self, request: Tag) -> bool {
        self.0.contains(&request)
    }
}
