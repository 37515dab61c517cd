//! Streams of events from engines, which go on at another engine where the route allows that.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, response};
use kernel::catalogue::{Entry, Profile};
use kernel::event::Splitter;
use kernel::outlier::Observation;
use kernel::place::Request;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::attempts::{Attempts, GaveUp};
use crate::body::{Body, Broken};
use crate::border::{Answered, Sending};
use crate::headers::end_to_end;
use crate::observe;
use crate::pipeline::{Accepted, Pipeline};
use crate::placer::Place;
use crate::plain::{FOREIGN, UNSIGNED, pass_on};
use crate::reservation::{self, Reservations};
use crate::transport::{Exchange, Failure};

/// Time beyond twice the predicted first event after which an engine counts as silent.
const FIRST_SLACK: Duration = Duration::from_millis(1_200);
/// Time beyond the allowed pause after which a stream counts as silent; clients leave after 2 s.
const PAUSE_SLACK: Duration = Duration::from_millis(1_200);
/// Events that wait for a client that reads slowly; then its engine is no longer read.
const EVENTS_AHEAD: usize = 4;
/// Largest body of an engine's failure that is passed on, in bytes.
const FAILURE_BYTES: usize = 64 * 1_024;
/// Pause between events where the route names none.
const USUAL_PAUSE: Duration = Duration::from_millis(500);

/// Reason for a stream that ended inside an event.
const TORN: &str = "ended inside an event";
/// Reason for a stream with an event beyond every bound.
const ENDLESS: &str = "an event has no end";

/// A stream that an engine has begun.
struct Opened {
    exchange: Exchange,
    place: Place,
    engine: Entry,
    _reservations: Reservations,
}

/// How a run at one engine ended.
enum End {
    Whole,
    ClientLeft,
    Expired,
    Silent,
    Broken(String),
}

/// Why no stream could be opened.
enum NotOpened {
    /// An engine's own failure, to pass on.
    Failed(response::Parts, Bytes),
    GaveUp(GaveUp),
}

struct Job {
    pipeline: Arc<Pipeline>,
    accepted: Accepted,
    attempts: Attempts,
    prompt: u64,
    answer: u64,
    /// Whether the client got the head of the answer.
    begun: bool,
}

/// Serves one stream.
pub(crate) async fn run(
    pipeline: Arc<Pipeline>,
    accepted: Accepted,
    profile: &Profile,
) -> Response<Body> {
    let (prompt, answer) = accepted
        .asked
        .tokens
        .unwrap_or((0, u64::from(profile.stride)));
    let mut job = Job {
        attempts: Attempts::new(&accepted.route),
        pipeline,
        accepted,
        prompt,
        answer,
        begun: false,
    };
    let resume_after = job.accepted.asked.resume_after.clone();
    match job.open(resume_after.as_deref()).await {
        Ok(opened) => job.answer(opened),
        Err(NotOpened::Failed(head, body)) => pass_on(&head, body),
        Err(NotOpened::GaveUp(gave_up)) => {
            let now = job.pipeline.clock.now();
            job.accepted.log_gave_up(&job.attempts, gave_up, now);
            job.attempts.answer(gave_up)
        }
    }
}

impl Job {
    /// Passes the first engine's head on and relays events in a task of their own.
    fn answer(mut self, opened: Opened) -> Response<Body> {
        self.begun = true;
        let (sender, receiver) = mpsc::channel(EVENTS_AHEAD);
        let mut response = Response::new(Body::Events(receiver));
        *response.status_mut() = opened.exchange.head.status;
        *response.headers_mut() = end_to_end(&opened.exchange.head.headers);
        tokio::spawn(self.relay(opened, sender));
        response
    }

    /// Places the request and sends it until an engine begins to answer.
    async fn open(&mut self, resume_after: Option<&str>) -> Result<Opened, NotOpened> {
        let mut failure = None;
        let gave_up = loop {
            if !self.attempts.allowed() {
                break GaveUp::Exhausted;
            }
            let place = match self.place().await {
                Ok(place) => place,
                Err(gave_up) => break gave_up,
            };
            match self.send(place, resume_after).await {
                Ok(opened) => return Ok(opened),
                Err(Some(failed)) => failure = Some(failed),
                Err(None) => {}
            }
        };
        Err(match failure {
            Some((head, body)) => NotOpened::Failed(head, body),
            None => NotOpened::GaveUp(gave_up),
        })
    }

    async fn place(&self) -> Result<Place, GaveUp> {
        let accepted = &self.accepted;
        let left = accepted.deadline.since(self.pipeline.clock.now());
        let ask = Request {
            prompt_tokens: self.prompt,
            answer_tokens: self.answer,
            due: accepted.arrived + accepted.route.objective.saturating_sub(accepted.age()),
            deadline: accepted.deadline,
            pause: self.pause(),
            priority: accepted.priority,
            answer_started: self.begun,
            excluded: self.attempts.excluded().to_vec(),
        };
        let placing = self.pipeline.placer.place(&accepted.service, ask);
        match timeout(left, placing).await {
            Ok(Ok(place)) => Ok(place),
            Ok(Err(after)) => Err(GaveUp::Refused(after)),
            Err(_) => Err(GaveUp::Expired),
        }
    }

    fn pause(&self) -> Duration {
        self.accepted.route.pause.unwrap_or(USUAL_PAUSE)
    }

    /// Sends the request by its plan; an error carries the engine's own failure, if it gave one.
    async fn send(
        &mut self,
        place: Place,
        resume_after: Option<&str>,
    ) -> Result<Opened, Option<(response::Parts, Bytes)>> {
        let pipeline = Arc::clone(&self.pipeline);
        let service = &self.accepted.service;
        let Some(engine) = pipeline.known.endpoint(service, place.plan.primary) else {
            self.attempts.rejected(place.plan.primary);
            return Err(None);
        };
        let reserved = reservation::make(&pipeline, service, &place).await;
        let (reservations, helpers) = match reserved {
            Ok(made) => made,
            Err(at_fault) => {
                self.attempts.rejected(at_fault);
                return Err(None);
            }
        };
        if !self.attempts.take(&pipeline.budgets, service) {
            self.attempts.exhaust();
            return Err(None);
        }
        let remaining = self.accepted.deadline.since(pipeline.clock.now());
        let sending = Sending {
            endpoint: &engine.name,
            workspace: self.accepted.workspace.as_ref(),
            remaining,
            resume_after,
            helpers: &helpers,
        };
        self.log_placed(&engine, &place);
        let request = self.accepted.outgoing(&*pipeline.dialect, &sending);
        let limit = if self.attempts.allowed_after() {
            remaining.min(place.plan.first_event * 2 + FIRST_SLACK)
        } else {
            remaining
        };
        let sent = timeout(limit, pipeline.dialer.send(engine.address, request)).await;
        match sent {
            Ok(Ok(exchange)) => self.judge(exchange, place, engine, reservations).await,
            Ok(Err(Failure::Unsent(reason))) => {
                self.log_send(&engine, "unsent", &reason);
                self.judge_engine(&engine, Observation::Unresponsive);
                self.attempts.unsent(engine.identity());
                Err(None)
            }
            Ok(Err(Failure::Uncertain(reason))) => {
                self.failed(&engine, Observation::Failed, &reason);
                Err(None)
            }
            Err(_) => {
                pipeline.dialer.reset(engine.address);
                self.failed(&engine, Observation::Unresponsive, "no answer in time");
                Err(None)
            }
        }
    }

    /// Looks at the head of an engine's answer.
    async fn judge(
        &mut self,
        exchange: Exchange,
        place: Place,
        engine: Entry,
        reservations: Reservations,
    ) -> Result<Opened, Option<(response::Parts, Bytes)>> {
        let id = self.accepted.asked.id.as_deref();
        let head = &exchange.head;
        let dialect = &self.pipeline.dialect;
        let answered = dialect.answered(id, head.status, &head.headers);
        match answered {
            Answered::Foreign => {
                self.failed(&engine, Observation::Failed, FOREIGN);
                return Err(None);
            }
            Answered::Unsigned => {
                self.failed(&engine, Observation::Failed, UNSIGNED);
                return Err(None);
            }
            Answered::NotRun(at_fault) => {
                let named = at_fault.and_then(|address| self.pipeline.known.endpoint_at(address));
                self.log_send(&engine, "not_run", head.status.as_str());
                self.attempts
                    .rejected(named.unwrap_or_else(|| engine.identity()));
                return Err(None);
            }
            Answered::Genuine => {}
        }
        if !head.status.is_success() {
            self.failed(&engine, Observation::Failed, head.status.as_str());
            let collected = timeout(FIRST_SLACK, exchange.collect(FAILURE_BYTES)).await;
            return Err(collected.ok().and_then(Result::ok));
        }
        Ok(Opened {
            exchange,
            place,
            engine,
            _reservations: reservations,
        })
    }

    /// Relays a stream to its end, over several engines where needed.
    async fn relay(mut self, mut opened: Opened, sender: mpsc::Sender<Result<Bytes, Broken>>) {
        let mut splitter = Splitter::resume_after(self.accepted.asked.resume_after.as_deref());
        let resumable = self.accepted.route.resumable;
        let mut patient = !resumable;
        loop {
            let mut end = self
                .pump(&mut opened, &mut splitter, &sender, patient)
                .await;
            if matches!(end, End::Silent) {
                self.failed(
                    &opened.engine,
                    Observation::Unresponsive,
                    "no event in time",
                );
                match self.replace(&mut opened, &mut splitter, &sender).await {
                    Some(ended) => end = ended,
                    None => continue,
                }
                if matches!(end, End::Silent) {
                    patient = true;
                    continue;
                }
            }
            let reason = match end {
                End::Whole => {
                    self.judge_engine(&opened.engine, Observation::Succeeded);
                    opened.exchange.finish();
                    return;
                }
                End::ClientLeft => return,
                End::Expired | End::Silent => GaveUp::Expired.as_str().to_owned(),
                End::Broken(reason) => reason,
            };
            splitter.discard_partial();
            let expired = self.pipeline.clock.now() >= self.accepted.deadline;
            self.failed(&opened.engine, Observation::Failed, &reason);
            drop(opened);
            let continued = if resumable && !expired {
                let after = splitter.last_id().map(str::to_owned);
                tokio::select! {
                    next = self.open(after.as_deref()) => next.ok(),
                    () = sender.closed() => return,
                }
            } else {
                None
            };
            let Some(next) = continued else {
                observe::interrupted("broken_off");
                log::info!(
                    "event=broken_off request={} service={} prompt={} events={} after_ms={} reason=\"{reason}\"",
                    self.accepted.id(),
                    self.accepted.service,
                    self.prompt,
                    splitter.events(),
                    self.since_arrival().as_millis()
                );
                // The client may have left meanwhile.
                let _ = sender.send(Err(Broken::Off)).await;
                return;
            };
            self.log_resumed(&next, &splitter);
            opened = next;
            patient = false;
        }
    }

    /// Looks for another engine in place of a silent one, which is kept until one is found and
    /// whose events still count.
    ///
    /// Returns `None` when another engine took over, and otherwise how the silent one ended, with
    /// [`End::Silent`] when it is to be waited for.
    async fn replace(
        &mut self,
        opened: &mut Opened,
        splitter: &mut Splitter,
        sender: &mpsc::Sender<Result<Bytes, Broken>>,
    ) -> Option<End> {
        let after = splitter.last_id().map(str::to_owned);
        let late = tokio::select! {
            () = sender.closed() => return Some(End::ClientLeft),
            late = opened.exchange.next() => late,
            next = self.open(after.as_deref()) => {
                let Ok(next) = next else {
                    return Some(End::Silent);
                };
                self.log_resumed(&next, splitter);
                splitter.discard_partial();
                *opened = next;
                return None;
            }
        };
        Some(match late {
            Ok(Some(bytes)) => match splitter.feed(&bytes) {
                Some(events) if events.is_empty() => End::Silent,
                Some(events) => match sender.send(Ok(events.into())).await {
                    Ok(()) => End::Silent,
                    Err(_) => End::ClientLeft,
                },
                None => End::Broken(ENDLESS.to_owned()),
            },
            Ok(None) if splitter.has_partial() => End::Broken(TORN.to_owned()),
            Ok(None) => End::Whole,
            Err(failure) => End::Broken(failure.to_string()),
        })
    }

    fn log_resumed(&self, next: &Opened, splitter: &Splitter) {
        observe::interrupted("resumed");
        log::info!(
            "event=resumed request={} engine={} events={}",
            self.accepted.id(),
            next.engine.name,
            splitter.events()
        );
    }

    /// Relays the events of one engine; a patient one waits for them as long as the client does.
    async fn pump(
        &self,
        opened: &mut Opened,
        splitter: &mut Splitter,
        sender: &mpsc::Sender<Result<Bytes, Broken>>,
        patient: bool,
    ) -> End {
        let mut read = false;
        let mut last = self.pipeline.clock.now();
        loop {
            let left = self.accepted.deadline.since(self.pipeline.clock.now());
            let silence = if patient {
                left
            } else if read {
                self.pause() + PAUSE_SLACK
            } else {
                opened.place.plan.first_event * 2 + FIRST_SLACK
            };
            let next = tokio::select! {
                next = timeout(silence.min(left), opened.exchange.next()) => next,
                () = sender.closed() => return End::ClientLeft,
            };
            let bytes = match next {
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) if splitter.has_partial() => {
                    return End::Broken(TORN.to_owned());
                }
                Ok(Ok(None)) => return End::Whole,
                Ok(Err(failure)) => return End::Broken(failure.to_string()),
                Err(_) if silence >= left => return End::Expired,
                Err(_) => {
                    self.pipeline.dialer.reset(opened.engine.address);
                    return End::Silent;
                }
            };
            let Some(events) = splitter.feed(&bytes) else {
                return End::Broken(ENDLESS.to_owned());
            };
            if events.is_empty() {
                continue;
            }
            let now = self.pipeline.clock.now();
            if read && now.since(last) > self.pause() {
                self.log_pause(opened, now.since(last));
            }
            last = now;
            if !read {
                read = true;
                opened.place.has_read();
                self.log_first_event(opened.place.plan.first_event);
            }
            if sender.send(Ok(events.into())).await.is_err() {
                return End::ClientLeft;
            }
        }
    }

    /// Notes a run that failed, or may have.
    fn failed(&mut self, engine: &Entry, how: Observation, reason: &str) {
        self.log_send(engine, "failed", reason);
        self.judge_engine(engine, how);
        self.attempts.ran(engine.identity());
    }

    fn judge_engine(&self, engine: &Entry, how: Observation) {
        let service = &self.accepted.service;
        let identity = engine.identity();
        self.pipeline.placer.judge(service, identity, how);
    }

    fn log_placed(&self, engine: &Entry, place: &Place) {
        observe::placed(self.since_arrival(), place.plan.helpers.len());
        log::info!(
            "event=placed request={} engine={} prompt={} helpers={} waited_ms={} first_event_ms={}",
            self.accepted.id(),
            engine.name,
            self.prompt,
            place.plan.helpers.len(),
            self.since_arrival().as_millis(),
            place.plan.first_event.as_millis()
        );
    }

    fn log_first_event(&self, predicted: Duration) {
        observe::first_event(self.prompt, self.since_arrival(), predicted);
        log::info!(
            "event=first_event request={} after_ms={}",
            self.accepted.id(),
            self.since_arrival().as_millis()
        );
    }

    fn log_pause(&self, opened: &Opened, pause: Duration) {
        log::info!(
            "event=long_pause request={} engine={} pause_ms={} allowed_ms={}",
            self.accepted.id(),
            opened.engine.name,
            pause.as_millis(),
            self.pause().as_millis()
        );
    }

    fn since_arrival(&self) -> Duration {
        self.pipeline.clock.now().since(self.accepted.arrived)
    }

    fn log_send(&self, engine: &Entry, outcome: &'static str, reason: &str) {
        observe::sent(outcome);
        log::info!(
            "event=send request={} engine={} outcome={outcome} reason=\"{reason}\"",
            self.accepted.id(),
            engine.name
        );
    }
}
