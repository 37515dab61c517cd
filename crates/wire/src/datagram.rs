//! Frames as UDP datagrams.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::auth::{self, TAG_BYTES};

/// Largest datagram that is sent, in bytes.
pub const MAX_BYTES: usize = 8 * 1_024;

/// The datagram of `frame`: its tag, then its postcard form.
///
/// # Errors
///
/// [`Error::TooLarge`] when it does not fit into one datagram.
pub fn encode<T: Serialize>(key: &[u8], frame: &T) -> Result<Vec<u8>, Error> {
    let body = postcard::to_stdvec(frame).map_err(|_| Error::Malformed)?;
    let mut datagram = auth::tag(key, &[&body]).to_vec();
    datagram.extend_from_slice(&body);
    if datagram.len() > MAX_BYTES {
        return Err(Error::TooLarge);
    }
    Ok(datagram)
}

/// Reads a datagram that [`encode`] made with the same key.
///
/// # Errors
///
/// [`Error::Forged`] for another key or a changed datagram, [`Error::Malformed`] otherwise.
pub fn decode<T: DeserializeOwned>(key: &[u8], datagram: &[u8]) -> Result<T, Error> {
    let (tag, body) = datagram
        .split_at_checked(TAG_BYTES)
        .ok_or(Error::Malformed)?;
    auth::verify(key, &[body], tag)?;
    postcard::from_bytes(body).map_err(|_| Error::Malformed)
}
