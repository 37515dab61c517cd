//! This host's share of the budget for repeats.

use std::collections::HashMap;

use kernel::name::Service;
use kernel::retry::Budget;
use parking_lot::Mutex;

use crate::settings::Retry;

/// A budget for each service, so that all hosts together stay within the operator's bound even
/// when they do not hear each other.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    floor: f64,
    services: Mutex<HashMap<Service, Budget>>,
}

impl Budgets {
    /// The share of one host in the settings' bound.
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

    /// Counts a client's request for a service.
    pub fn deposit(&self, service: &Service) {
        self.update(service, Budget::deposit);
    }

    /// Takes one repeat, or returns false when none is left.
    pub fn withdraw(&self, service: &Service) -> bool {
        self.update(service, Budget::withdraw)
    }
}
