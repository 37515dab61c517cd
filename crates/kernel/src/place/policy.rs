//! Selects how the waiting requests of a service are ordered.

use std::collections::BTreeSet;

use super::value::Weights;
use crate::catalogue::{Configuration, Kind};
use crate::name::Service;

/// Last rank of a request at an engine; 0 is the first.
const LAST_URGENCY: u8 = 9;

/// Which order the operator wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Choice {
    /// By value where the configuration gives the streams of a service several priorities.
    #[default]
    Auto,
    /// By value everywhere.
    Value,
    /// By priority and due time everywhere.
    Order,
}

/// The order of one service's waiting requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// The weights of the order by value; `None` for the order by priority and due time.
    pub weights: Option<Weights>,
    /// Priorities of the service's streams, the most urgent first.
    pub priorities: Vec<u32>,
}

impl Policy {
    /// Derives the policy of a service that runs on engines.
    #[must_use]
    pub fn new(
        choice: Choice,
        weights: Weights,
        configuration: &Configuration,
        service: &Service,
    ) -> Self {
        let priorities = priorities(configuration, service);
        let by_value = match choice {
            Choice::Auto => priorities.len() > 1,
            Choice::Value => true,
            Choice::Order => false,
        };
        Self {
            weights: by_value.then_some(weights),
            priorities: priorities.into_iter().collect(),
        }
    }

    /// Returns the rank at an engine of a request with this priority, from 0 (first) to 9 (last);
    /// `None` if the engine need not be told.
    ///
    /// The ranks are spread over the whole range, so that the middle priority has the rank that
    /// engines assume for requests without one.
    #[must_use]
    pub fn urgency(&self, priority: u32) -> Option<u8> {
        self.weights?;
        let last = self
            .priorities
            .len()
            .checked_sub(1)
            .filter(|last| *last > 0)?;
        let before = self.priorities.iter().filter(|known| **known < priority);
        let position = before.count().min(last);
        u8::try_from(position * usize::from(LAST_URGENCY) / last).ok()
    }
}

/// Returns the priorities that the streams of a service can have.
fn priorities(configuration: &Configuration, service: &Service) -> BTreeSet<u32> {
    let mut priorities = BTreeSet::new();
    for route in configuration.routes() {
        let serves = route
            .targets
            .iter()
            .any(|target| target.service == *service);
        if route.kind == Kind::Stream && serves {
            priorities.insert(route.priority);
        }
    }
    if !priorities.is_empty() {
        let tenants = configuration.tenants().iter();
        priorities.extend(tenants.filter_map(|tenant| tenant.priority));
    }
    priorities
}
