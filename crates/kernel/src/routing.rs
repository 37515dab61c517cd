//! Routing policies, which choose the engine for a request that can start now.
//!
//! A policy is a plug-in: it registers itself with [`inventory::submit!`] and the settings select
//! it by name. The built-in policies use the same trait and the same registration.
//!
//! ```
//! let policy = filbertstage_kernel::routing::create("least_loaded").expect("built in");
//! assert!(policy.eager());
//! ```

use std::time::Duration;

use crate::name::Endpoint;

/// Name of the default policy.
pub const DEFAULT: &str = "first_token";

/// An engine that can take the request, with the data available to a policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Endpoint of the engine.
    pub endpoint: Endpoint,
    /// Predicted time to the first token of the request.
    pub predicted: Duration,
    /// Sum of the delays that the request would add to the first tokens of other requests.
    pub delays: Duration,
    /// Prompt tokens that the engine has not yet prefilled.
    pub backlog_tokens: u64,
    /// Number of requests on the engine.
    pub running: usize,
}

/// Chooses an engine for a request.
pub trait Policy: Send {
    /// Returns whether requests are sent to an engine immediately instead of waiting at the node
    /// for a free one.
    ///
    /// With an eager policy, requests queue at the engines in order of arrival.
    fn eager(&self) -> bool;

    /// Returns the index of the chosen candidate, or `None` if `candidates` is empty.
    fn choose(&mut self, candidates: &[Candidate]) -> Option<usize>;
}

/// A registered policy.
pub struct Registration {
    /// Name of the policy in the settings.
    pub name: &'static str,
    /// Creates an instance of the policy.
    pub make: fn() -> Box<dyn Policy>,
}

inventory::collect!(Registration);

/// Creates the policy registered as `name`; returns `None` if there is none.
#[must_use]
pub fn create(name: &str) -> Option<Box<dyn Policy>> {
    inventory::iter::<Registration>()
        .find(|registration| registration.name == name)
        .map(|registration| (registration.make)())
}

/// Returns the sorted names of all registered policies.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<Registration>()
        .map(|registration| registration.name)
        .collect();
    names.sort_unstable();
    names
}

/// Weight of the delay of other requests relative to the request's own time to the first token.
const DELAY_WEIGHT: f64 = 0.5;

/// Queues requests at the node and chooses the engine with the earliest predicted first token,
/// taking the delay of other requests into account.
struct FirstToken;

impl Policy for FirstToken {
    fn eager(&self) -> bool {
        false
    }

    fn choose(&mut self, candidates: &[Candidate]) -> Option<usize> {
        index_of_min(candidates, |candidate| {
            candidate.predicted + candidate.delays.mul_f64(DELAY_WEIGHT)
        })
    }
}

/// Chooses the engines in turn.
struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn eager(&self) -> bool {
        true
    }

    fn choose(&mut self, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let chosen = self.next % candidates.len();
        self.next = self.next.wrapping_add(1);
        Some(chosen)
    }
}

/// Chooses the engine with the fewest requests.
struct LeastLoaded;

impl Policy for LeastLoaded {
    fn eager(&self) -> bool {
        true
    }

    fn choose(&mut self, candidates: &[Candidate]) -> Option<usize> {
        index_of_min(candidates, |candidate| candidate.running)
    }
}

fn index_of_min<K: Ord>(candidates: &[Candidate], key: impl Fn(&Candidate) -> K) -> Option<usize> {
    (0..candidates.len()).min_by_key(|index| key(&candidates[*index]))
}

inventory::submit! {
    Registration { name: DEFAULT, make: || Box::new(FirstToken) }
}
inventory::submit! {
    Registration { name: "round_robin", make: || Box::new(RoundRobin { next: 0 }) }
}
inventory::submit! {
    Registration { name: "least_loaded", make: || Box::new(LeastLoaded) }
}
