//! A model engine: continuous batching, chunked prefill, prefix cache, finite KV memory, orders.

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
use batch::{Batch, Item, Refusal};

/// What an engine can do, in the time of the run.
#[derive(Clone, Debug)]
pub struct Config {
    /// The engine's name.
    pub name: String,
    /// The model that is loaded at first.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Its adapters.
    pub adapters: Vec<String>,
    /// Time of a step without tokens.
    pub step_base: Duration,
    /// Time that each token adds to a step.
    pub step_per_token: Duration,
    /// Most tokens in a step.
    pub max_step_tokens: u64,
    /// KV memory, in tokens.
    pub kv_total: u64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Most streams at once.
    pub max_running: usize,
    /// Age of a load report.
    pub report_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Config {
    /// An engine called `name` whose times are divided by `scale`.
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

    /// Prompt tokens a second of an otherwise idle engine.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn prefill_rate(&self) -> f64 {
        self.max_step_tokens as f64 / self.step_time(self.max_step_tokens).as_secs_f64()
    }
}

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The engine dies with all it holds and returns after this time.
    Crash(Duration),
    /// All streams' connections break; their memory stays held.
    DropConnections,
    /// All streams stop delivering while new connections work.
    HangStreams,
    /// The next stream that ends is cut before its end marker.
    OmitEndMarker,
    /// The engine stands still for this time.
    Stall(Duration),
    /// Events of the prefix cache are lost.
    LoseCacheEvents,
    /// Frees take effect without an answer for this time.
    LoseFreeResponses(Duration),
    /// Requests of this time are taken a second late, also when their sender has left.
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

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    wakeup: Arc<Notify>,
    weights: Weights,
}

impl Engine {
    /// An engine that reads weights from `weights`.
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

    /// KV memory in use, in tokens.
    #[must_use]
    pub fn kv_used(&self) -> u64 {
        self.state.lock().batch.kv_used()
    }

    /// What attempts hold, and for whom.
    #[must_use]
    pub fn holdings(&self) -> Vec<body::Holding> {
        self.state.lock().batch.holdings()
    }

    /// Asks for no new work, as an engine that will be taken away does.
    pub fn drain(&self) {
        self.state.lock().draining = true;
    }

    /// The model that is loaded now.
    #[must_use]
    pub fn model(&self) -> String {
        self.state.lock().config.model.clone()
    }

    /// Injects a fault.
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

    /// Starts the HTTP server on any free port, and the engine's steps.
    ///
    /// # Errors
    ///
    /// The system's error when the port cannot be bound.
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
            _ => error_response(503, "the engine lost the part"),
        }
    }

    async fn submit(
        &self,
        request: Request,
        part: bool,
    ) -> Result<UnboundedReceiver<Item>, Response> {
        let body = request.into_body().into_vec().await;
        let body = body.map_err(|_| error_response(400, "the body did not arrive whole"))?;
        let body: body::Start<'static> = serde_json::from_slice(&body).map_err(|reason| {
            error_response(400, &format!("the body is not a stream: {reason}"))
        })?;
        let (sender, receiver) = unbounded_channel();
        let delay_until = self.state.lock().delay_requests_until;
        if delay_until.is_some_and(|until| until > Instant::now()) {
            let submission = tokio::spawn(self.clone().submit_delayed(body, part, sender));
            // A sender that leaves ends this wait and not the taking.
            let result = submission.await.unwrap_or(Err(Refusal::Unavailable));
            return result.map_err(refusal_response).map(|()| receiver);
        }
        let outcome = self.state.lock().submit(body, part, sender);
        outcome.map_err(refusal_response)?;
        self.wakeup.notify_one();
        Ok(receiver)
    }

    /// Takes a request as one that lay in buffers while its sender's other calls went through.
    async fn submit_delayed(
        self,
        body: body::Start<'static>,
        part: bool,
        sender: UnboundedSender<Item>,
    ) -> Result<(), Refusal> {
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
            return error_response(400, "the body is not {\"attempt\": ATTEMPT}");
        };
        let lose_response = {
            let mut state = self.state.lock();
            if state.crashed {
                return error_response(503, "the engine is gone");
            }
            state.batch.free(body.attempt);
            // Freed memory may let a queued stream start.
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
            return error_response(503, "the engine is gone");
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
            return error_response(400, "the body is not an order");
        };
        if !self.state.lock().accept_order(&order) {
            return error_response(409, "the fencing number is old");
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
        body: body::Start<'static>,
        part: bool,
        sender: UnboundedSender<Item>,
    ) -> Result<(), Refusal> {
        if self.crashed || self.loading || self.draining {
            return Err(Refusal::Unavailable);
        }
        let adapter = body.adapter.as_ref();
        let loaded = adapter.is_none_or(|adapter| self.config.adapters.contains(adapter));
        if body.model != self.config.model || !loaded {
            return Err(Refusal::WrongModel);
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

fn refusal_response(refusal: Refusal) -> Response {
    match refusal {
        Refusal::WrongModel => error_response(409, "another model, version or adapter is loaded"),
        Refusal::TooLarge => {
            error_response(413, "the prompt does not fit into the engine's memory")
        }
        Refusal::Unavailable => error_response(503, "the engine takes no work"),
        Refusal::InvalidContext => {
            error_response(400, "the context is not the handle of an export")
        }
    }
}

/// The events of a stream; a stream that ends without its end marker breaks the connection.
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
            Some(Item::Part(_)) | None => Some(Err(io::Error::other("the stream was cut"))),
        })
    })
}

fn token_event(index: u64, text: &str) -> Event {
    let data = serde_json::to_string(text).unwrap_or_default();
    Event::new().id(index.to_string()).data(data)
}
