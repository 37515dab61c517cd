//! Splits a byte stream into frames with a length of four bytes in front.

use std::io;
use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::codec::{Decoder, Encoder};

/// Maximum size of a frame with its tag, in bytes.
pub const MAX_BYTES: usize = 32 * 1_024 * 1_024;
/// Size of a frame that a stranger may send without a permit, in bytes.
pub const STRANGER_BYTES: usize = 64 * 1_024;
const LENGTH_BYTES: usize = 4;

/// How large an incoming frame may be.
#[derive(Debug)]
pub enum Trust {
    /// Up to this size.
    Limited(usize),
    /// Up to [`STRANGER_BYTES`], and larger ones with one of the permits.
    Stranger(Arc<Semaphore>),
    /// Up to [`MAX_BYTES`].
    Verified,
}

/// The codec of a connection. Memory is taken as the bytes of a frame arrive, not as they are announced.
#[derive(Debug)]
pub struct Codec {
    trust: Trust,
    permit: Option<OwnedSemaphorePermit>,
}

impl Codec {
    pub const fn new(trust: Trust) -> Self {
        Self {
            trust,
            permit: None,
        }
    }

    /// Sets how large the next frames may be.
    pub fn set_trust(&mut self, trust: Trust) {
        self.trust = trust;
        self.permit = None;
    }

    fn accepts(&mut self, length: usize) -> bool {
        match &self.trust {
            Trust::Limited(limit) => length <= *limit,
            Trust::Verified => length <= MAX_BYTES,
            Trust::Stranger(_) if length <= STRANGER_BYTES || self.permit.is_some() => {
                length <= MAX_BYTES
            }
            Trust::Stranger(permits) => {
                self.permit = Arc::clone(permits).try_acquire_owned().ok();
                length <= MAX_BYTES && self.permit.is_some()
            }
        }
    }
}

impl Decoder for Codec {
    type Item = Bytes;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Bytes>> {
        let Some(head) = bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = usize::try_from(u32::from_be_bytes(*head)).unwrap_or(usize::MAX);
        if !self.accepts(length) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if bytes.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        bytes.advance(LENGTH_BYTES);
        Ok(Some(bytes.split_to(length).freeze()))
    }
}

impl Encoder<Bytes> for Codec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, bytes: &mut BytesMut) -> io::Result<()> {
        let length = u32::try_from(frame.len()).map_err(|_| io::ErrorKind::InvalidData)?;
        bytes.reserve(LENGTH_BYTES + frame.len());
        bytes.put_u32(length);
        bytes.put(frame);
        Ok(())
    }
}
