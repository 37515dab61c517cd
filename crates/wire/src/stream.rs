//! Authenticated connections that carry frames over TCP.
//!
//! Both sides first send a random nonce. The tag of each frame covers both nonces, the direction
//! and a sequence number. This detects frames that are modified, dropped, replayed or reflected to
//! their sender.
//!
//! The side that accepts a connection knows nothing of its peer until a first frame has verified. Until
//! then, it takes frames of up to 64 KiB, and larger ones only as far as its permits go. So the side that
//! connects sends a small question first if its first frame is larger. A peer of an older version
//! answers this question like any other, and one that does not ask it needs a permit.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::Error;
use crate::auth::{self, TAG_BYTES};
use crate::codec::{Codec, STRANGER_BYTES, Trust};
use crate::frame::Frame;

pub use crate::codec::MAX_BYTES;

/// Maximum wait for the peer's nonce.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum wait for the answer to the question before a large first frame.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(1);
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
    frames: Framed<Box<dyn Socket>, Codec>,
    key: Vec<u8>,
    outgoing: Direction,
    incoming: Direction,
    /// Whether the peer takes frames of any size.
    is_known: bool,
    is_verified: bool,
}

impl Connection {
    /// Exchanges nonces over a socket that this side connected. `nonce` must be random.
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
        Self::exchange(socket, key, nonce, Trust::Verified).await
    }

    /// Exchanges nonces over a socket that this side accepted. `nonce` must be random. Until a frame of
    /// the peer has verified, frames of more than 64 KiB need one of `permits`.
    ///
    /// # Errors
    ///
    /// As [`Connection::start`].
    pub async fn accept(
        socket: Box<dyn Socket>,
        key: &[u8],
        nonce: [u8; NONCE_BYTES],
        permits: Arc<Semaphore>,
    ) -> Result<Self, Error> {
        Self::exchange(socket, key, nonce, Trust::Stranger(permits)).await
    }

    async fn exchange(
        socket: Box<dyn Socket>,
        key: &[u8],
        nonce: [u8; NONCE_BYTES],
        trust: Trust,
    ) -> Result<Self, Error> {
        let is_connecting = matches!(trust, Trust::Verified);
        let codec = Codec::new(Trust::Limited(NONCE_BYTES));
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
        frames.codec_mut().set_trust(trust);
        Ok(Self {
            frames,
            key: key.to_vec(),
            outgoing: Direction::new(&nonce, &peer_nonce),
            incoming: Direction::new(&peer_nonce, &nonce),
            is_known: !is_connecting,
            is_verified: is_connecting,
        })
    }

    /// Sends a frame to the peer.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if the frame with its tag exceeds [`MAX_BYTES`], [`Error::Malformed`] if
    /// it cannot be serialized, and [`Error::Closed`] if the connection has ended. Before a large first
    /// frame also those of [`Connection::receive`].
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let body = postcard::to_stdvec(frame).map_err(|_| Error::Malformed)?;
        if body.len() + TAG_BYTES > MAX_BYTES {
            return Err(Error::TooLarge);
        }
        if !self.is_known && body.len() + TAG_BYTES > STRANGER_BYTES {
            // No lists are newer than this, so the answer is small.
            let question = postcard::to_stdvec(&Frame::Lists(u64::MAX));
            self.send_body(&question.map_err(|_| Error::Malformed)?)
                .await?;
            self.receive(QUESTION_TIMEOUT).await?;
        }
        self.send_body(&body).await
    }

    async fn send_body(&mut self, body: &[u8]) -> Result<(), Error> {
        self.is_known = true;
        let signed = self.outgoing.sign(&self.key, body);
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
        if !self.is_verified {
            self.is_verified = true;
            self.frames.codec_mut().set_trust(Trust::Verified);
        }
        postcard::from_bytes(body).map_err(|_| Error::Malformed)
    }
}
