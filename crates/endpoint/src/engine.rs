//! The HTTP client of model engines.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use kernel::attempt::Fault;
use kernel::ledger::Holding;
use kernel::reconcile::Order;
use kernel::request::Attempt;
use kernel::schedule::Report;
use provider::http::{Call, Connection, Error as HttpError, document};
use volo_http::body::Body;
use volo_http::client::sse::{SseExt, SseReader};

use crate::{CacheEvent, Client, Engine, Error, Event, Kind, Part, Start, Stream, body};

/// Time limit of short calls.
const LIMIT: Duration = Duration::from_secs(1);

struct Remote {
    connection: Connection,
}

impl Remote {
    fn body(start: &Start<'_>) -> Result<bytes::Bytes, Error> {
        let body = body::Start {
            attempt: start.attempt,
            holder: start.holder,
            model: start.model.to_owned(),
            adapter: start.adapter.map(str::to_owned),
            prompt: Cow::Borrowed(start.prompt),
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
        let body = body::Free { attempt };
        let _: serde_json::Value = self.connection.post("/v1/free", &body, LIMIT).await?;
        Ok(())
    }

    async fn holdings(&self) -> Result<Vec<Holding>, Error> {
        let entries: Vec<body::Holding> = self.get("/v1/streams").await?;
        let holding = |entry: body::Holding| Holding {
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
        let body = body::Order {
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
