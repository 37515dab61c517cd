//! Records and logs what became of the attempts of a stream.

use std::time::Duration;

use kernel::catalogue::Entry;
use kernel::outlier::Observation;

use super::Session;
use crate::observe;
use crate::placer::Placement;

impl Session {
    /// Records an attempt of which nothing was sent.
    pub(super) fn record_unsent(&mut self, engine: &Entry, observation: Observation, reason: &str) {
        self.log_send(engine, "unsent", reason);
        self.record_observation(engine, observation);
        self.attempts.record_unsent(engine.identity());
    }

    /// Records an attempt that ran, or may have run, and failed.
    pub(super) fn record_failure(
        &mut self,
        engine: &Entry,
        observation: Observation,
        reason: &str,
    ) {
        self.log_send(engine, "failed", reason);
        self.record_observation(engine, observation);
        self.attempts.record_run(engine.identity());
        self.end_probe();
    }

    /// A request that tests what is quarantined is sent to one engine only.
    pub(super) fn end_probe(&mut self) {
        if self.admission.is_probe() {
            self.attempts.exhaust();
        }
    }

    pub(super) fn record_observation(&self, engine: &Entry, observation: Observation) {
        if observation != Observation::Succeeded {
            self.pipeline.links.suspect();
            if observation == Observation::Unresponsive {
                self.pipeline.links.doubt(&engine.domain);
            }
            if self.pipeline.links.is_cut() {
                // Failures of a host without links say nothing about the engine.
                return;
            }
        }
        let service = &self.accepted.service;
        let identity = engine.identity();
        self.pipeline
            .placer
            .record_observation(service, identity, observation);
    }

    pub(super) fn log_placed(&self, engine: &Entry, placement: &Placement) {
        observe::record_placement(self.elapsed(), placement.plan.helpers.len());
        log::info!(
            "event=placed request={} engine={} prompt={} segments={} helpers={} waited_ms={} first_event_ms={}",
            self.accepted.id(),
            engine.name,
            self.prompt_tokens,
            self.accepted.segments(),
            placement.plan.helpers.len(),
            self.elapsed().as_millis(),
            placement.plan.first_event.as_millis()
        );
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.pipeline.clock.now().since(self.accepted.arrived)
    }

    pub(super) fn log_send(&self, engine: &Entry, outcome: &'static str, reason: &str) {
        observe::count_failed_send(outcome);
        log::info!(
            "event=send request={} engine={} outcome={outcome} reason=\"{reason}\"",
            self.accepted.id(),
            engine.name
        );
    }
}
