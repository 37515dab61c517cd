//! Operations that are polled by hand and dropped at any moment, and the placers that they run on.

// No test file uses all of these helpers.
#![allow(dead_code)]

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use filbertstage_relay::clock::Clock;
use filbertstage_relay::path::Paths;
use filbertstage_relay::placer::Placer;
use filbertstage_relay::registry::Registry;
use filbertstage_relay::transport::Dialer;
use kernel::catalogue::{Entry, Profile, State};
use kernel::place::Request;
use kernel::place::value::Origin;
use kernel::prelude::*;

pub type Operation<T> = Pin<Box<dyn Future<Output = T>>>;

/// Polls an operation once.
pub fn poll<T>(operation: &mut Operation<T>) -> Poll<T> {
    let mut context = Context::from_waker(Waker::noop());
    operation.as_mut().poll(&mut context)
}

/// Returns all orders of the steps of several operations: `steps[i]` times the index `i`.
pub fn interleavings(steps: &[usize]) -> Vec<Vec<usize>> {
    if steps.iter().all(|left| *left == 0) {
        return vec![Vec::new()];
    }
    let mut orders = Vec::new();
    for index in (0..steps.len()).filter(|index| steps[*index] > 0) {
        let mut rest = steps.to_vec();
        rest[index] -= 1;
        for mut order in interleavings(&rest) {
            order.push(index);
            orders.push(order);
        }
    }
    orders
}

pub fn profile() -> Profile {
    Profile {
        slots: 16,
        memory_tokens: 450_000,
        stride: 46,
        step_ms: 0.925,
        sequence_ms: 0.004_83,
        context_ms: 0.002_54,
        prefill_tokens_per_s: 256_000.0,
        pairs_ms: 0.0917,
        chunk: 2_048,
        hop_ms: 0.1,
        delays: Vec::new(),
    }
}

pub fn service() -> Service {
    Service::from("writer")
}

/// Returns a registry with `engines` engines of each service.
pub fn registry(clock: Clock, services: &[Service], engines: u32) -> Registry {
    let registry = Registry::new(Duration::from_secs(3));
    registry.with_directory(|directory| {
        for service in services {
            for index in 0..engines {
                let entry = Entry {
                    name: Endpoint::from(format!("{service}-{index}")),
                    started_ms: 1,
                    service: service.clone(),
                    address: ([127, 0, 0, 1], 1).into(),
                    domain: Domain::from("cannock"),
                    slots: 16,
                    state: State::Ready,
                    cold: None,
                };
                directory.put(entry, clock.now());
            }
        }
    });
    registry
}

/// Returns a placer with `engines` engines of each service.
pub fn placer_of(clock: Clock, holder: u64, services: &[Service], engines: u32) -> Arc<Placer> {
    let domain = Domain::from("cannock");
    let paths = Arc::new(Paths::new(clock, domain.clone(), &Host::from("edge-1")));
    let placer = Placer::new(clock, domain, paths, Dialer::default(), holder);
    let profile = profile();
    placer.set_services(services.iter().map(|service| (service, &profile)));
    let placer = Arc::new(placer);
    placer.refresh_engines(&registry(clock, services, engines));
    placer
}

/// Returns a placer with `engines` engines of one service.
pub fn placer(clock: Clock, holder: u64, engines: u32) -> Arc<Placer> {
    placer_of(clock, holder, &[service()], engines)
}

/// Returns a request that waits up to ten seconds for an engine.
pub fn request(prompt_tokens: u64, now: Instant) -> Request {
    Request {
        prompt_tokens,
        answer_tokens: 1_600,
        due: now + Duration::from_secs(10),
        deadline: now + Duration::from_secs(30),
        pause: Duration::from_millis(200),
        priority: 1,
        answer_started: false,
        excluded: Vec::new(),
        origin: Origin::default(),
    }
}
