//! Routing policies: which engine takes a request that may start now.
//!
//! A policy is a plug-in. It registers itself with [`inventory::submit!`] and is named in the
//! settings; the built-in policies use the same trait and the same registration.
//!
//! ```
//! let policy = filbertstage_kernel::routing::create("least_loaded").expect("built in");
//! assert!(policy.eager());
//! ```

use std::time::Duration;

use crate::name::Endpoint;

/// The name of the default policy.
pub const DEFAULT: &str = "first_token";

/// What a policy may know of an engine that could take the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub endpoint: Endpoint,
    /// Predicted time to the first token.
    pub predicted: Duration,
    /// Time by which the request would delay the first tokens of others, added up.
    pub delays: Duration,
    /// Prompt tokens that the engine still has to prefill.
    pub backlog_tokens: u64,
    /// Requests on the engine.
    pub running: usize,
}

/// Chooses an engine for a request.
pub trait Policy: Send {
    /// Whether requests go to an engine at once instead of waiting for a free one at the node.
    ///
    /// An eager policy hands queueing to the engines, in the order of arrival.
    fn eager(&self) -> bool;

    /// The index of the chosen candidate, or `None` when there is none.
    fn choose(&mut self, candidates: &[Candidate]) -> Option<usize>;
}

/// A registered policy.
pub struct Registration {
    /// The name that the settings use.
    pub name: &'static str,
    /// Makes the policy.
    pub make: fn() -> Box<dyn Policy>,
}

inventory::collect!(Registration);

/// Makes the policy called `name`.
#[must_use]
pub fn create(name: &str) -> Option<Box<dyn Policy>> {
    inventory::iter::<Registration>()
        .find(|registration| registration.name == name)
        .map(|registration| (registration.make)())
}

/// The names of all registered policies, sorted.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<Registration>()
        .map(|registration| registration.name)
        .collect();
    names.sort_unstable();
    names
}

/// Part of the delay of others that counts like an own wait.
const DELAY_WEIGHT: f64 = 0.5;

/// Holds requests at the node and takes the engine with the earliest predicted first token, the
/// delay of others included.
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

/// Takes the engines in turn.
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

/// Takes the engine with the fewest requests.
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
