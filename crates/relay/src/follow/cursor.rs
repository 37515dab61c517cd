//! Reads one topic of the store, and goes on after reads that fail or get no response.

use std::time::Duration;

use kernel::clock::Instant;
use kernel::position::{Position, Reading};
use kernel::read::{RESPONSE_TIMEOUT, Retry, Step, Watch};
use kernel::turn::Turn;
use tokio::time::{sleep, timeout};
use wire::placement::Topic as Shared;

use super::Follower;
use crate::adapter::{Batch, Error, Progress, Topic};
use crate::observe;
use crate::report;

/// Read position of one topic, and since when reads of it fail.
pub(super) struct Cursor {
    pub topic: Topic,
    /// Name of the topic in the reports of hosts.
    pub shared: Shared,
    pub position: Position,
    /// When this host must read the topic, unless another one reports a read.
    pub turn: Turn,
    pub failing_since: Option<Instant>,
    /// Whether another host has a record that this host should have by now.
    pub is_behind: bool,
    retry: Retry,
}

impl Cursor {
    pub fn new(topic: Topic, shared: Shared, interval: Duration) -> Self {
        Self {
            topic,
            shared,
            position: Position::default(),
            turn: Turn::new(interval),
            failing_since: None,
            is_behind: false,
            retry: Retry::default(),
        }
    }
}

impl Follower {
    /// Reads the changes, or the newest record of each key if the position is unknown.
    ///
    /// Returns the batch and how it must be applied, or `None` after a failure or if the store has
    /// returned from an older copy.
    pub(super) async fn read(
        &self,
        cursor: &mut Cursor,
        wait: Duration,
    ) -> Option<(Batch, Reading)> {
        let from = cursor.position.next();
        let sent_at = self.clock.now();
        let mut watch = match from {
            None => Watch::newest(sent_at, &cursor.retry),
            Some(_) => Watch::changes(sent_at, wait),
        };
        let (topic, progress) = (cursor.topic, Progress::default());
        let call = async {
            match from {
                None => self.store.read_newest(topic, &progress).await,
                Some(from) => self.store.read_changes(topic, from, wait, &progress).await,
            }
        };
        match self.watch(call, &progress, &mut watch).await {
            Ok(batch) => {
                observe::count_store_call(topic.as_str(), "read");
                cursor.retry = Retry::default();
                let reading = cursor.position.advance(batch.era, batch.next);
                if reading == Reading::Discard {
                    self.handle_restore(topic, batch.era);
                    return None;
                }
                if cursor.failing_since.take().is_some() {
                    log::info!("event=store_regained topic={}", topic.as_str());
                }
                // A read that has waited in vain tells that there was nothing new until its end.
                let waited = if batch.records.is_empty() {
                    wait
                } else {
                    Duration::ZERO
                };
                let current_at = (sent_at + waited).min(self.clock.now());
                cursor.turn.confirm(current_at);
                if let (Some(from), Reading::Changes) = (from, reading) {
                    let age = self.clock.now().since(current_at);
                    let report = report::build(cursor.shared, from, &batch, age);
                    self.hosts.report(report).await;
                }
                Some((batch, reading))
            }
            Err(Error::Truncated) => {
                log::info!("event=truncated topic={}", topic.as_str());
                cursor.position.reset();
                None
            }
            Err(error) => {
                observe::count_store_call(topic.as_str(), "failed");
                let now = self.clock.now();
                if cursor.failing_since.is_none() {
                    let topic = topic.as_str();
                    log::warn!("event=store_lost topic={topic} error=\"{error}\"");
                    cursor.failing_since = Some(now);
                }
                sleep(cursor.retry.record_failure(&watch, now)).await;
                None
            }
        }
    }

    /// Waits for the response to `call` for as long as `watch` allows. Closes the idle connections to the
    /// store if the call is given up.
    pub(super) async fn watch<T>(
        &self,
        call: impl Future<Output = Result<T, Error>>,
        progress: &Progress,
        watch: &mut Watch,
    ) -> Result<T, Error> {
        tokio::pin!(call);
        loop {
            let now = self.clock.now();
            match watch.step(now) {
                Step::Wait(until) => tokio::select! {
                    biased;
                    response = &mut call => return response,
                    () = progress.wait() => watch.record_bytes(self.clock.now()),
                    () = sleep(until.since(now)) => {}
                },
                Step::Probe => tokio::select! {
                    biased;
                    response = &mut call => return response,
                    () = progress.wait() => watch.record_bytes(self.clock.now()),
                    responded = self.probe_store() => watch.record_probe(responded, self.clock.now()),
                },
                Step::GiveUp => {
                    self.store.close_idle();
                    return Err(Error::Uncertain("no response in time".to_owned()));
                }
            }
        }
    }

    /// Returns whether the store responds to a small call.
    async fn probe_store(&self) -> bool {
        let responded = matches!(
            timeout(RESPONSE_TIMEOUT, self.store.probe()).await,
            Ok(Ok(()))
        );
        observe::count_store_call("probe", if responded { "read" } else { "failed" });
        if !responded {
            self.store.close_idle();
        }
        responded
    }

    /// Called by the first reader that sees another era of the store.
    fn handle_restore(&self, topic: Topic, era: Option<u64>) {
        let topic = topic.as_str();
        observe::count_restore(topic);
        log::warn!("event=store_restored topic={topic} era={era:?}");
        self.restored.notify_one();
    }
}
