//! The fakes of all platform services behind one HTTP server.

use std::io;
use std::time::Duration;

use provider::{Error, Hosts as _, Log as _, Weights as _};
use volo_http::body::BodyConversion;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get, post};

use crate::hosts::Hosts;
use crate::log::Log;
use crate::server::{Server, error_response, json_response, query_param};
use crate::weights::Weights;

/// A fake platform: the services that its HTTP server offers.
#[derive(Clone)]
pub struct Platform {
    /// The append-only log.
    pub log: Log,
    /// The host list.
    pub hosts: Hosts,
    /// The weight store.
    pub weights: Weights,
}

impl Platform {
    /// Creates a platform with the rates and lags of a small installation.
    #[must_use]
    pub fn new() -> Self {
        const RETENTION_RECORDS: usize = 100_000;
        const APPENDS_PER_SECOND: f64 = 400.0;
        Self {
            log: Log::new(RETENTION_RECORDS, APPENDS_PER_SECOND),
            hosts: Hosts::new(Duration::from_millis(500)),
            weights: Weights::new(2, Duration::from_millis(500)),
        }
    }

    /// Starts the HTTP server on loopback port `port`, or on any free port for 0.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the port cannot be bound.
    pub async fn serve(&self, port: u16) -> io::Result<Server> {
        let records = {
            let (append, read) = (self.clone(), self.clone());
            post(move |path: PathParams<String>, request: Request| append.append(path.0, request))
                .get(move |path: PathParams<String>, request: Request| read.read(path.0, request))
        };
        let (hosts, weights) = (self.clone(), self.clone());
        let router = Router::new()
            .route("/v1/streams/{stream}/records", records)
            .route("/v1/hosts", get(move || hosts.list_hosts()))
            .route("/v1/weights/load", get(move || weights.weights_load()));
        Server::start(router, port).await
    }

    async fn append(self, stream: String, request: Request) -> Response {
        let Ok(body) = request.into_body().into_vec().await else {
            return error_response(400, "the body is incomplete");
        };
        let Ok(append) = serde_json::from_slice::<AppendBody>(&body) else {
            return error_response(400, "the body must be {\"data\": TEXT}");
        };
        match self.log.append(&stream, &append.data).await {
            Ok(offset) => json_response(200, &serde_json::json!({ "offset": offset })),
            Err(Error::Rejected(reason)) => error_response(503, &reason),
            Err(Error::Uncertain(_)) => withhold_response().await,
        }
    }

    async fn read(self, stream: String, request: Request) -> Response {
        let from = query_param(request.uri(), "from").unwrap_or(0);
        let wait = query_param(request.uri(), "wait_ms").unwrap_or(0);
        match self
            .log
            .read(&stream, from, Duration::from_millis(wait))
            .await
        {
            Ok(batch) => json_response(200, &batch),
            Err(reason) => error_response(503, &reason.to_string()),
        }
    }

    async fn list_hosts(self) -> Response {
        match self.hosts.list().await {
            Ok(hosts) => json_response(200, &hosts),
            Err(reason) => error_response(503, &reason.to_string()),
        }
    }

    async fn weights_load(self) -> Response {
        match self.weights.current_load().await {
            Ok(load) => json_response(200, &load),
            Err(reason) => error_response(503, &reason.to_string()),
        }
    }
}

impl Default for Platform {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(serde::Deserialize)]
struct AppendBody {
    data: String,
}

/// Responds only after every caller has timed out.
async fn withhold_response() -> Response {
    const BEYOND_ANY_TIMEOUT: Duration = Duration::from_secs(30);
    tokio::time::sleep(BEYOND_ANY_TIMEOUT).await;
    error_response(504, "the acknowledgement was lost")
}
