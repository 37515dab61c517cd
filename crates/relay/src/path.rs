//! Measures the paths to the failure domains for the choice of endpoints.

use std::sync::Arc;
use std::time::Duration;

use kernel::catalogue::Delay;
use kernel::name::{Domain, Host};
use kernel::place::path::{self, LATE};
use parking_lot::Mutex;

use crate::clock::Clock;
use crate::observe;
use crate::transport::Exchange;

/// Share of the allowed pause that an engine may use for the prefill of other requests. Longer
/// pauses have another cause.
const ENGINE_PAUSE_SHARE: f64 = 0.8;

/// Time beyond the predicted one up to which a late event counts as the path's: a packet that is
/// lost twice arrives within it. Engines that stall take longer.
const LATEST: Duration = Duration::from_secs(1);

/// The estimates of all paths of this host.
pub struct Paths {
    clock: Clock,
    current: Mutex<Arc<path::Paths>>,
}

impl Paths {
    /// Creates the paths of `host` in `domain` without samples.
    #[must_use]
    pub fn new(clock: Clock, domain: Domain, host: &Host) -> Self {
        Self {
            clock,
            current: Mutex::new(Arc::new(path::Paths::new(domain, host))),
        }
    }

    /// Returns the current estimates.
    #[must_use]
    pub fn current(&self) -> Arc<path::Paths> {
        Arc::clone(&self.current.lock())
    }

    /// Replaces the published delays between failure domains.
    pub fn set_delays<'a>(&self, delays: impl Iterator<Item = &'a Delay>) {
        Arc::make_mut(&mut self.current.lock()).set_delays(delays);
    }

    /// Records the time to open the connection of an exchange with an endpoint in `domain`, if one
    /// was opened for it.
    pub fn record_exchange(&self, domain: &Domain, exchange: &Exchange) {
        if let Some(time) = exchange.opening() {
            let now = self.clock.now();
            Arc::make_mut(&mut self.current.lock()).record_opening(domain, time, now);
        }
    }

    /// Sets the gauges of all domains.
    pub fn publish(&self) {
        let now = self.clock.now();
        let current = self.current();
        for domain in current.domains() {
            observe::set_path(domain, &current.estimate(domain, now));
        }
    }
}

/// Counts the events of one stream and records them when it is dropped.
pub(crate) struct Watch {
    paths: Arc<Paths>,
    domain: Domain,
    /// Predicted time between two events; `None` if the engine may pause longer than a lost packet
    /// delays an event.
    pass: Option<Duration>,
    events: u64,
    late: bool,
}

impl Watch {
    /// Starts to count the events of a stream from `domain`, which may pause for `pause` and has
    /// the predicted time `pass` between two events.
    pub fn new(paths: Arc<Paths>, domain: Domain, pass: Duration, pause: Duration) -> Self {
        let recognizable = pass + LATE >= pause.mul_f64(ENGINE_PAUSE_SHARE);
        Self {
            paths,
            domain,
            pass: recognizable.then_some(pass),
            events: 0,
            late: false,
        }
    }

    /// Records the first event, which was due after `predicted` and arrived after `elapsed`.
    pub fn record_first(&mut self, elapsed: Duration, predicted: Duration) {
        self.events += 1;
        self.late |= is_late(elapsed, predicted);
    }

    /// Records a later event that arrived after `pause`.
    pub fn record_event(&mut self, pause: Duration) {
        self.events += 1;
        self.late |= self.pass.is_some_and(|pass| is_late(pause, pass));
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.events == 0 || self.pass.is_none() {
            return;
        }
        if self.late {
            observe::count_late_stream(&self.domain);
        }
        let now = self.paths.clock.now();
        let mut current = self.paths.current.lock();
        Arc::make_mut(&mut current).record_events(&self.domain, self.events, self.late, now);
    }
}

/// Returns whether an event was as late as one whose packet was lost.
fn is_late(elapsed: Duration, predicted: Duration) -> bool {
    (predicted + LATE..predicted + LATEST).contains(&elapsed)
}
