//! Authenticated connections that carry frames over TCP.
//!
//! Both sides first send a random nonce. The tag of each frame covers both nonces, the direction
//! and a sequence number. This detects frames that are modified, dropped, replayed or reflected to
//! their sender.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::Error;
use crate::auth::{self, TAG_BYTES};
use crate::frame::Frame;

/// Maximum size of a frame with its tag, in bytes.
pub const MAX_BYTES: usize = 32 * 1_024 * 1_024;
/// Maximum wait for the peer's nonce.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);
const NONCE_BYTES: usize = 16;

/// A byte stream that can carry a connection.
pub trait Socket: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Socket for T {}

/// State of one direction of a connection: numbers the frames and computes their tags.
#[derive(Debug)]
struct Direction {
    /// The sender's nonce, followed by the receiver's.
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

/// An authenticated connection to another node.
pub struct Connection {
    frames: Framed<Box<dyn Socket>, LengthDelimitedCodec>,
    key: Vec<u8>,
    outgoing: Direction,
    incoming: Direction,
}

impl Connection {
    /// Exchanges nonces over a connected socket. Both sides call this function. `nonce` must be
    /// random.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] if the connection ends, [`Error::TimedOut`] if the peer sends no nonce
    /// within 500 ms, and [`Error::Malformed`] if it sends something else or the same nonce.
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
        // With equal nonces, the peer could reflect this node's own frames.
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

    /// Sends a frame to the peer.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if the frame with its tag exceeds [`MAX_BYTES`], [`Error::Malformed`] if
    /// it cannot be serialized, and [`Error::Closed`] if the connection has ended.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let body = postcard::to_stdvec(frame).map_err(|_| Error::Malformed)?;
        if body.len() + TAG_BYTES > MAX_BYTES {
            return Err(Error::TooLarge);
        }
        let signed = self.outgoing.sign(&self.key, &body);
        self.frames.send(signed).await.map_err(|_| Error::Closed)
    }

    /// Receives a frame from the peer, waiting at most `limit`.
    ///
    /// # Errors
    ///
    /// [`Error::TimedOut`] if no frame arrives in time, [`Error::Closed`] if the connection ends or
    /// the peer announces a frame above [`MAX_BYTES`], [`Error::Forged`] if the tag is not the one
    /// of this connection's next frame, and [`Error::Malformed`] if the frame is shorter than a tag
    /// or its content cannot be decoded.
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
