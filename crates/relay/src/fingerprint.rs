//! Computes the fingerprints of requests.

use http::{Method, Uri};
use kernel::fingerprint::Fingerprint;
use kernel::name::Workspace;
use sha2::{Digest, Sha256};

/// Number of bytes of a digest that a fingerprint keeps.
const FINGERPRINT_BYTES: usize = 16;

/// Hashes the body of a request while it arrives.
#[derive(Debug, Default)]
pub(crate) struct Hasher(Sha256);

impl Hasher {
    /// Adds the next bytes of the body.
    pub(crate) fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the fingerprint of the request to `host` whose body is complete.
    pub(crate) fn finish(
        self,
        method: &Method,
        host: &str,
        uri: &Uri,
        workspace: Option<&Workspace>,
    ) -> Fingerprint {
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let workspace = workspace.map(Workspace::as_str);
        let body = self.0.finalize();
        let mut head = Sha256::new();
        for part in [
            method.as_str().as_bytes(),
            host.as_bytes(),
            path.as_bytes(),
            workspace.unwrap_or_default().as_bytes(),
            &body,
        ] {
            // With its length, a part cannot be mistaken for a piece of the next one.
            head.update((part.len() as u64).to_be_bytes());
            head.update(part);
        }
        let digest = head.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Fingerprint(u128::from_be_bytes(bytes))
    }
}
