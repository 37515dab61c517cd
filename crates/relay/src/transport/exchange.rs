//! The exchange of a request and its response on a connection.

use std::time::Duration;

use buffer::{Hold, Limits};
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{Connection, Failure};

/// A request that was sent, with the head of its response.
pub struct Exchange {
    /// Head of the response.
    pub head: response::Parts,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    /// Time in which a connection was opened for the exchange.
    pub(super) opening: Option<Duration>,
}

impl Exchange {
    /// Returns the next bytes of the body, or `None` at its regular end.
    ///
    /// # Errors
    ///
    /// [`Failure::Uncertain`] if the body was interrupted.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| Failure::Uncertain(error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }

    /// Reads the complete body, then keeps the connection for reuse unless the peer closes it.
    ///
    /// # Errors
    ///
    /// [`Failure::Uncertain`] if the body was interrupted or is longer than `limit` bytes.
    pub async fn collect(self, limit: usize) -> Result<(response::Parts, Bytes), Failure> {
        self.collect_with(limit, || {}).await
    }

    /// Like [`Exchange::collect`], and calls `on_bytes` each time that bytes arrive.
    ///
    /// # Errors
    ///
    /// See [`Exchange::collect`].
    pub async fn collect_with(
        mut self,
        limit: usize,
        on_bytes: impl Fn(),
    ) -> Result<(response::Parts, Bytes), Failure> {
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            on_bytes();
            if whole.len() + bytes.len() > limit {
                return Err(Failure::Uncertain(format!(
                    "the response is longer than {limit} bytes"
                )));
            }
            whole.extend_from_slice(&bytes);
        }
        let Self {
            head, connection, ..
        } = self;
        connection.finish(&head.headers);
        Ok((head, whole.freeze()))
    }

    /// Like [`Exchange::collect`], with the memory of `hold`, which the body keeps. Returns `None` if there
    /// is no room for it.
    ///
    /// # Errors
    ///
    /// [`Failure::Uncertain`] if the body was interrupted or is too long.
    pub async fn collect_into(
        mut self,
        hold: Hold,
        limits: Limits,
    ) -> Result<Option<(response::Parts, Bytes)>, Failure> {
        let read = buffer::read(&mut self.body, hold, limits, |_| {}).await;
        let whole = match read {
            Ok(whole) => whole,
            Err(buffer::Error::Full) => return Ok(None),
            Err(error) => return Err(Failure::Uncertain(error.to_string())),
        };
        let Self {
            head, connection, ..
        } = self;
        connection.finish(&head.headers);
        Ok(Some((head, whole)))
    }

    /// Returns the time in which a connection was opened for the exchange; `None` if an idle one
    /// was used.
    #[must_use]
    pub const fn opening(&self) -> Option<Duration> {
        self.opening
    }

    /// Whether the connection had another exchange before.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.opening.is_none()
    }

    /// Records that the endpoint refused the request of this exchange. The same request is not sent
    /// on the connection again: a copy of the refusal may still come, and nothing tells it from the
    /// answer.
    pub(crate) fn record_refusal(&mut self) {
        let Connection {
            request, refused, ..
        } = &mut self.connection;
        if let Some(request) = *request {
            refused.insert(request);
        }
    }

    /// Returns the status of the response and the kind of its connection, for logs.
    pub(crate) fn describe(&self) -> String {
        let connection = if self.is_reused() { "kept" } else { "new" };
        format!("{} on a {connection} connection", self.head.status.as_u16())
    }

    /// Whether the body has a length or comes in chunks. If not, it ends with the connection.
    #[must_use]
    pub fn is_framed(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }

    /// Whether the body lasts until the connection ends.
    pub(crate) fn ends_with_connection(&self) -> bool {
        !self.is_framed() && !self.body.is_end_stream()
    }

    /// Keeps the connection for reuse after the end of the body, unless the peer closes it.
    pub fn finish(self) {
        self.connection.finish(&self.head.headers);
    }
}
