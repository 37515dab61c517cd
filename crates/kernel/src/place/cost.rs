//! What a request costs the other requests on an engine, in milliseconds of delay.
//!
//! A stream is latency-sensitive if its events may pause for at most `SENSITIVE_PAUSE`, and
//! latency-tolerant otherwise.

use std::time::Duration;

use super::engine::Engine;

/// Maximum allowed pause of latency-sensitive streams, which are placed together on engines.
const SENSITIVE_PAUSE: Duration = Duration::from_millis(300);
/// Predicted time to the first event up to which more latency-sensitive streams are packed on an
/// engine at no cost.
const PACKED_FIRST_EVENT_MS: f64 = 170.0;
/// Weight of the fill order for latency-sensitive streams, which keeps the other engines free.
const SENSITIVE_FILL_ORDER_MS: f64 = 100.0;
/// Cost of placing a latency-sensitive stream on an engine without such streams.
const NEW_ENGINE_MS: f64 = 100.0;
/// Cost of placing a latency-tolerant stream or its prefill on an engine with latency-sensitive
/// streams, or a latency-sensitive stream on an engine with only latency-tolerant ones.
const MIXING_MS: f64 = 400.0;
/// Cost of an engine that names a limit: it is used if no other engine has room.
const LIMITED_MS: f64 = 1_000.0;
/// Cost of a cold engine, beyond its longer times: engines that are warm come first while they have
/// room. Small against the cost of mixing, so that warm engines are not overloaded when all engines
/// of a failure domain are cold.
const COLD_MS: f64 = 100.0;
/// Weight of the fill order for latency-tolerant streams, which fill the engines in reverse order.
const TOLERANT_FILL_ORDER_MS: f64 = 30.0;

/// An engine that would read a prompt or a part of one.
pub(super) struct Reading<'a> {
    pub engine: &'a Engine,
    /// Prefill that the engine has to do before.
    pub backlog_ms: f64,
    /// Time of a pass without prefill.
    pub pass_ms: f64,
    /// Predicted time to the first event.
    pub event_ms: f64,
    pub is_cold: bool,
}

impl Reading<'_> {
    /// Returns the cost of a request whose events may `pause` for so long; the engine with the lowest
    /// cost is used.
    pub fn cost(&self, pause: Duration) -> f64 {
        let mut cost = if pause <= SENSITIVE_PAUSE {
            self.sensitive_cost()
        } else {
            self.tolerant_cost()
        };
        if self.engine.pacer.limit().is_some() {
            cost += LIMITED_MS;
        }
        if self.is_cold {
            cost += COLD_MS;
        }
        cost
    }

    fn has_sensitive(&self) -> bool {
        let shortest = self.engine.shortest_pause();
        shortest.is_some_and(|pause| pause <= SENSITIVE_PAUSE)
    }

    /// Packs latency-sensitive streams on few engines while their first events are early enough.
    fn sensitive_cost(&self) -> f64 {
        let excess = (self.event_ms - PACKED_FIRST_EVENT_MS).max(0.0);
        let new_engine = match (self.has_sensitive(), self.engine.decoding()) {
            (true, _) => 0.0,
            (false, 0) => NEW_ENGINE_MS,
            (false, _) => NEW_ENGINE_MS + MIXING_MS,
        };
        excess + new_engine + self.engine.fill_order * SENSITIVE_FILL_ORDER_MS
    }

    fn tolerant_cost(&self) -> f64 {
        let mixing = if self.has_sensitive() { MIXING_MS } else { 0.0 };
        let fill_order = (1.0 - self.engine.fill_order) * TOLERANT_FILL_ORDER_MS;
        self.backlog_ms + self.pass_ms + mixing + fill_order
    }
}
