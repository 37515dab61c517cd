//! Chooses the endpoints that show whether a host's own link works.

use std::collections::BTreeSet;

use crate::catalogue::Identity;
use crate::clock::Instant;
use crate::name::Domain;

/// An endpoint that may be probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probed {
    /// The endpoint.
    pub identity: Identity,
    /// Failure domain of the endpoint.
    pub domain: Domain,
    /// Time of its last answer to this host, if there was one.
    pub answered: Option<Instant>,
}

/// Returns up to `size` of the endpoints, in as many failure domains as possible.
///
/// In each domain the endpoint that answered last comes first, and then others and further ones that
/// answered by turns: an endpoint that never answered may be dead for reasons of its own, and so may
/// those that answered a host with little traffic. Endpoints in `tried` come last. The order of equals is
/// that of `endpoints`, which should be random.
#[must_use]
pub fn sample(endpoints: &[Probed], size: usize, tried: &BTreeSet<Identity>) -> Vec<Identity> {
    let mut domains: Vec<(&Domain, Vec<&Probed>)> = Vec::new();
    for endpoint in endpoints {
        let known = domains
            .iter_mut()
            .find(|(domain, _)| **domain == endpoint.domain);
        match known {
            Some((_, endpoints)) => endpoints.push(endpoint),
            None => domains.push((&endpoint.domain, vec![endpoint])),
        }
    }
    let mut ranked = Vec::new();
    for (_, endpoints) in domains {
        let (old, new): (Vec<_>, Vec<_>) = alternate(&endpoints)
            .into_iter()
            .partition(|identity| tried.contains(identity));
        for (was_tried, identities) in [(false, new), (true, old)] {
            let identities = identities.into_iter().enumerate();
            ranked.extend(identities.map(|(rank, identity)| (was_tried, rank, identity)));
        }
    }
    ranked.sort_by_key(|(was_tried, rank, _)| (*was_tried, *rank));
    let chosen = ranked.into_iter().take(size);
    chosen.map(|(.., identity)| identity).collect()
}

/// Orders the endpoints of one domain: by turns those with the latest answers, and any.
fn alternate(endpoints: &[&Probed]) -> Vec<Identity> {
    let mut latest = endpoints.to_vec();
    latest.sort_by_key(|endpoint| std::cmp::Reverse(endpoint.answered));
    let turns = latest.iter().zip(endpoints);
    let order = turns.flat_map(|(late, any)| [late.identity, any.identity]);
    let mut seen = BTreeSet::new();
    order.filter(|identity| seen.insert(*identity)).collect()
}
