//! TCP connections that carry frames.
//!
//! Both sides first send a random nonce. Each frame is tagged over both nonces, its direction and
//! its sequence number, so a frame cannot be changed, left out, repeated or sent back.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::Error;
use crate::auth::{self, TAG_BYTES};
use crate::frame::Frame;

/// Largest frame, in bytes.
pub const MAX_BYTES: usize = 32 * 1_024 * 1_024;
/// Longest wait for the other side's nonce.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);
const NONCE_BYTES: usize = 16;

/// What carries the bytes of a connection.
pub trait Socket: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Socket for T {}

/// Numbers and tags the frames of one direction.
#[derive(Debug)]
struct Direction {
    nonces: Vec<u8>,
    sequence: u64,
}

impl Direction {
    fn new(from: &[u8], to: &[u8]) -> Self {
        Self {
            nonces: [from, to].concat(),
            sequence: 0,
        }
    }

    fn sign(&mut self, key: &[u8], body: &[u8]) -> Bytes {
        let sequence = self.sequence.to_le_bytes();
        self.sequence += 1;
        let mut signed = auth::tag(key, &[&self.nonces, &sequence, body]).to_vec();
        signed.extend_from_slice(body);
        Bytes::from(signed)
    }

    fn verify<'a>(&mut self, key: &[u8], signed: &'a [u8]) -> Result<&'a [u8], Error> {
        let (tag, body) = signed.split_at_checked(TAG_BYTES).ok_or(Error::Malformed)?;
        let sequence = self.sequence.to_le_bytes();
        self.sequence += 1;
        auth::verify(key, &[&self.nonces, &sequence, body], tag)?;
        Ok(body)
    }
}

/// A connection to another node.
pub struct Connection {
    frames: Framed<Box<dyn Socket>, LengthDelimitedCodec>,
    key: Vec<u8>,
    outgoing: Direction,
    incoming: Direction,
}

impl Connection {
    /// Starts a session over a connected socket, on either side. `nonce` must be random.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`], [`Error::Silent`] or [`Error::Malformed`] when the other side sends no
    /// nonce of its own.
    pub async fn start(
        socket: Box<dyn Socket>,
        key: &[u8],
        nonce: [u8; NONCE_BYTES],
    ) -> Result<Self, Error> {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_BYTES)
            .new_codec();
        let mut frames = Framed::new(socket, codec);
        let sent = frames.send(Bytes::copy_from_slice(&nonce)).await;
        sent.map_err(|_| Error::Closed)?;
        let peer_nonce = timeout(HANDSHAKE_TIMEOUT, frames.next())
            .await
            .map_err(|_| Error::TimedOut)?
            .ok_or(Error::Closed)?
            .map_err(|_| Error::Malformed)?;
        // Equal nonces would let the other side send our own frames back to us.
        if peer_nonce.len() != NONCE_BYTES || peer_nonce[..] == nonce {
            return Err(Error::Malformed);
        }
        Ok(Self {
            frames,
            key: key.to_vec(),
            outgoing: Direction::new(&nonce, &peer_nonce),
            incoming: Direction::new(&peer_nonce, &nonce),
        })
    }

    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`], or [`Error::Closed`] when the connection has ended.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let body = postcard::to_stdvec(frame).map_err(|_| Error::Malformed)?;
        if body.len() + TAG_BYTES > MAX_BYTES {
            return Err(Error::TooLarge);
        }
        let signed = self.outgoing.sign(&self.key, &body);
        self.frames.send(signed).await.map_err(|_| Error::Closed)
    }

    /// Receives a frame, waiting at most `limit`.
    ///
    /// # Errors
    ///
    /// [`Error::Silent`] when none comes in time, [`Error::Closed`] at the connection's end, and
    /// [`Error::Forged`] or [`Error::Malformed`] for bytes that are not a frame of this session.
    pub async fn receive(&mut self, limit: Duration) -> Result<Frame, Error> {
        let signed = timeout(limit, self.frames.next())
            .await
            .map_err(|_| Error::TimedOut)?
            .ok_or(Error::Closed)?
            .map_err(|_| Error::Closed)?;
        let body = self.incoming.verify(&self.key, &signed)?;
        postcard::from_bytes(body).map_err(|_| Error::Malformed)
    }
}
