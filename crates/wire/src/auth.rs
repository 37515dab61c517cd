//! Computes and verifies the authentication tags of frames.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::Error;

/// Length of a tag in bytes. HMAC-SHA-256 is truncated to it.
pub const TAG_BYTES: usize = 16;

/// Computes the tag of the concatenated `parts` under `key`.
pub fn tag(key: &[u8], parts: &[&[u8]]) -> [u8; TAG_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    for part in parts {
        mac.update(part);
    }
    let digest = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&digest[..TAG_BYTES]);
    tag
}

/// Compares the tag of `parts` with `received` in constant time.
pub fn verify(key: &[u8], parts: &[&[u8]], received: &[u8]) -> Result<(), Error> {
    let valid: bool = tag(key, parts).ct_eq(received).into();
    if valid { Ok(()) } else { Err(Error::Forged) }
}
