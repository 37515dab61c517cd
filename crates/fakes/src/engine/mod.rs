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

use crate::server::{Server, error, json, query};
use crate::weights::Weights;
use batch::{Batch, Item, Refusal};

/// What an engine can do, in the time of the run.
#[derive(Clone, Debug)]
pub struct Setting {
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
    pub step_token: Duration,
    /// Most tokens in a step.
    pub step_tokens: u64,
    /// KV memory, in tokens.
    pub kv_total: u64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Most streams at once.
    pub most_running: usize,
    /// Age of a load report.
    pub report_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Setting {
    /// An engine called `name` whose times are divided by `scale`.
    #[must_use]
    pub fn scaled(name: &str, model: &str, scale: u32) -> Self {
        Self {
            name: name.to_owned(),
            model: model.to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            step_base: Duration::from_millis(5) / scale,
            step_token: Duration::from_micros(100) / scale,
            step_tokens: 512,
            kv_total: 400_000,
            cache_tokens: 200_000,
            most_running: 64,
            report_lag: Duration::from_millis(200),
            checks_fencing: true,
        }
    }

    fn step_time(&self, tokens: u64) -> Duration {
        self.step_base + self.step_token * u32::try_from(tokens).unwrap_or(u32::MAX)
    }

    /// Prompt tokens a second of an otherwise idle engine.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn prefill_rate(&self) -> f64 {
        self.step_tokens as f64 / self.step_time(self.step_tokens).as_secs_f64()
    }
}

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// The engine dies with all it holds and returns after this time.
    Die(Duration),
    /// All streams' connections break; their memory stays held.
    Cut,
    /// All streams stop delivering while new connections work.
    Silence,
    /// The next stream that ends is cut before its end marker.
    Truncate,
    /// The engine stands still for this time.
    Stall(Duration),
    /// Events of the prefix cache are lost.
    LoseCacheEvents,
    /// Frees take effect without an answer for this time.
    LoseFreeAnswers(Duration),
    /// Requests of this time are taken a second late, also when their sender has left.
    LateArrivals(Duration),
}

struct State {
    setting: Setting,
    batch: Batch,
    report: Report,
    reported: Instant,
    leaving: bool,
    dead: bool,
    fence: u64,
    loading: bool,
    stalled_until: Option<Instant>,
    losing_until: Option<Instant>,
    late_until: Option<Instant>,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    work: Arc<Notify>,
    weights: Weights,
}

impl Engine {
    /// An engine that reads weights from `weights`.
    #[must_use]
    pub fn new(setting: Setting, weights: Weights) -> Self {
        let state = State {
            batch: Batch::new(&setting),
            report: report(&setting, 0, false),
            reported: Instant::now(),
            leaving: false,
            dead: false,
            fence: 0,
            loading: false,
            stalled_until: None,
            losing_until: None,
            late_until: None,
            setting,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            work: Arc::new(Notify::new()),
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
    pub fn leave(&self) {
        self.state.lock().leaving = true;
    }

    /// The model that is loaded now.
    #[must_use]
    pub fn model(&self) -> String {
        self.state.lock().setting.model.clone()
    }

    /// Injects a fault.
    pub fn inject(&self, server: &Server, fault: Faults) {
        let now = Instant::now();
        let mut state = self.state.lock();
        match fault {
            Faults::Die(time) => {
                state.dead = true;
                state.batch = Batch::new(&state.setting.clone());
                server.gate.set(false);
                drop(state);
                tokio::spawn(self.clone().restart(server.clone(), time));
            }
            Faults::Stall(time) => state.stalled_until = Some(now + time),
            Faults::LoseFreeAnswers(time) => state.losing_until = Some(now + time),
            Faults::LateArrivals(time) => state.late_until = Some(now + time),
            Faults::Cut | Faults::Silence | Faults::Truncate | Faults::LoseCacheEvents => {
                state.batch.disturb(fault);
            }
        }
    }

    async fn restart(self, server: Server, after: Duration) {
        tokio::time::sleep(after).await;
        self.state.lock().dead = false;
        server.gate.set(true);
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
                post(move |request: Request| streams.open(request)).get(async move || list.list()),
            )
            .route(
                "/v1/parts",
                post(move |request: Request| parts.part(request)),
            )
            .route("/v1/free", post(move |request: Request| free.free(request)))
            .route("/v1/report", get(async move || report.report()))
            .route(
                "/v1/cache",
                get(async move |uri: http::Uri| cache.cache(&uri)),
            )
            .route(
                "/v1/orders",
                post(move |request: Request| orders.order(request)),
            );
        Server::start(router, 0).await
    }

    async fn run(self) {
        const PROGRESS: Duration = Duration::from_millis(200);
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
                self.work.notified().await;
                next = Instant::now();
                continue;
            };
            next += step;
            tokio::time::sleep_until(next).await;
            let mut state = self.state.lock();
            state.batch.deliver();
            if progressed.elapsed() >= PROGRESS {
                progressed = Instant::now();
                state.batch.report_progress();
            }
        }
    }

    async fn open(self, request: Request) -> Response {
        match self.submit(request, false).await {
            Ok(receiver) => Sse::new(events(receiver)).into_response(),
            Err(response) => response,
        }
    }

    async fn part(self, request: Request) -> Response {
        let mut receiver = match self.submit(request, true).await {
            Ok(receiver) => receiver,
            Err(response) => return response,
        };
        match receiver.recv().await {
            Some(Item::Part(handle)) => json(200, &endpoint::Part { handle }),
            _ => error(503, "the engine lost the part"),
        }
    }

    async fn submit(
        &self,
        request: Request,
        part: bool,
    ) -> Result<UnboundedReceiver<Item>, Response> {
        let body = request.into_body().into_vec().await;
        let body = body.map_err(|_| error(400, "the body did not arrive whole"))?;
        let body: body::EngineRequest<'static> = serde_json::from_slice(&body)
            .map_err(|reason| error(400, &format!("the body is not a stream: {reason}")))?;
        let (sender, receiver) = unbounded_channel();
        let late = self.state.lock().late_until;
        if late.is_some_and(|until| until > Instant::now()) {
            let taking = tokio::spawn(self.clone().take_late(body, part, sender));
            // A sender that leaves ends this wait and not the taking.
            let taken = taking.await.unwrap_or(Err(Refusal::Closed));
            return taken.map_err(refuse).map(|()| receiver);
        }
        let outcome = self.state.lock().submit(body, part, sender);
        outcome.map_err(refuse)?;
        self.work.notify_one();
        Ok(receiver)
    }

    /// Takes a request as one that lay in buffers while its sender's other calls went through.
    async fn take_late(
        self,
        body: body::EngineRequest<'static>,
        part: bool,
        sender: UnboundedSender<Item>,
    ) -> Result<(), Refusal> {
        const LATE: Duration = Duration::from_secs(1);
        tokio::time::sleep(LATE).await;
        let (taken, mut items) = unbounded_channel();
        self.state.lock().submit(body, part, taken)?;
        self.work.notify_one();
        tokio::spawn(async move {
            while let Some(item) = items.recv().await {
                if sender.send(item).is_err() {
                    return;
                }
            }
        });
        Ok(())
    }

    async fn free(self, request: Request) -> Response {
        let body = request.into_body().into_vec().await.unwrap_or_default();
        let Ok(body) = serde_json::from_slice::<body::Free>(&body) else {
            return error(400, "the body is not {\"attempt\": ATTEMPT}");
        };
        let losing = {
            let mut state = self.state.lock();
            if state.dead {
                return error(503, "the engine is gone");
            }
            state.batch.free(body.attempt);
            // Freed memory may let a queued stream start.
            self.work.notify_one();
            state
                .losing_until
                .is_some_and(|until| until > Instant::now())
        };
        if losing {
            const LONGER_THAN_ANY_LIMIT: Duration = Duration::from_secs(5);
            tokio::time::sleep(LONGER_THAN_ANY_LIMIT).await;
        }
        json(200, &serde_json::json!({}))
    }

    fn list(&self) -> Response {
        json(200, &self.state.lock().batch.holdings())
    }

    fn report(&self) -> Response {
        let mut state = self.state.lock();
        if state.dead {
            return error(503, "the engine is gone");
        }
        json(200, state.lagged_report())
    }

    fn cache(&self, uri: &http::Uri) -> Response {
        let after = query(uri, "after").unwrap_or(0);
        json(200, &self.state.lock().batch.cache().events(after))
    }

    async fn order(self, request: Request) -> Response {
        let body = request.into_body().into_vec().await.unwrap_or_default();
        let Ok(order) = serde_json::from_slice::<body::Order>(&body) else {
            return error(400, "the body is not an order");
        };
        if !self.state.lock().accepts(&order) {
            return error(409, "the fencing number is old");
        }
        tokio::spawn(self.clone().load(order));
        json(200, &serde_json::json!({}))
    }

    async fn load(self, order: body::Order) {
        self.weights.read().await;
        let mut state = self.state.lock();
        state.loading = false;
        state.setting.model = order.model;
        state.setting.version = order.version;
        state.setting.adapters = order.adapters;
        state.batch = Batch::new(&state.setting.clone());
    }
}

impl State {
    fn step(&mut self) -> Option<Duration> {
        if self.dead || self.loading {
            return None;
        }
        self.batch.step(&self.setting)
    }

    fn submit(
        &mut self,
        body: body::EngineRequest<'static>,
        part: bool,
        sender: UnboundedSender<Item>,
    ) -> Result<(), Refusal> {
        if self.dead || self.loading || self.leaving {
            return Err(Refusal::Closed);
        }
        let adapter = body.adapter.as_ref();
        let loaded = adapter.is_none_or(|adapter| self.setting.adapters.contains(adapter));
        if body.model != self.setting.model || !loaded {
            return Err(Refusal::WrongModel);
        }
        self.batch.submit(&self.setting, body, part, sender)
    }

    fn accepts(&mut self, order: &body::Order) -> bool {
        if self.setting.checks_fencing && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        self.loading = true;
        true
    }

    fn lagged_report(&mut self) -> &Report {
        if self.reported.elapsed() >= self.setting.report_lag {
            self.report = report(&self.setting, self.batch.kv_used(), self.leaving);
            self.reported = Instant::now();
        }
        &self.report
    }
}

fn report(setting: &Setting, kv_used: u64, leaving: bool) -> Report {
    const TYPICAL_BATCH: u64 = 16;
    Report {
        endpoint: Endpoint::from(setting.name.as_str()),
        model: Some(Model::from(setting.model.as_str())),
        version: setting.version.clone(),
        adapters: setting.adapters.clone(),
        prefill_rate: setting.prefill_rate(),
        token_seconds: setting.step_time(TYPICAL_BATCH).as_secs_f64(),
        kv_total: setting.kv_total,
        kv_used,
        most_running: setting.most_running,
        leaving,
    }
}

fn refuse(refusal: Refusal) -> Response {
    match refusal {
        Refusal::WrongModel => error(409, "another model, version or adapter is loaded"),
        Refusal::TooLarge => error(413, "the prompt does not fit into the engine's memory"),
        Refusal::Closed => error(503, "the engine takes no work"),
        Refusal::BadContext => error(400, "the context is not the handle of an export"),
    }
}

/// The events of a stream; a stream that ends without its end marker breaks the connection.
fn events(
    mut receiver: UnboundedReceiver<Item>,
) -> impl futures_util::Stream<Item = Result<Event, io::Error>> {
    let mut whole = false;
    stream::poll_fn(move |context| {
        receiver.poll_recv(context).map(|item| match item {
            Some(Item::Progress) => Some(Ok(Event::new().event("progress").data(""))),
            Some(Item::Token(index, text)) => Some(Ok(token_event(index, &text))),
            Some(Item::End(usage)) => {
                whole = true;
                let usage = serde_json::to_string(&usage).unwrap_or_default();
                Some(Ok(Event::new().event("end").data(usage)))
            }
            None if whole => None,
            Some(Item::Part(_)) | None => Some(Err(io::Error::other("the stream was cut"))),
        })
    })
}

fn token_event(index: u64, text: &str) -> Event {
    let data = serde_json::to_string(text).unwrap_or_default();
    Event::new().id(index.to_string()).data(data)
}
