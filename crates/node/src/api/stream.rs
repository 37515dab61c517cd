//! Converts the items of a request to one JSON document or to server-sent events.

use std::collections::VecDeque;
use std::convert::Infallible;

use futures_util::stream;
use http::StatusCode;
use kernel::outcome::Refusal;
use kernel::request::Id;
use kernel::resume::Token;
use tokio::sync::mpsc::Receiver;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::response::sse::{Event, Sse};

use super::document::{Builder, Completion};
use super::prompt::Prompt;
use super::{error, json_response};
use crate::serve::Item;

/// Signs the event identifiers with which a caller resumes a stream.
pub(super) struct Signer {
    /// Signing key.
    pub key: String,
    pub prompt_digest: u64,
}

impl Signer {
    /// Returns the identifier of the event after which the caller has `delivered` tokens.
    fn event_id(&self, request: Id, delivered: u64) -> String {
        let token = Token {
            request: request.to_string(),
            prompt: self.prompt_digest,
            delivered,
        };
        token.sign(self.key.as_bytes())
    }
}

/// Builds the response of a request: one JSON document, or an event stream if `prompt.stream`.
pub(super) async fn respond(
    builder: Builder,
    signer: Signer,
    prompt: &Prompt,
    mut items: Receiver<Item>,
) -> Response {
    let id = builder.id;
    if !prompt.stream {
        return match collect(items).await {
            Ok(completion) => {
                let mut response = json_response(StatusCode::OK, &builder.completion(&completion));
                error::set_request_id(&mut response, id);
                response
            }
            Err(refusal) => error::response(&refusal, Some(id)),
        };
    }
    // The status line is sent after the first item, so that a refusal gets an error status.
    let first = match items.recv().await {
        Some(Item::Refused(refusal)) => return error::response(&refusal, Some(id)),
        Some(item) => item,
        None => return error::response(&channel_closed(), Some(id)),
    };
    let events = events(builder, signer, prompt.include_usage, first, items);
    let mut response = Sse::new(events).into_response();
    error::set_request_id(&mut response, id);
    response
}

/// The refusal for an item channel that closed without a last item.
fn channel_closed() -> Refusal {
    Refusal::Exhausted(1, "the request was lost".to_owned())
}

/// Waits for the end of the request and returns the complete answer.
pub(super) async fn collect(mut items: Receiver<Item>) -> Result<Completion, Refusal> {
    let mut text = String::new();
    while let Some(item) = items.recv().await {
        match item {
            Item::Token(_, token) => text.push_str(&token),
            Item::End(usage) => return Ok(Completion { text, usage }),
            Item::Refused(refusal) => return Err(refusal),
        }
    }
    Err(channel_closed())
}

/// Returns the stream of events for `first` and the items that follow it.
fn events(
    builder: Builder,
    signer: Signer,
    include_usage: bool,
    first: Item,
    mut items: Receiver<Item>,
) -> impl futures_util::Stream<Item = Result<Event, Infallible>> {
    let mut ready = VecDeque::new();
    let mut ended = push_events(&mut ready, &builder, &signer, include_usage, first);
    stream::poll_fn(move |context| {
        use std::task::Poll;
        while ready.is_empty() && !ended {
            match items.poll_recv(context) {
                Poll::Ready(Some(item)) => {
                    ended = push_events(&mut ready, &builder, &signer, include_usage, item);
                }
                Poll::Ready(None) => {
                    ended = push_events(
                        &mut ready,
                        &builder,
                        &signer,
                        include_usage,
                        Item::Refused(channel_closed()),
                    );
                }
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(ready.pop_front().map(Ok))
    })
}

/// Appends the events of an item to `ready`; returns true if the item is the last one.
fn push_events(
    ready: &mut VecDeque<Event>,
    builder: &Builder,
    signer: &Signer,
    include_usage: bool,
    item: Item,
) -> bool {
    match item {
        Item::Token(index, text) => {
            let id = signer.event_id(builder.id, index + 1);
            ready.push_back(
                Event::new()
                    .id(id)
                    .data(builder.chunk(&text, index == 0).to_string()),
            );
            false
        }
        Item::End(usage) => {
            ready
                .push_back(Event::new().data(builder.last_chunk(usage, include_usage).to_string()));
            ready.push_back(Event::new().data("[DONE]"));
            true
        }
        Item::Refused(refusal) => {
            ready.push_back(Event::new().data(error::body(&refusal, Some(builder.id)).to_string()));
            true
        }
    }
}
