//! A fake model engine with continuous batching, chunked prefill, a prefix cache, finite KV memory
//! and orders to load models.

mod batch;
mod cache;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use endpoint::body;
use futures_util::stream;
use kernel::name::{Endpoint, Model};
use kernel::schedule::Report;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;
use volo_http::body::BodyConversion;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::response::sse::{Event, Sse};
use volo_http::server::route::{Router, get, post};

use crate::server::{Server, error_response, json_response, query_param};
use crate::weights::Weights;
use batch::{Batch, Item, Rejection};

/// The models, speed and capacity of an engine.
///
/// Step times are those of the run, so they are already divided by its scale. The report lag is not
/// scaled.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the engine.
    pub name: String,
    /// The model that is loaded at the start.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters that are loaded with the model.
    pub adapters: Vec<String>,
    /// Fixed duration of a step, to which the time of its tokens is added.
    pub step_base: Duration,
    /// Duration that each token adds to a step.
    pub step_per_token: Duration,
    /// Maximum number of tokens in a step.
    pub max_step_tokens: u64,
    /// Size of the KV memory, in tokens.
    pub kv_total: u64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Maximum number of streams and parts that run at once.
    pub max_running: usize,
    /// Maximum age of the load report, which is not updated earlier.
    pub report_lag: Duration,
    /// Whether the engine rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
}

impl Config {
    /// Creates the configuration of an engine that runs `scale` times faster than a real one.
    #[must_use]
    pub fn scaled(name: &str, model: &str, scale: u32) -> Self {
        Self {
            name: name.to_owned(),
            model: model.to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            step_base: Duration::from_millis(5) / scale,
            step_per_token: Duration::from_micros(100) / scale,
            max_step_tokens: 512,
            kv_total: 400_000,
            cache_tokens: 200_000,
            max_running: 64,
            report_lag: Duration::from_millis(200),
            checks_fencing: true,
        }
    }

    fn step_time(&self, tokens: u64) -> Duration {
        self.step_base + self.step_per_token * u32::try_from(tokens).unwrap_or(u32::MAX)
    }

    /// Returns the prefill rate of an otherwise idle engine, in prompt tokens per second.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn prefill_rate(&self) -> f64 {
        self.max_step_tokens as f64 / self.step_time(self.max_step_tokens).as_secs_f64()
    }
}

/// A fault that a test injects into an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Crashes the engine, which loses all streams, KV memory and cached prefixes and restarts after
    /// this time.
    Crash(Duration),
    /// Breaks the connections of all running streams. Their memory stays allocated.
    DropConnections,
    /// Stops the output of all running streams. New streams work.
    HangStreams,
    /// Breaks the connection of the next stream that ends, before its end marker.
    OmitEndMarker,
    /// Stops all steps for this time.
    Stall(Duration),
    /// Discards the retained events of the prefix cache.
    LoseCacheEvents,
    /// Executes requests to free memory during this time, but responds only after every caller has
    /// timed out.
    LoseFreeResponses(Duration),
    /// Delays requests for streams and parts that arrive during this time by a second. They are
    /// executed even if the client has disconnected.
    DelayRequests(Duration),
}

struct State {
    config: Config,
    batch: Batch,
    report: Report,
    reported_at: Instant,
    draining: bool,
    crashed: bool,
    fence: u64,
    loading: bool,
    stalled_until: Option<Instant>,
    lose_responses_until: Option<Instant>,
    delay_requests_until: Option<Instant>,
}

/// A fake engine. Clones share its state.
#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    wakeup: Arc<Notify>,
    weights: Weights,
}

impl Engine {
    /// Creates an engine that reads the weights of newly ordered models from `weights`.
    #[must_use]
    pub fn new(config: Config, weights: Weights) -> Self {
        let state = State {
            batch: Batch::new(&config),
            report: build_report(&config, 0, false),
            reported_at: Instant::now(),
            draining: false,
            crashed: false,
            fence: 0,
            loading: false,
            stalled_until: None,
            lose_responses_until: None,
            delay_requests_until: None,
            config,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            wakeup: Arc::new(Notify::new()),
            weights,
        }
    }

    /// Returns the KV memory in use, in tokens.
    #[must_use]
    pub fn kv_used(&self) -> u64 {
        self.state.lock().batch.kv_used()
    }

    /// Returns the memory that each attempt holds, and the node that it belongs to.
    #[must_use]
    pub fn holdings(&self) -> Vec<body::Holding> {
        self.state.lock().batch.holdings()
    }

    /// Makes the engine reject new streams and report that it is leaving, as before its removal.
    pub fn drain(&self) {
        self.state.lock().draining = true;
    }

    /// Returns the model that is loaded.
    #[must_use]
    pub fn model(&self) -> String {
        self.state.lock().config.model.clone()
    }

    /// Injects a fault. A crash also makes `server` close new connections until the restart.
    pub fn inject(&self, server: &Server, fault: Fault) {
        let now = Instant::now();
        let mut state = self.state.lock();
        match fault {
            Fault::Crash(time) => {
                state.crashed = true;
                state.batch = Batch::new(&state.config.clone());
                server.accepting.set(false);
                drop(state);
                tokio::spawn(self.clone().restart(server.clone(), time));
            }
            Fault::Stall(time) => state.stalled_until = Some(now + time),
            Fault::LoseFreeResponses(time) => state.lose_responses_until = Some(now + time),
            Fault::DelayRequests(time) => state.delay_requests_until = Some(now + time),
            Fault::DropConnections
            | Fault::HangStreams
            | Fault::OmitEndMarker
            | Fault::LoseCacheEvents => {
                state.batch.inject(fault);
            }
        }
    }

    async fn restart(self, server: Server, after: Duration) {
        tokio::time::sleep(after).await;
        self.state.lock().crashed = false;
        server.accepting.set(true);
    }

    /// Starts the engine's steps and an HTTP server on any free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the port cannot be bound.
    pub async fn serve(&self) -> io::Result<Server> {
        tokio::spawn(self.clone().run());
        let [streams, parts, free, list, report, cache, orders] =
            std::array::from_fn(|_| self.clone());
        let router = Router::new()
            .route(
                "/v1/streams",
                post(move |request: Request| streams.open_stream(request))
                    .get(async move || list.list_holdings()),
            )
            .route(
                "/v1/parts",
                post(move |request: Request| parts.prefill_part(request)),
            )
            .route(
                "/v1/free",
                post(move |request: Request| free.free_attempt(request)),
            )
            .route("/v1/report", get(async move || report.load_report()))
            .route(
                "/v1/cache",
                get(async move |uri: http::Uri| cache.cache_events(&uri)),
            )
            .route(
                "/v1/orders",
                post(move |request: Request| orders.handle_order(request)),
            );
        Server::start(router, 0).await
    }

    async fn run(self) {
        const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
        let mut next = Instant::now();
        let mut progressed = next;
        loop {
            let stalled = self.state.lock().stalled_until;
            if let Some(until) = stalled {
                tokio::time::sleep_until(until).await;
                self.state.lock().stalled_until = None;
            }
            let step = self.state.lock().step();
            let Some(step) = step else {
                self.wakeup.notified().await;
                next = Instant::now();
                continue;
            };
            next += step;
            tokio::time::sleep_until(next).await;
            let mut state = self.state.lock();
            state.batch.deliver();
            if progressed.elapsed() >= PROGRESS_INTERVAL {
                progressed = Instant::now();
                state.batch.send_progress();
            }
        }
    }

    async fn open_stream(self, request: Request) -> Response {
        match self.submit(request, false).await {
            Ok(receiver) => Sse::new(sse_events(receiver)).into_response(),
            Err(response) => response,
        }
    }

    async fn prefill_part(self, request: Request) -> Response {
        let mut receiver = match self.submit(request, true).await {
            Ok(receiver) => receiver,
            Err(response) => return response,
        };
        match receiver.recv().await {
            Some(Item::Part(handle)) => json_response(200, &endpoint::Part { handle }),
            _ => error_response(503, "the engine dropped the part before its prefill ended"),
        }
    }

    async fn submit(
        &self,
        request: Request,
        part: bool,
    ) -> Result<UnboundedReceiver<Item>, Response> {
        let body = request.into_body().into_vec().await;
        let body = body.map_err(|_| error_response(400, "the body is incomplete"))?;
        let body: body::EngineRequest<'static> =
            serde_json::from_slice(&body).map_err(|reason| {
                error_response(
                    400,
                    &format!("the body is not a valid stream request: {reason}"),
                )
            })?;
        let (sender, receiver) = unbounded_channel();
        let delay_until = self.state.lock().delay_requests_until;
        if delay_until.is_some_and(|until| until > Instant::now()) {
            let submission = tokio::spawn(self.clone().submit_delayed(body, part, sender));
            // A client that disconnects cancels this wait, but not the spawned submission.
            let result = submission.await.unwrap_or(Err(Rejection::Unavailable));
            return result.map_err(rejection_response).map(|()| receiver);
        }
        let outcome = self.state.lock().submit(body, part, sender);
        outcome.map_err(rejection_response)?;
        self.wakeup.notify_one();
        Ok(receiver)
    }

    /// Submits a request after a delay, as if the network had buffered it while later requests of
    /// the same client arrived.
    async fn submit_delayed(
        self,
        body: body::EngineRequest<'static>,
        part: bool,
        sender: UnboundedSender<Item>,
    ) -> Result<(), Rejection> {
        const ARRIVAL_DELAY: Duration = Duration::from_secs(1);
        tokio::time::sleep(ARRIVAL_DELAY).await;
        let (item_sender, mut items) = unbounded_channel();
        self.state.lock().submit(body, part, item_sender)?;
        self.wakeup.notify_one();
        tokio::spawn(async move {
            while let Some(item) = items.recv().await {
                if sender.send(item).is_err() {
                    return;
                }
            }
        });
        Ok(())
    }

    async fn free_attempt(self, request: Request) -> Response {
        let body = request.into_body().into_vec().await.unwrap_or_default();
        let Ok(body) = serde_json::from_slice::<body::Free>(&body) else {
            return error_response(400, "the body must be {\"attempt\": ATTEMPT}");
        };
        let lose_response = {
            let mut state = self.state.lock();
            if state.crashed {
                return error_response(503, "the engine has crashed");
            }
            state.batch.free(body.attempt);
            // A queued stream may fit into the freed memory.
            self.wakeup.notify_one();
            state
                .lose_responses_until
                .is_some_and(|until| until > Instant::now())
        };
        if lose_response {
            const BEYOND_ANY_TIMEOUT: Duration = Duration::from_secs(5);
            tokio::time::sleep(BEYOND_ANY_TIMEOUT).await;
        }
        json_response(200, &serde_json::json!({}))
    }

    fn list_holdings(&self) -> Response {
        json_response(200, &self.state.lock().batch.holdings())
    }

    fn load_report(&self) -> Response {
        let mut state = self.state.lock();
        if state.crashed {
            return error_response(503, "the engine has crashed");
        }
        json_response(200, state.lagged_report())
    }

    fn cache_events(&self, uri: &http::Uri) -> Response {
        let after = query_param(uri, "after").unwrap_or(0);
        json_response(200, &self.state.lock().batch.cache().events(after))
    }

    async fn handle_order(self, request: Request) -> Response {
        let body = request.into_body().into_vec().await.unwrap_or_default();
        let Ok(order) = serde_json::from_slice::<body::Order>(&body) else {
            return error_response(400, "the body is not a valid order");
        };
        if !self.state.lock().accept_order(&order) {
            return error_response(409, "the fencing number is outdated");
        }
        tokio::spawn(self.clone().load_model(order));
        json_response(200, &serde_json::json!({}))
    }

    async fn load_model(self, order: body::Order) {
        self.weights.read().await;
        let mut state = self.state.lock();
        state.loading = false;
        state.config.model = order.model;
        state.config.version = order.version;
        state.config.adapters = order.adapters;
        state.batch = Batch::new(&state.config.clone());
    }
}

impl State {
    fn step(&mut self) -> Option<Duration> {
        if self.crashed || self.loading {
            return None;
        }
        self.batch.step(&self.config)
    }

    fn submit(
        &mut self,
        body: body::EngineRequest<'static>,
        part: bool,
        sender: UnboundedSender<Item>,
    ) -> Result<(), Rejection> {
        if self.crashed || self.loading || self.draining {
            return Err(Rejection::Unavailable);
        }
        let adapter = body.adapter.as_ref();
        let loaded = adapter.is_none_or(|adapter| self.config.adapters.contains(adapter));
        if body.model != self.config.model || !loaded {
            return Err(Rejection::WrongModel);
        }
        self.batch.submit(&self.config, body, part, sender)
    }

    fn accept_order(&mut self, order: &body::Order) -> bool {
        if self.config.checks_fencing && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        self.loading = true;
        true
    }

    fn lagged_report(&mut self) -> &Report {
        if self.reported_at.elapsed() >= self.config.report_lag {
            self.report = build_report(&self.config, self.batch.kv_used(), self.draining);
            self.reported_at = Instant::now();
        }
        &self.report
    }
}

fn build_report(config: &Config, kv_used: u64, leaving: bool) -> Report {
    const TYPICAL_STEP_TOKENS: u64 = 16;
    Report {
        endpoint: Endpoint::from(config.name.as_str()),
        model: Some(Model::from(config.model.as_str())),
        version: config.version.clone(),
        adapters: config.adapters.clone(),
        prefill_rate: config.prefill_rate(),
        token_seconds: config.step_time(TYPICAL_STEP_TOKENS).as_secs_f64(),
        kv_total: config.kv_total,
        kv_used,
        most_running: config.max_running,
        leaving,
    }
}

fn rejection_response(rejection: Rejection) -> Response {
    match rejection {
        Rejection::WrongModel => error_response(409, "another model, version or adapter is loaded"),
        Rejection::TooLarge => {
            error_response(413, "the prompt does not fit into the engine's memory")
        }
        Rejection::Unavailable => error_response(503, "the engine accepts no requests"),
        Rejection::InvalidContext => {
            error_response(400, "the context is not the handle of an exported KV cache")
        }
    }
}

/// Converts the items of a stream into server-sent events. If the items end without an end marker,
/// the event stream yields an error, which breaks the connection.
fn sse_events(
    mut receiver: UnboundedReceiver<Item>,
) -> impl futures_util::Stream<Item = Result<Event, io::Error>> {
    let mut complete = false;
    stream::poll_fn(move |context| {
        receiver.poll_recv(context).map(|item| match item {
            Some(Item::Progress) => Some(Ok(Event::new().event("progress").data(""))),
            Some(Item::Token(index, text)) => Some(Ok(token_event(index, &text))),
            Some(Item::End(usage)) => {
                complete = true;
                let usage = serde_json::to_string(&usage).unwrap_or_default();
                Some(Ok(Event::new().event("end").data(usage)))
            }
            None if complete => None,
            Some(Item::Part(_)) | None => Some(Err(io::Error::other(
                "the stream ended without its end marker",
            ))),
        })
    })
}

fn token_event(index: u64, text: &str) -> Event {
    let data = serde_json::to_string(text).unwrap_or_default();
    Event::new().id(index.to_string()).data(data)
}
