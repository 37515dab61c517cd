//! Response bodies for clients: complete in memory, or a stream of events.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use quick_error::quick_error;
use tokio::sync::mpsc;

quick_error! {
    /// Ends a response body so that the client sees that the body is incomplete.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The endpoint's response was interrupted and could not be resumed.
        Incomplete {
            display("the response is incomplete: the connection is closed")
        }
    }
}

/// Body of a response to a client.
#[derive(Debug)]
pub enum Body {
    /// The complete body; `None` if it is empty or already sent.
    Whole(Option<Bytes>),
    /// Events as they arrive. The body is complete when the channel closes without an error.
    Events(mpsc::Receiver<Result<Bytes, Error>>),
}

impl Body {
    /// Creates a body from bytes in memory.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => {
                let next = events.poll_recv(context);
                next.map(|event| event.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Events(_) => SizeHint::default(),
        }
    }
}
