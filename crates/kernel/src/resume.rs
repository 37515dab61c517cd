//! Signed tokens that let a caller resume a stream at any node.

use hmac::{Hmac, Mac};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

const TAG_BYTES: usize = 16;

quick_error! {
    /// Reason why a resume token was rejected.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The token was not signed with this fleet's key.
        Forged {
            display("the Last-Event-ID was not issued by this fleet")
        }
    }
}

/// Contents of a resume token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// ID of the request whose answer is resumed.
    pub request: String,
    /// Digest of the prompt, which prevents the use of the token with another prompt.
    pub prompt: u64,
    /// Number of answer tokens that the caller has already received.
    pub delivered: u64,
}

impl Token {
    /// Encodes the token with its authentication tag as text for an event ID.
    #[must_use]
    pub fn sign(&self, key: &[u8]) -> String {
        let payload = format!("{}/{:x}/{:x}", self.request, self.prompt, self.delivered);
        let tag = tag(key, payload.as_bytes());
        format!(
            "{}.{}",
            hex::encode(payload),
            hex::encode(&tag[..TAG_BYTES])
        )
    }

    /// Verifies and decodes a token that [`Token::sign`] encoded with the same key.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Forged`] if the text was changed or signed with another key.
    pub fn verify(text: &str, key: &[u8]) -> Result<Self, Error> {
        let (payload, actual) = text.split_once('.').ok_or(Error::Forged)?;
        let payload = hex::decode(payload).map_err(|_| Error::Forged)?;
        let actual = hex::decode(actual).map_err(|_| Error::Forged)?;
        let expected = tag(key, &payload);
        if !constant_time_eq(&expected[..TAG_BYTES], &actual) {
            return Err(Error::Forged);
        }
        let payload = String::from_utf8(payload).map_err(|_| Error::Forged)?;
        let mut parts = payload.splitn(3, '/');
        let mut part = || parts.next().ok_or(Error::Forged);
        Ok(Self {
            request: part()?.to_owned(),
            prompt: parse_hex(part()?)?,
            delivered: parse_hex(part()?)?,
        })
    }
}

fn parse_hex(text: &str) -> Result<u64, Error> {
    u64::from_str_radix(text, 16).map_err(|_| Error::Forged)
}

fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    use subtle::ConstantTimeEq;
    left.ct_eq(right).into()
}

/// Computes the HMAC-SHA256 tag of `message` with `key`.
///
/// # Panics
///
/// Never panics: HMAC accepts keys of any length.
#[must_use]
pub fn tag(key: &[u8], message: &[u8]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(message);
    mac.finalize().into_bytes().into()
}
