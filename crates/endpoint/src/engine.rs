//! HTTP client of model engines.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use async_trait::async_trait;
use buffer::Buffers;
use kernel::attempt::Fault;
use kernel::ledger::Holding;
use kernel::reconcile::Order;
use kernel::request::Attempt;
use kernel::schedule::Report;
use provider::http::{Call, Client as HttpClient, Error as HttpError, Limits, to_json};
use volo_http::body::Body;

use crate::event::{self, Reader};
use crate::{CacheEvent, Client, Engine, EngineRequest, Error, Event, Kind, Part, Stream, body};

/// Timeout of requests that have none of their own.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on responses that list nothing.
const SMALL: Limits = Limits {
    timeout: REQUEST_TIMEOUT,
    bytes: 64 * 1_024,
};
/// Limits on responses that list what an engine holds.
const LIST: Limits = Limits {
    timeout: REQUEST_TIMEOUT,
    bytes: 4 * 1_024 * 1_024,
};
/// Media type of streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Memory for the responses of all engines, in bytes.
const BUFFER_BYTES: u64 = 16 * 1_024 * 1_024;
/// The memory that the clients of all engines share. Bodies of requests take none of it.
static BUFFERS: LazyLock<Buffers> = LazyLock::new(|| Buffers::new(BUFFER_BYTES));

struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    fn body(request: &EngineRequest<'_>) -> Result<bytes::Bytes, Error> {
        let body = body::EngineRequest {
            attempt: request.attempt,
            holder: request.holder,
            model: request.model.to_owned(),
            adapter: request.adapter.map(str::to_owned),
            prompt: Cow::Borrowed(request.prompt),
            context: request.context.map(str::to_owned),
            delivered: request.delivered,
            answer_tokens: request.answer_tokens,
            priority: request.priority,
            chunk_tokens: request.chunk_tokens,
        };
        Ok(to_json(&body)?)
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        limits: Limits,
    ) -> Result<T, Error> {
        Ok(self.client.get(path, limits).await?)
    }
}

impl From<HttpError> for Error {
    fn from(error: HttpError) -> Self {
        let reason = error.to_string();
        match error {
            HttpError::NotSent(_) => Self::Failed(Fault::Unreachable, reason),
            HttpError::Broken(_) => Self::Failed(Fault::Broken, reason),
            HttpError::Silent => Self::Failed(Fault::Silent, reason),
            HttpError::Status(400, _) => Self::Refused(reason),
            HttpError::Status(..) => Self::Failed(Fault::Refused, reason),
        }
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn open(
        &self,
        request: EngineRequest<'_>,
        timeout: Duration,
    ) -> Result<Box<dyn Stream>, Error> {
        let headers = [("traceparent", request.trace)];
        let call = Call {
            method: http::Method::POST,
            path: "/v1/streams",
            headers: &headers,
            body: Self::body(&request)?,
        };
        let response = self.client.send(call, timeout).await?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(HttpError::Status(status, String::new()).into());
        }
        let media_type = response.headers().get(http::header::CONTENT_TYPE);
        let is_stream = media_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM));
        if !is_stream {
            let reason = "the response is no event stream".to_owned();
            return Err(Error::Failed(Fault::Broken, reason));
        }
        let reader = Reader::new(response.into_body());
        Ok(Box::new(HttpStream { reader }))
    }

    async fn prefill_part(
        &self,
        request: EngineRequest<'_>,
        timeout: Duration,
    ) -> Result<Part, Error> {
        let headers = [("traceparent", request.trace)];
        let call = Call {
            method: http::Method::POST,
            path: "/v1/parts",
            headers: &headers,
            body: Self::body(&request)?,
        };
        let body = self.client.fetch(call, Limits { timeout, ..SMALL }).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::Failed(Fault::Broken, error.to_string()))
    }

    async fn free(&self, attempt: Attempt) -> Result<(), Error> {
        let body = body::Free { attempt };
        let _: serde_json::Value = self.client.post("/v1/free", &body, SMALL).await?;
        Ok(())
    }

    async fn holdings(&self) -> Result<Vec<Holding>, Error> {
        let entries: Vec<body::Holding> = self.get("/v1/streams", LIST).await?;
        let holding = |entry: body::Holding| Holding {
            holder: entry.holder,
            attempt: entry.attempt,
            connected: entry.connected,
        };
        Ok(entries.into_iter().map(holding).collect())
    }

    async fn report(&self) -> Result<Report, Error> {
        self.get("/v1/report", SMALL).await
    }

    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error> {
        self.get(&format!("/v1/cache?after={after}"), LIST).await
    }

    async fn send_order(&self, order: &Order, fence: u64) -> Result<(), Error> {
        let body = body::Order {
            model: order.model.to_string(),
            version: order.version.clone(),
            adapters: order.adapters.clone(),
            fence,
        };
        let _: serde_json::Value = self.client.post("/v1/orders", &body, SMALL).await?;
        Ok(())
    }

    fn close_idle(&self) {
        self.client.close_idle();
    }
}

struct HttpStream {
    reader: Reader<Body>,
}

#[async_trait]
impl Stream for HttpStream {
    async fn next(&mut self, timeout: Duration) -> Result<Event, Error> {
        let read = tokio::time::timeout(timeout, self.reader.next()).await;
        let event = match read {
            Err(_) => return Err(Error::Failed(Fault::Silent, "no event in time".to_owned())),
            Ok(Err(error)) => return Err(Error::Failed(Fault::Broken, error.to_string())),
            Ok(Ok(None)) => {
                return Err(Error::Failed(
                    Fault::Truncated,
                    "the stream ended without its end marker".to_owned(),
                ));
            }
            Ok(Ok(Some(event))) => event,
        };
        parse(&event).ok_or_else(|| {
            Error::Failed(
                Fault::Truncated,
                "the stream sent a malformed event".to_owned(),
            )
        })
    }
}

fn parse(event: &event::Event) -> Option<Event> {
    let data = event.data.as_deref()?;
    match event.name.as_str() {
        "progress" => Some(Event::Progress),
        "end" => serde_json::from_str(data).ok().map(Event::End),
        _ => Some(Event::Token {
            index: event.id.as_deref()?.parse().ok()?,
            text: serde_json::from_str(data).ok()?,
        }),
    }
}

inventory::submit! {
    Kind {
        name: "engine",
        connect: |address| Client::Engine(Arc::new(connect(address))),
    }
}

fn connect(address: SocketAddr) -> HttpEngine {
    HttpEngine {
        client: HttpClient::with_buffers(address, BUFFERS.clone()),
    }
}
