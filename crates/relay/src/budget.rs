//! This host's share of the retry budget.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock::Instant;
use kernel::fleet::Fleet;
use kernel::name::Service;
use kernel::retry::{Division, Share};
use parking_lot::Mutex;

use crate::clock::Clock;
use crate::observe;
use crate::settings::Retry;

/// A retry budget for each service.
///
/// Each host has a part, so that all hosts together stay within the operator's limit even when they
/// cannot reach each other.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    floor: f64,
    window: Duration,
    clock: Clock,
    fleet: Arc<Mutex<Fleet>>,
    services: Mutex<HashMap<Service, Share>>,
}

impl Budgets {
    /// Creates budgets with the limits in `retry`, which the hosts of `fleet` share.
    #[must_use]
    pub fn new(retry: &Retry, fleet: Arc<Mutex<Fleet>>, clock: Clock) -> Self {
        Self {
            ratio: retry.ratio,
            floor: retry.floor,
            window: retry.window(),
            clock,
            fleet,
            services: Mutex::default(),
        }
    }

    /// Calls `change` with the budget of a service.
    fn update<T>(&self, service: &Service, change: impl FnOnce(&mut Share) -> T) -> T {
        let mut services = self.services.lock();
        if let Some(budget) = services.get_mut(service) {
            return change(budget);
        }
        let budget = services
            .entry(service.clone())
            .or_insert_with(|| Share::new(self.ratio, self.window));
        change(budget)
    }

    fn division(&self, now: Instant) -> Division {
        Division::new(&self.fleet.lock(), self.floor, now)
    }

    /// Credits the budget of a service for a client's request.
    pub fn deposit(&self, service: &Service) {
        let division = self.division(self.clock.now());
        self.update(service, |budget| budget.deposit(division));
    }

    /// Withdraws one retry for a request, or returns false when none is left.
    pub fn withdraw(&self, service: &Service, request: &str) -> bool {
        let now = self.clock.now();
        let division = self.division(now);
        let allowed = self.update(service, |budget| budget.withdraw(division, now));
        let outcome = if allowed { "allowed" } else { "withheld" };
        observe::count_retry(service, outcome);
        log::info!(
            "event=retry request={request} service={service} outcome={outcome} saved={:.1} floor={:.1}",
            division.saved,
            division.floor
        );
        allowed
    }
}
