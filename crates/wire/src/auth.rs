//! Authentication tags of frames.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::Error;

/// Bytes of a tag.
pub const TAG_BYTES: usize = 16;

/// The tag of `parts` under `key`.
pub fn tag(key: &[u8], parts: &[&[u8]]) -> [u8; TAG_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of every length");
    for part in parts {
        mac.update(part);
    }
    let digest = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&digest[..TAG_BYTES]);
    tag
}

/// Checks the tag of `parts` in constant time.
pub fn verify(key: &[u8], parts: &[&[u8]], received: &[u8]) -> Result<(), Error> {
    let valid: bool = tag(key, parts).ct_eq(received).into();
    if valid { Ok(()) } else { Err(Error::Forged) }
}
