//! TCP connections that carry frames.
//!
//! Both sides first send a random nonce. Each frame is tagged over both nonces, its direction and
//! its number, so a frame cannot be changed, left out, repeated or sent back.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::Error;
use crate::frame::Frame;
use crate::seal::{self, TAG_BYTES};

/// Largest frame, in bytes.
pub const LARGEST: usize = 32 * 1_024 * 1_024;
/// Longest wait for the other side's nonce.
const GREET: Duration = Duration::from_millis(500);
const NONCE_BYTES: usize = 16;

/// What carries the bytes of a connection.
pub trait Socket: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Socket for T {}

/// Numbers and tags the frames of one direction.
#[derive(Debug)]
struct Direction {
    session: Vec<u8>,
    number: u64,
}

impl Direction {
    fn new(from: &[u8], to: &[u8]) -> Self {
        Self {
            session: [from, to].concat(),
            number: 0,
        }
    }

    fn seal(&mut self, key: &[u8], body: &[u8]) -> Bytes {
        let number = self.number.to_le_bytes();
        self.number += 1;
        let mut sealed = seal::tag(key, &[&self.session, &number, body]).to_vec();
        sealed.extend_from_slice(body);
        Bytes::from(sealed)
    }

    fn open<'a>(&mut self, key: &[u8], sealed: &'a [u8]) -> Result<&'a [u8], Error> {
        let (tag, body) = sealed.split_at_checked(TAG_BYTES).ok_or(Error::Malformed)?;
        let number = self.number.to_le_bytes();
        self.number += 1;
        seal::check(key, &[&self.session, &number, body], tag)?;
        Ok(body)
    }
}

/// A connection to another node.
pub struct Connection {
    frames: Framed<Box<dyn Socket>, LengthDelimitedCodec>,
    key: Vec<u8>,
    outward: Direction,
    inward: Direction,
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
            .max_frame_length(LARGEST)
            .new_codec();
        let mut frames = Framed::new(socket, codec);
        let sent = frames.send(Bytes::copy_from_slice(&nonce)).await;
        sent.map_err(|_| Error::Closed)?;
        let theirs = timeout(GREET, frames.next())
            .await
            .map_err(|_| Error::Silent)?
            .ok_or(Error::Closed)?
            .map_err(|_| Error::Malformed)?;
        // Equal nonces would let the other side send our own frames back to us.
        if theirs.len() != NONCE_BYTES || theirs[..] == nonce {
            return Err(Error::Malformed);
        }
        Ok(Self {
            frames,
            key: key.to_vec(),
            outward: Direction::new(&nonce, &theirs),
            inward: Direction::new(&theirs, &nonce),
        })
    }

    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`], or [`Error::Closed`] when the connection has ended.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let body = postcard::to_stdvec(frame).map_err(|_| Error::Malformed)?;
        if body.len() + TAG_BYTES > LARGEST {
            return Err(Error::TooLarge);
        }
        let sealed = self.outward.seal(&self.key, &body);
        self.frames.send(sealed).await.map_err(|_| Error::Closed)
    }

    /// Receives a frame, waiting at most `limit`.
    ///
    /// # Errors
    ///
    /// [`Error::Silent`] when none comes in time, [`Error::Closed`] at the connection's end, and
    /// [`Error::Forged`] or [`Error::Malformed`] for bytes that are not a frame of this session.
    pub async fn receive(&mut self, limit: Duration) -> Result<Frame, Error> {
        let sealed = timeout(limit, self.frames.next())
            .await
            .map_err(|_| Error::Silent)?
            .ok_or(Error::Closed)?
            .map_err(|_| Error::Closed)?;
        let body = self.inward.open(&self.key, &sealed)?;
        postcard::from_bytes(body).map_err(|_| Error::Malformed)
    }
}
