//! Relays event streams from engines, and resumes them at another engine where the route allows it.

mod forward;
mod outcome;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, response};
use kernel::catalogue::{Entry, Identity, Profile};
use kernel::clock::Instant;
use kernel::outlier::Observation;
use kernel::place::Request;
use kernel::place::value::Origin;
use shutdown::Stage;
use tokio::time::timeout;

use crate::accepted::{self, Accepted};
use crate::adapter::{Forwarding, ResponseClass};
use crate::attempts::{Attempts, GiveUp};
use crate::body::Body;
use crate::broken;
use crate::headers::{Format, end_to_end};
use crate::pipeline::Pipeline;
use crate::placer::Placement;
use crate::plain::{
    MISMATCHED_RESPONSE, NO_CONNECTION, UNPROVEN_REFUSAL, UNSIGNED_RESPONSE, build_response,
};
use crate::quarantine::Admission;
use crate::queue;
use crate::reservation::{self, Reservations};
use crate::transport::{Exchange, Failure};

/// Time beyond twice the predicted time to the first event after which an engine counts as
/// unresponsive.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(1_200);
/// Maximum body size of an engine's error response that is forwarded, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1_024;
/// Logged reason for a resumed stream that is no part of the response that has begun.
const OTHER_FORMAT: &str = "the response has another format than the one that has begun";
/// Allowed pause between events if the route sets none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

/// An open stream from an engine, with its placement and reservations.
struct Upstream {
    exchange: Exchange,
    placement: Placement,
    engine: Entry,
    /// Time at which the request was sent.
    sent_at: Instant,
    /// Time at which the head of the response arrived: the engine has begun the answer.
    began: Instant,
    /// Number of events that earlier engines delivered.
    events_before: u64,
    _reservations: Reservations,
}

/// Reason why no stream could be opened.
enum OpenError {
    /// An engine's own error response, to be forwarded.
    Failed(response::Parts, Bytes),
    GiveUp(GiveUp),
}

/// One client stream, served by one or more engines in turn.
struct Session {
    pipeline: Arc<Pipeline>,
    accepted: Accepted,
    attempts: Attempts,
    /// The decision of the quarantine, which may change before each attempt.
    admission: Admission,
    /// Whether an engine crashed since then.
    engine_crashed: bool,
    prompt_tokens: u64,
    answer_tokens: u64,
    /// Format of the response, once the client has received its head.
    format: Option<Format>,
}

/// Serves one stream request.
pub(crate) async fn run(
    pipeline: Arc<Pipeline>,
    accepted: Accepted,
    profile: &Profile,
    attempts: &mut Attempts,
) -> Response<Body> {
    let (prompt_tokens, answer_tokens) = accepted
        .metadata
        .tokens
        .unwrap_or((0, u64::from(profile.stride)));
    let admission = match pipeline.admit(&accepted, attempts).await {
        Ok(admission) => admission,
        Err(give_up) => {
            accepted.log_give_up(attempts, give_up, pipeline.clock.now());
            return attempts.final_response(give_up);
        }
    };
    let mut session = Session {
        attempts: attempts.clone(),
        admission,
        engine_crashed: false,
        pipeline,
        accepted,
        prompt_tokens,
        answer_tokens,
        format: None,
    };
    let resume_after = session.accepted.metadata.resume_after.clone();
    let opened = session.open(resume_after.as_deref()).await;
    attempts.clone_from(&session.attempts);
    match opened {
        Ok(upstream) => {
            attempts.record_run(upstream.engine.identity());
            session.respond(upstream)
        }
        Err(OpenError::Failed(head, body)) => build_response(&head, body),
        Err(OpenError::GiveUp(give_up)) => {
            let (accepted, pipeline) = (&session.accepted, &session.pipeline);
            let detoured = match give_up {
                GiveUp::Exhausted => pipeline.detour_at_end(accepted, attempts).await,
                _ => None,
            };
            if let Some(response) = detoured {
                return response;
            }
            accepted.log_give_up(attempts, give_up, pipeline.clock.now());
            attempts.final_response(give_up)
        }
    }
}

impl Session {
    /// Forwards the head of the first engine's response and spawns a task that relays the events.
    fn respond(mut self, upstream: Upstream) -> Response<Body> {
        self.format = Some(Format::of(&upstream.exchange.head));
        if self.accepted.origin == accepted::Origin::Host {
            // The host that lent the attempts has got back what is left, and resumes the stream itself.
            self.attempts.exhaust();
        }
        let (sender, receiver) = queue::open();
        let mut response = Response::new(Body::Events(receiver));
        *response.status_mut() = upstream.exchange.head.status;
        *response.headers_mut() = end_to_end(&upstream.exchange.head.headers);
        tokio::spawn(self.relay(upstream, sender));
        response
    }

    /// Places the request and sends it, with retries, until an engine starts a successful response.
    async fn open(&mut self, resume_after: Option<&str>) -> Result<Upstream, OpenError> {
        let mut failure = None;
        let give_up = loop {
            if !self.attempts.allowed() || self.may_detour() {
                break GiveUp::Exhausted;
            }
            // Over links that are lost, an attempt would be wasted.
            if self.attempts.has_failed() && self.pipeline.confirm_cut(&self.accepted).await {
                break GiveUp::Exhausted;
            }
            if std::mem::take(&mut self.engine_crashed) {
                match self.pipeline.admit(&self.accepted, &self.attempts).await {
                    Ok(admission) => self.admission = admission,
                    Err(give_up) => break give_up,
                }
            }
            let suspects = &self.accepted.suspects;
            let quarantine = &self.pipeline.quarantine;
            let placed = tokio::select! {
                biased;
                rest = quarantine.wait_until_refused(suspects, &self.admission) => {
                    quarantine.log_refusal(self.accepted.id(), suspects);
                    Err(GiveUp::Quarantined(rest))
                }
                () = self.wait_for_detour() => Err(GiveUp::Exhausted),
                () = self.wait_for_shutdown() => Err(GiveUp::ShuttingDown),
                placed = self.place() => placed,
            };
            let placement = match placed {
                Ok(placement) => placement,
                Err(give_up) => break give_up,
            };
            match self.send(placement, resume_after).await {
                Ok(upstream) => return Ok(upstream),
                Err(Some(failed)) => failure = Some(failed),
                Err(None) => {}
            }
        };
        Err(match failure {
            Some((head, body)) => OpenError::Failed(head, body),
            None => OpenError::GiveUp(give_up),
        })
    }

    /// Whether another host may serve the request instead of this one.
    fn may_detour(&self) -> bool {
        self.pipeline.may_detour(&self.accepted)
    }

    /// Returns once [`Session::may_detour`], if ever.
    async fn wait_for_detour(&self) {
        self.pipeline.links.wait_until_cut().await;
        if !self.may_detour() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns when the host no longer begins answers, unless this one has begun.
    async fn wait_for_shutdown(&self) {
        if self.format.is_some() {
            std::future::pending::<()>().await;
        }
        self.pipeline.shutdown.wait_until(Stage::Closing).await;
    }

    async fn place(&self) -> Result<Placement, GiveUp> {
        let accepted = &self.accepted;
        let remaining = accepted.deadline.since(self.pipeline.clock.now());
        let request = Request {
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            due: accepted.arrived + accepted.route.objective.saturating_sub(accepted.prior_wait),
            deadline: accepted.deadline,
            pause: self.max_pause(),
            priority: accepted.priority,
            answer_started: self.format.is_some(),
            excluded: self.attempts.excluded().to_vec(),
            origin: Origin {
                kind: accepted.route.name.clone(),
                workspace: accepted.workspace.clone(),
                prior_wait: accepted.prior_wait,
            },
        };
        let placing = self.pipeline.placer.place(&accepted.service, request);
        match timeout(remaining, placing).await {
            Ok(Ok(placement)) => Ok(placement),
            Ok(Err(retry_after)) => {
                let evacuated = self.pipeline.evacuated(&accepted.service);
                Err(evacuated.unwrap_or(GiveUp::Refused(retry_after)))
            }
            Err(_) => Err(GiveUp::Expired),
        }
    }

    fn max_pause(&self) -> Duration {
        self.accepted.route.pause.unwrap_or(DEFAULT_PAUSE)
    }

    /// Makes the reservations of a placement and sends the request to its engine.
    ///
    /// The error is the engine's own error response, if there is one.
    async fn send(
        &mut self,
        placement: Placement,
        resume_after: Option<&str>,
    ) -> Result<Upstream, Option<(response::Parts, Bytes)>> {
        let pipeline = Arc::clone(&self.pipeline);
        let service = &self.accepted.service;
        let Some(engine) = pipeline.registry.endpoint(service, placement.plan.primary) else {
            self.attempts.record_unusable(placement.plan.primary);
            return Err(None);
        };
        let reserved = reservation::reserve_all(&pipeline, service, &placement).await;
        let (reservations, helpers) = match reserved {
            Ok(made) => made,
            Err(at_fault) => {
                self.attempts.record_unusable(at_fault);
                return Err(None);
            }
        };
        let suspects = &self.accepted.suspects;
        if pipeline
            .quarantine
            .recheck(suspects, &self.admission)
            .is_err()
        {
            // The next attempt is refused before it is placed.
            return Err(None);
        }
        let id = self.accepted.id().to_owned();
        let Some(draw) = self.attempts.try_start(&pipeline.budgets, service, &id) else {
            self.attempts.exhaust();
            return Err(None);
        };
        let sent_at = pipeline.clock.now();
        let remaining = self.accepted.deadline.since(sent_at);
        self.log_placed(&engine, &placement);
        self.accepted.log_repeat(&engine, &self.attempts);
        let accepted = &self.accepted;
        let request = || {
            let forwarding = Forwarding {
                endpoint: &engine.name,
                workspace: accepted.workspace.as_ref(),
                remaining: accepted.deadline.since(pipeline.clock.now()),
                resume_after,
                helpers: &helpers,
                urgency: pipeline.placer.urgency(service, accepted.priority),
            };
            accepted.outgoing(&*pipeline.dialect, &forwarding)
        };
        let limit = if self.attempts.allowed_after_run() {
            remaining.min(placement.plan.first_event * 2 + FIRST_EVENT_SLACK)
        } else {
            remaining
        };
        let helping = placement.plan.helpers.iter().map(|part| part.engine);
        let used: Vec<_> = helping.chain([engine.identity()]).collect();
        let is_sent = draw.sent_flag();
        let id = accepted.metadata.id.as_deref();
        let sending = pipeline
            .dialer
            .send_if(engine.address, id, request, is_sent, || {
                !used
                    .iter()
                    .any(|engine| pipeline.registry.is_withheld(*engine))
                    && draw.take()
                    && pipeline
                        .quarantine
                        .begin(accepted.id(), suspects, &self.admission)
            });
        let sent = timeout(limit, sending).await;
        let is_unsent = match &sent {
            Ok(Ok(_) | Err(Failure::Uncertain(_))) => false,
            Ok(Err(_)) => true,
            Err(_) => !is_sent.load(Ordering::Relaxed),
        };
        // Returns the retry to the budget unless the request may have been sent.
        drop(draw);
        match sent {
            Ok(Ok(exchange)) => {
                self.pipeline
                    .handle_notice(&engine, &exchange.head, sent_at);
                self.pipeline
                    .record_answer(&self.accepted, &engine, &exchange);
                self.check_head(exchange, placement, engine, reservations, sent_at)
                    .await
            }
            Ok(Err(failure)) => {
                self.handle_failure(&engine, &used, failure, sent_at).await;
                Err(None)
            }
            Err(_) if is_unsent => {
                self.record_unsent(&engine, Observation::Unresponsive, NO_CONNECTION);
                Err(None)
            }
            Err(_) => {
                pipeline.dialer.close_idle(engine.address);
                self.record_failure(&engine, Observation::Unresponsive, "no answer in time");
                Err(None)
            }
        }
    }

    /// Records that the request could not be sent to `engine`, or that there was no whole answer. The plan has the
    /// engines `used`.
    async fn handle_failure(
        &mut self,
        engine: &Entry,
        used: &[Identity],
        failure: Failure,
        sent_at: Instant,
    ) {
        match failure {
            Failure::Unsent(reason) => {
                self.record_unsent(engine, Observation::Unresponsive, &reason);
            }
            Failure::Refused(reason) => {
                self.record_unsent(engine, Observation::Gone, &reason);
            }
            Failure::Withheld => {
                self.log_send(engine, "withheld", "");
                let registry = &self.pipeline.registry;
                let withdrawn = used.iter().find(|engine| registry.is_withheld(**engine));
                let withdrawn = withdrawn.copied();
                self.attempts
                    .record_unsent(withdrawn.unwrap_or_else(|| engine.identity()));
            }
            Failure::Uncertain(reason) => {
                self.record_failure(engine, Observation::Failed, &reason);
                let run = broken::Run {
                    endpoint: engine,
                    began: sent_at,
                    events: 0,
                    answering: None,
                };
                if broken::examine(&self.pipeline, &self.accepted, &run).await {
                    self.record_observation(engine, Observation::Gone);
                    self.engine_crashed = true;
                }
            }
        }
    }

    /// Checks the head of an engine's response.
    async fn check_head(
        &mut self,
        exchange: Exchange,
        placement: Placement,
        engine: Entry,
        reservations: Reservations,
        sent_at: Instant,
    ) -> Result<Upstream, Option<(response::Parts, Bytes)>> {
        let id = self.accepted.metadata.id.as_deref();
        let head = &exchange.head;
        let dialect = &self.pipeline.dialect;
        let class = dialect.classify_response(id, head.status, &head.headers, exchange.is_reused());
        match class {
            ResponseClass::Mismatched => {
                let reason = format!("{MISMATCHED_RESPONSE}: {}", exchange.describe());
                self.record_failure(&engine, Observation::Failed, &reason);
                return Err(None);
            }
            ResponseClass::Unproven => {
                self.record_failure(&engine, Observation::Failed, UNPROVEN_REFUSAL);
                return Err(None);
            }
            ResponseClass::Unsigned => {
                self.record_failure(&engine, Observation::Failed, UNSIGNED_RESPONSE);
                return Err(None);
            }
            ResponseClass::NotRun(at_fault) => {
                let (registry, service) = (&self.pipeline.registry, &self.accepted.service);
                let named = at_fault.and_then(|address| registry.endpoint_at(service, address));
                self.log_send(&engine, "not_run", &exchange.describe());
                let at_fault = named.unwrap_or_else(|| engine.identity());
                self.attempts.record_rejected(at_fault);
                self.exclude_unreached(&engine, at_fault);
                self.end_probe();
                return Err(None);
            }
            ResponseClass::Valid => {}
        }
        if !head.status.is_success() {
            self.record_failure(&engine, Observation::Failed, head.status.as_str());
            let collected =
                timeout(FIRST_EVENT_SLACK, exchange.collect(MAX_ERROR_BODY_BYTES)).await;
            return Err(collected.ok().and_then(Result::ok));
        }
        let started = self.format.as_ref();
        if started.is_some_and(|format| *format != Format::of(head)) {
            self.record_failure(&engine, Observation::Failed, OTHER_FORMAT);
            return Err(None);
        }
        Ok(Upstream {
            exchange,
            placement,
            engine,
            sent_at,
            began: self.pipeline.clock.now(),
            events_before: 0,
            _reservations: reservations,
        })
    }

    /// Excludes the failure domain of a helper that the engine `primary` could not use, if it is not
    /// the engine's own. While the links between the two domains are down, each other helper there
    /// would cost one more rejection.
    fn exclude_unreached(&mut self, primary: &Entry, at_fault: Identity) {
        let registry = &self.pipeline.registry;
        let service = &self.accepted.service;
        let Some(helper) = registry.endpoint(service, at_fault) else {
            return;
        };
        if helper.domain != primary.domain {
            let mut entries = registry.registered(service);
            entries.retain(|entry| entry.domain == helper.domain);
            self.attempts.exclude(entries.iter().map(Entry::identity));
        }
    }
}
