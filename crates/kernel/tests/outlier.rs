//! Failure domains that requests and probes reach or not, while links are cut and come back.

use std::time::Duration;

use filbertstage_kernel::balance::Balancer;
use filbertstage_kernel::catalogue::{Entry, Identity, State};
use filbertstage_kernel::name::{Endpoint, Service};
use filbertstage_kernel::outlier::{DOMAIN_PROBES, DomainHealth, Observation};
use filbertstage_kernel::prelude::*;

fn after(millis: u64) -> Instant {
    Instant::default() + Duration::from_millis(millis)
}

fn cannock() -> Domain {
    Domain::from("cannock")
}

/// Guards against requests that hang in a domain each time that its ejection ends during a cut.
#[test]
fn a_cut_domain_stays_out_until_a_probe_is_answered() {
    let mut domains = DomainHealth::default();
    for at in (0..5_000).step_by(500) {
        domains.record_probes(&cannock(), 0, DOMAIN_PROBES, after(at));
        assert!(domains.is_ejected(&cannock(), after(at + 499)));
    }
    domains.record_probes(&cannock(), 1, DOMAIN_PROBES, after(5_000));
    assert!(!domains.is_ejected(&cannock(), after(5_000)));
}

/// Guards against the loss of a sound domain because a single endpoint is silent.
#[test]
fn one_silent_endpoint_ejects_no_domain() {
    let mut domains = DomainHealth::default();
    domains.record_probes(&cannock(), 0, 1, after(0));
    domains.record(&cannock(), Identity(1), Observation::Unresponsive, after(0));
    domains.record_probes(&cannock(), DOMAIN_PROBES - 1, DOMAIN_PROBES, after(100));
    assert!(!domains.is_ejected(&cannock(), after(100)));
}

/// Calls avoid a domain that does not answer, and use it if no other is left.
#[test]
fn calls_avoid_a_cut_domain() {
    let entries = ["cannock", "sherwood"].map(|domain| Entry {
        name: Endpoint::from(format!("desk-{domain}")),
        started_ms: 1,
        service: Service::from("desk"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: Domain::from(domain),
        slots: 6,
        state: State::Ready,
        cold: None,
    });
    let mut balancer = Balancer::default();
    let picked = |balancer: &Balancer, excluded: &[Identity]| {
        let entry = balancer.pick(entries.iter(), excluded, &cannock(), after(10));
        entry.map(|entry| entry.domain.clone())
    };
    assert_eq!(picked(&balancer, &[]), Some(cannock()));
    balancer.record_probes(&cannock(), 0, DOMAIN_PROBES, after(0));
    let sherwood = Domain::from("sherwood");
    assert_eq!(picked(&balancer, &[]), Some(sherwood));
    assert_eq!(picked(&balancer, &[entries[1].identity()]), Some(cannock()));
}
