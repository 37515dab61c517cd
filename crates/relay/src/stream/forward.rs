//! Relays the events of an engine's stream, and goes on at another engine where the route allows
//! it.

use std::sync::Arc;
use std::time::Duration;

use buffer::events::Reader;
use kernel::outlier::Observation;
use tokio::time::{sleep, timeout};

use super::{FIRST_EVENT_SLACK, Session, Upstream};
use crate::attempts::GiveUp;
use crate::body::Error;
use crate::broken;
use crate::detour;
use crate::observe;
use crate::path::Watch;
use crate::queue;
use crate::transport::Exchange;

/// Time beyond the allowed pause after which an engine counts as unresponsive; clients disconnect
/// after 2 s.
const PAUSE_SLACK: Duration = Duration::from_millis(1_200);

/// Logged reason for a stream that ended inside an event.
const PARTIAL_EVENT: &str = "the stream ended inside an event";
/// Logged reason for a stream that ended with its connection before any event.
const NO_EVENT: &str = "the connection ended before the first event";

/// How the relaying of one engine's stream ended.
enum End {
    Complete,
    ClientDisconnected,
    /// The request's deadline passed.
    Expired,
    /// No event arrived in time. The stream is still open.
    Unresponsive,
    /// No event arrived in time, and no engine could take over. The stream is still open.
    Unreplaced,
    /// The stream was interrupted or invalid, with the reason.
    Broken(String),
}

impl Session {
    /// Relays a stream to its end, from several engines where needed.
    pub(super) async fn relay(mut self, mut upstream: Upstream, sender: queue::Sender) {
        let resume_after = self.accepted.metadata.resume_after.as_deref();
        let mut reader = Reader::resume_after(resume_after, &self.pipeline.buffers);
        let resumable = self.accepted.route.resumable;
        let mut wait_until_deadline = !resumable;
        loop {
            let mut end = self
                .relay_events(&mut upstream, &mut reader, &sender, wait_until_deadline)
                .await;
            if matches!(end, End::Unresponsive) {
                self.record_failure(
                    &upstream.engine,
                    Observation::Unresponsive,
                    "no event in time",
                );
                match self
                    .find_replacement(&mut upstream, &mut reader, &sender)
                    .await
                {
                    Some(ended) => end = ended,
                    None => continue,
                }
                if matches!(end, End::Unreplaced) && self.pipeline.confirm_cut(&self.accepted).await
                {
                    drop(upstream);
                    return self.continue_elsewhere(reader, sender).await;
                }
                if matches!(end, End::Unresponsive | End::Unreplaced) {
                    wait_until_deadline = true;
                    continue;
                }
            }
            if matches!(end, End::Complete)
                && !upstream.exchange.is_framed()
                && broken::ended_with_endpoint(&self.pipeline, &upstream.engine).await
            {
                end = End::Broken(broken::ENDPOINT_GONE.to_owned());
            }
            let broke = matches!(end, End::Broken(_));
            let reason = match end {
                End::Complete => {
                    self.record_observation(&upstream.engine, Observation::Succeeded);
                    self.record_completion(&upstream, &reader);
                    upstream.exchange.finish();
                    return;
                }
                End::ClientDisconnected => return,
                End::Expired | End::Unresponsive | End::Unreplaced => {
                    GiveUp::Expired.as_str().to_owned()
                }
                End::Broken(reason) => reason,
            };
            reader.resume();
            if broke {
                self.record_break(&upstream, &reader).await;
            }
            let expired = self.pipeline.clock.now() >= self.accepted.deadline;
            self.record_failure(&upstream.engine, Observation::Failed, &reason);
            drop(upstream);
            let continued = if resumable && !expired {
                let resume_after = reader.last_id().map(str::to_owned);
                tokio::select! {
                    next = self.open(resume_after.as_deref()) => next.ok(),
                    () = sender.closed() => return,
                }
            } else {
                None
            };
            if continued.is_none() && resumable && self.pipeline.confirm_cut(&self.accepted).await {
                return self.continue_elsewhere(reader, sender).await;
            }
            let Some(next) = continued else {
                observe::count_interrupted_stream("broken_off");
                log::info!(
                    "event=broken_off request={} service={} prompt={} events={} after_ms={} reason=\"{reason}\"",
                    self.accepted.id(),
                    self.accepted.service,
                    self.prompt_tokens,
                    reader.events(),
                    self.elapsed().as_millis()
                );
                // Fails if the client has disconnected.
                let _ = sender.send(Err(Error::Incomplete)).await;
                return;
            };
            self.log_resumed(&next, &reader);
            upstream = next;
            upstream.events_before = reader.events();
            wait_until_deadline = false;
        }
    }

    /// Relays the rest of a resumable stream from other hosts.
    async fn continue_elsewhere(self, reader: Reader, sender: queue::Sender) {
        let pipeline = Arc::clone(&self.pipeline);
        let rest = detour::Rest::new(
            pipeline,
            self.accepted,
            self.attempts,
            self.format,
            reader,
            sender,
        );
        rest.run(None).await;
    }

    /// Looks for an engine to replace an unresponsive one.
    ///
    /// The unresponsive engine's stream stays open meanwhile. An event that arrives on it is
    /// relayed and ends the search.
    ///
    /// Returns `None` if another engine took over, and otherwise how the unresponsive engine's
    /// stream ended. [`End::Unresponsive`] means that this stream has not ended and remains in use.
    async fn find_replacement(
        &mut self,
        upstream: &mut Upstream,
        reader: &mut Reader,
        sender: &queue::Sender,
    ) -> Option<End> {
        let resume_after = reader.last_id().map(str::to_owned);
        let buffers = self.pipeline.buffers.clone();
        let opened = {
            let opening = self.open(resume_after.as_deref());
            tokio::pin!(opening);
            loop {
                let received = tokio::select! {
                    () = sender.closed() => return Some(End::ClientDisconnected),
                    received = upstream.exchange.next() => received,
                    opened = &mut opening => break opened,
                };
                let bytes = match received {
                    Ok(Some(bytes)) => bytes,
                    Ok(None) => return Some(end_of_body(&upstream.exchange, reader)),
                    Err(failure) => return Some(End::Broken(failure.to_string())),
                };
                match reader.feed(&bytes) {
                    // Only a whole event shows that the engine goes on.
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => {
                        let sent = queue::send(sender, &buffers, events).await;
                        return Some(match sent {
                            Ok(()) => End::Unresponsive,
                            Err(queue::Closed) => End::ClientDisconnected,
                        });
                    }
                    Err(defect) => return Some(End::Broken(defect.to_string())),
                }
            }
        };
        let Ok(next) = opened else {
            return Some(End::Unreplaced);
        };
        self.log_resumed(&next, reader);
        reader.resume();
        *upstream = next;
        upstream.events_before = reader.events();
        None
    }

    /// Records that a run broke.
    async fn record_break(&mut self, upstream: &Upstream, reader: &Reader) {
        let run = broken::Run {
            endpoint: &upstream.engine,
            began: upstream.began,
            events: reader.events() - upstream.events_before,
            answering: Some(upstream.placement.id()),
        };
        if broken::examine(&self.pipeline, &self.accepted, &run).await {
            self.record_observation(&upstream.engine, Observation::Gone);
            self.engine_crashed = true;
        }
    }

    /// Records that an engine has sent its answer to the end.
    fn record_completion(&self, upstream: &Upstream, reader: &Reader) {
        let events = reader.events() - upstream.events_before;
        self.accepted.log_completed(&upstream.engine, events);
        if events > 0 {
            let quarantine = &self.pipeline.quarantine;
            quarantine.record_completion(&self.accepted.suspects, upstream.began);
        }
    }

    fn log_resumed(&self, next: &Upstream, reader: &Reader) {
        observe::count_interrupted_stream("resumed");
        log::info!(
            "event=resumed request={} engine={} events={}",
            self.accepted.id(),
            next.engine.name,
            reader.events()
        );
    }

    /// Relays the events of one engine.
    ///
    /// With `wait_until_deadline`, the engine is not timed out before the request's deadline.
    async fn relay_events(
        &self,
        upstream: &mut Upstream,
        reader: &mut Reader,
        sender: &queue::Sender,
        wait_until_deadline: bool,
    ) -> End {
        let mut started = false;
        let mut watch = self.watch(upstream);
        let mut last_event = self.pipeline.clock.now();
        // Since when the engine owes an event. Waiting for a slow client does not count.
        let mut waiting_since = last_event;
        // Whether the engine's failure domain is in doubt since the last bytes.
        let mut is_doubted = false;
        loop {
            let remaining = self.accepted.deadline.since(self.pipeline.clock.now());
            let limit = if started {
                self.max_pause() + PAUSE_SLACK
            } else {
                upstream.placement.plan.first_event * 2 + FIRST_EVENT_SLACK
            };
            // Bytes that complete no event do not extend the time.
            let event_timeout = if wait_until_deadline {
                remaining
            } else {
                limit.saturating_sub(self.pipeline.clock.now().since(waiting_since))
            };
            let since_event = self.pipeline.clock.now().since(waiting_since);
            let next = tokio::select! {
                next = timeout(event_timeout.min(remaining), upstream.exchange.next()) => next,
                () = sender.closed() => return End::ClientDisconnected,
                () = sleep(self.max_pause().saturating_sub(since_event)), if started && !is_doubted => {
                    self.pipeline.links.doubt(&upstream.engine.domain);
                    is_doubted = true;
                    continue;
                }
            };
            is_doubted = false;
            let bytes = match next {
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) => return end_of_body(&upstream.exchange, reader),
                Ok(Err(failure)) => return End::Broken(failure.to_string()),
                Err(_) if event_timeout >= remaining => return End::Expired,
                Err(_) => {
                    self.pipeline.dialer.close_idle(upstream.engine.address);
                    return End::Unresponsive;
                }
            };
            let events = match reader.feed(&bytes) {
                Ok(events) => events,
                Err(defect) => return End::Broken(defect.to_string()),
            };
            if events.is_empty() {
                continue;
            }
            let now = self.pipeline.clock.now();
            if started && now.since(last_event) > self.max_pause() {
                self.log_pause(upstream, now.since(last_event));
            }
            last_event = now;
            if started {
                watch.record_event(now.since(waiting_since));
            } else {
                started = true;
                let predicted = upstream.placement.plan.first_event;
                watch.record_first(now.since(upstream.sent_at), predicted);
                let elapsed = now.since(upstream.sent_at);
                upstream.placement.record_first_event(elapsed);
                self.log_first_event(upstream.placement.plan.first_event);
            }
            let sent = queue::send(sender, &self.pipeline.buffers, events).await;
            if sent.is_err() {
                return End::ClientDisconnected;
            }
            waiting_since = self.pipeline.clock.now();
        }
    }

    fn watch(&self, upstream: &Upstream) -> Watch {
        let paths = Arc::clone(&self.pipeline.paths);
        let pass = upstream.placement.plan.pass;
        Watch::new(
            paths,
            upstream.engine.domain.clone(),
            pass,
            self.max_pause(),
        )
    }

    fn log_first_event(&self, predicted: Duration) {
        observe::record_first_event(self.prompt_tokens, self.elapsed(), predicted);
        log::info!(
            "event=first_event request={} after_ms={}",
            self.accepted.id(),
            self.elapsed().as_millis()
        );
    }

    fn log_pause(&self, upstream: &Upstream, pause: Duration) {
        log::info!(
            "event=long_pause request={} engine={} pause_ms={} allowed_ms={}",
            self.accepted.id(),
            upstream.engine.name,
            pause.as_millis(),
            self.max_pause().as_millis()
        );
    }
}

/// Returns whether a body that has ended regularly is the whole answer.
///
/// The end of its connection is the regular end of a body without a length. If no event came before
/// it, the engine had not begun.
fn end_of_body(exchange: &Exchange, reader: &Reader) -> End {
    let has_answer = reader.events() > 0 || reader.last_id().is_some();
    if reader.has_partial() {
        End::Broken(PARTIAL_EVENT.to_owned())
    } else if has_answer || exchange.is_framed() {
        End::Complete
    } else {
        End::Broken(NO_EVENT.to_owned())
    }
}
