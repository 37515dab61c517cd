//! The HTTP client of model engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use kernel::attempt::Fault;
use kernel::ledger::Holding;
use kernel::reconcile::Order;
use kernel::request::{Attempt, Incarnation};
use kernel::schedule::Report;
use platform::http::{Call, Connection, Error as HttpError, document};
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::client::sse::{SseExt, SseReader};

use crate::{CacheEvent, Client, Engine, Error, Event, Kind, Part, Start, Stream};

/// Time limit of short calls.
const LIMIT: Duration = Duration::from_secs(1);

/// Body of a request for a stream or a part.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartBody {
    /// The attempt, as text.
    pub attempt: Attempt,
    /// The node that holds the stream.
    pub holder: Incarnation,
    /// The model that must be loaded.
    pub model: String,
    /// The adapter to use.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// Handle of the KV cache before the prompt.
    #[serde(default)]
    pub context: Option<String>,
    /// Answer tokens to leave out.
    #[serde(default)]
    pub delivered: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
    /// Order in the engine: a lower number goes first.
    pub priority: u64,
    /// Most prompt tokens in one step.
    pub chunk_tokens: u64,
}

/// Body of a request to free an attempt's memory.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Free {
    /// The attempt.
    pub attempt: Attempt,
}

/// What an engine holds for an attempt.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct HoldingEntry {
    /// The attempt.
    pub attempt: Attempt,
    /// The node that holds it.
    pub holder: Incarnation,
    /// Whether the node's connection is open.
    pub connected: bool,
    /// KV memory held, in tokens.
    pub kv_tokens: u64,
}

/// Body of an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// The model to load.
    pub model: String,
    /// The version to load.
    pub version: String,
    /// The adapters to load.
    pub adapters: Vec<String>,
    /// The fencing number.
    pub fence: u64,
}

struct Remote {
    connection: Connection,
}

impl Remote {
    fn body(start: &Start<'_>) -> Result<bytes::Bytes, Error> {
        let body = StartBody {
            attempt: start.attempt,
            holder: start.holder,
            model: start.model.to_owned(),
            adapter: start.adapter.map(str::to_owned),
            prompt: start.prompt.to_owned(),
            context: start.context.map(str::to_owned),
            delivered: start.delivered,
            answer_tokens: start.answer_tokens,
            priority: start.priority,
            chunk_tokens: start.chunk_tokens,
        };
        Ok(document(&body)?)
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        Ok(self.connection.get(path, LIMIT).await?)
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
impl Engine for Remote {
    async fn open(&self, start: Start<'_>, limit: Duration) -> Result<Box<dyn Stream>, Error> {
        let headers = [("traceparent", start.trace)];
        let call = Call {
            method: http::Method::POST,
            path: "/v1/streams",
            headers: &headers,
            body: Self::body(&start)?,
        };
        let response = self.connection.send(call, limit).await?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(HttpError::Status(status, String::new()).into());
        }
        let reader = response
            .into_sse()
            .map_err(|error| Error::Failed(Fault::Broken, error.to_string()))?;
        Ok(Box::new(RemoteStream { reader }))
    }

    async fn part(&self, start: Start<'_>, limit: Duration) -> Result<Part, Error> {
        let headers = [("traceparent", start.trace)];
        let call = Call {
            method: http::Method::POST,
            path: "/v1/parts",
            headers: &headers,
            body: Self::body(&start)?,
        };
        let body = self.connection.fetch(call, limit).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::Failed(Fault::Broken, error.to_string()))
    }

    async fn free(&self, attempt: Attempt) -> Result<(), Error> {
        let body = Free { attempt };
        let _: serde_json::Value = self.connection.post("/v1/free", &body, LIMIT).await?;
        Ok(())
    }

    async fn holdings(&self) -> Result<Vec<Holding>, Error> {
        let entries: Vec<HoldingEntry> = self.get("/v1/streams").await?;
        let holding = |entry: HoldingEntry| Holding {
            holder: entry.holder,
            attempt: entry.attempt,
            connected: entry.connected,
        };
        Ok(entries.into_iter().map(holding).collect())
    }

    async fn report(&self) -> Result<Report, Error> {
        self.get("/v1/report").await
    }

    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error> {
        self.get(&format!("/v1/cache?after={after}")).await
    }

    async fn order(&self, order: &Order, fence: u64) -> Result<(), Error> {
        let body = OrderBody {
            model: order.model.to_string(),
            version: order.version.clone(),
            adapters: order.adapters.clone(),
            fence,
        };
        let _: serde_json::Value = self.connection.post("/v1/orders", &body, LIMIT).await?;
        Ok(())
    }

    fn reset(&self) {
        self.connection.reset();
    }
}

struct RemoteStream {
    reader: SseReader<Body>,
}

#[async_trait]
impl Stream for RemoteStream {
    async fn next(&mut self, limit: Duration) -> Result<Event, Error> {
        let read = tokio::time::timeout(limit, self.reader.read()).await;
        let event = match read {
            Err(_) => return Err(Error::Failed(Fault::Silent, "no event in time".to_owned())),
            Ok(Err(error)) => return Err(Error::Failed(Fault::Broken, error.to_string())),
            Ok(Ok(None)) => {
                return Err(Error::Failed(Fault::Truncated, "no end marker".to_owned()));
            }
            Ok(Ok(Some(event))) => event,
        };
        parse(&event).ok_or_else(|| Error::Failed(Fault::Truncated, "malformed event".to_owned()))
    }
}

fn parse(event: &volo_http::client::sse::SseEvent) -> Option<Event> {
    let data = event.data()?;
    match event.event() {
        "progress" => Some(Event::Progress),
        "end" => serde_json::from_str(data).ok().map(Event::End),
        _ => Some(Event::Token {
            index: event.id()?.parse().ok()?,
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

fn connect(address: SocketAddr) -> Remote {
    Remote {
        connection: Connection::new(address),
    }
}
