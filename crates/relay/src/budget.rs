//! This host's share of the retry budget.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::fleet::Fleet;
use kernel::name::Service;
use kernel::retry::Window;
use parking_lot::Mutex;

use crate::clock::Clock;
use crate::observe;
use crate::settings::Retry;

/// A retry budget for each service.
///
/// The floor is divided among the hosts that run, so that all hosts together stay within the
/// operator's limit even when they cannot reach each other.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    floor: f64,
    window: Duration,
    clock: Clock,
    fleet: Arc<Mutex<Fleet>>,
    services: Mutex<HashMap<Service, Window>>,
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

    fn update<T>(&self, service: &Service, change: impl FnOnce(&mut Window) -> T) -> T {
        let mut services = self.services.lock();
        if let Some(window) = services.get_mut(service) {
            return change(window);
        }
        let window = services
            .entry(service.clone())
            .or_insert_with(|| Window::new(self.window));
        change(window)
    }

    /// Credits the budget of a service for a client's request.
    pub fn deposit(&self, service: &Service) {
        let now = self.clock.now();
        self.update(service, |window| window.deposit(now));
    }

    /// Withdraws one retry for a request, or returns false when none is left.
    pub fn withdraw(&self, service: &Service, request: &str) -> bool {
        let now = self.clock.now();
        let floor = self.fleet.lock().allowance(self.floor, now);
        let allowed = self.update(service, |window| window.withdraw(self.ratio, floor, now));
        let outcome = if allowed { "allowed" } else { "withheld" };
        observe::count_retry(service, outcome);
        log::info!(
            "event=retry request={request} service={service} outcome={outcome} share={floor:.1}"
        );
        allowed
    }
}
