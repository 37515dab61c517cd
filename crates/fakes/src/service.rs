//! A fake plain service that counts the executions of each idempotency key.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use volo_http::body::BodyConversion;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, post};

use crate::server::{Server, error_response, json_response};

/// Faults of a service. The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Executes calls without responding before the caller times out.
    pub lose_responses: bool,
    /// Delay of every response.
    pub delay: Duration,
}

#[derive(Default)]
struct State {
    executions: BTreeMap<String, u32>,
    faults: Faults,
}

/// A plain service. Clones share their executions and faults.
#[derive(Clone, Default)]
pub struct Service {
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Replaces the faults. They apply to all later calls.
    pub fn inject(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Returns the number of executions of each idempotency key.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.state.lock().executions.clone()
    }

    /// Starts an HTTP server on any free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the port cannot be bound.
    pub async fn serve(&self) -> io::Result<Server> {
        let service = self.clone();
        let call =
            move |path: PathParams<String>, request: Request| service.handle_call(path.0, request);
        Server::start(Router::new().route("/v1/calls/{call}", post(call)), 0).await
    }

    async fn handle_call(self, call: String, request: Request) -> Response {
        let key = request
            .headers()
            .get("idempotency-key")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let Ok(body) = request.into_body().into_string().await else {
            return error_response(400, "the body is incomplete");
        };
        let (count, faults) = self.record_execution(&key);
        if faults.lose_responses {
            const BEYOND_ANY_TIMEOUT: Duration = Duration::from_secs(30);
            tokio::time::sleep(BEYOND_ANY_TIMEOUT).await;
        }
        tokio::time::sleep(faults.delay).await;
        json_response(
            200,
            &serde_json::json!({ "call": call, "key": key, "execution": count, "echo": body }),
        )
    }

    fn record_execution(&self, key: &str) -> (u32, Faults) {
        let mut state = self.state.lock();
        let faults = state.faults;
        let count = state.executions.entry(key.to_owned()).or_default();
        *count += 1;
        (*count, faults)
    }
}
