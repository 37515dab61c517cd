//! This host's share of the retry budget.

use std::collections::HashMap;

use kernel::name::Service;
use kernel::retry::Budget;
use parking_lot::Mutex;

use crate::settings::Retry;

/// A retry budget for each service.
///
/// Each host has a fixed share of the floor, so that all hosts together stay within the operator's
/// limit even when they cannot reach each other.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    /// This host's share of the floor in the settings: the initial and maximum number of retries in
    /// a budget.
    floor: f64,
    services: Mutex<HashMap<Service, Budget>>,
}

impl Budgets {
    /// Creates budgets with one host's share of the limits in `retry`.
    #[must_use]
    pub fn new(retry: &Retry) -> Self {
        Self {
            ratio: retry.ratio,
            floor: retry.floor / f64::from(retry.hosts.max(1)),
            services: Mutex::default(),
        }
    }

    fn update<T>(&self, service: &Service, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut services = self.services.lock();
        if let Some(budget) = services.get_mut(service) {
            return change(budget);
        }
        let budget = services
            .entry(service.clone())
            .or_insert_with(|| Budget::new(self.ratio, self.floor));
        change(budget)
    }

    /// Credits the budget of a service for a client's request.
    pub fn deposit(&self, service: &Service) {
        self.update(service, Budget::deposit);
    }

    /// Withdraws one retry, or returns false when none is left.
    pub fn withdraw(&self, service: &Service) -> bool {
        self.update(service, Budget::withdraw)
    }
}
