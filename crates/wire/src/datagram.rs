//! Encodes authenticated frames as UDP datagrams.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::auth::{self, TAG_BYTES};

/// Maximum size of an encoded datagram, in bytes.
pub const MAX_BYTES: usize = 8 * 1_024;

/// Encodes `frame` as a datagram: the authentication tag, followed by the postcard encoding.
///
/// # Errors
///
/// [`Error::TooLarge`] if the result exceeds [`MAX_BYTES`], [`Error::Malformed`] if `frame` cannot
/// be serialized.
pub fn encode<T: Serialize>(key: &[u8], frame: &T) -> Result<Vec<u8>, Error> {
    encode_with(key, frame, &[])
}

/// Encodes `frame` like [`encode`], followed by `rest`, which [`decode`] ignores.
///
/// # Errors
///
/// Those of [`encode`].
pub fn encode_with<T: Serialize>(key: &[u8], frame: &T, rest: &[u8]) -> Result<Vec<u8>, Error> {
    let mut body = postcard::to_stdvec(frame).map_err(|_| Error::Malformed)?;
    body.extend_from_slice(rest);
    let mut datagram = auth::tag(key, &[&body]).to_vec();
    datagram.extend_from_slice(&body);
    if datagram.len() > MAX_BYTES {
        return Err(Error::TooLarge);
    }
    Ok(datagram)
}

/// Verifies and decodes a datagram that [`encode`] created with the same key.
///
/// # Errors
///
/// [`Error::Forged`] if the tag does not match the key and the content, [`Error::Malformed`] if the
/// datagram is shorter than a tag or its content is no `T`.
pub fn decode<T: DeserializeOwned>(key: &[u8], datagram: &[u8]) -> Result<T, Error> {
    decode_with(key, datagram).map(|(frame, _)| frame)
}

/// Decodes a datagram like [`decode`] and returns the bytes after the frame as well.
///
/// # Errors
///
/// Those of [`decode`].
pub fn decode_with<'a, T: DeserializeOwned>(
    key: &[u8],
    datagram: &'a [u8],
) -> Result<(T, &'a [u8]), Error> {
    let (tag, body) = datagram
        .split_at_checked(TAG_BYTES)
        .ok_or(Error::Malformed)?;
    auth::verify(key, &[body], tag)?;
    postcard::take_from_bytes(body).map_err(|_| Error::Malformed)
}
