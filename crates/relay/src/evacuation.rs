//! Applies evacuations of failure domains, and exchanges them with the other hosts.

use std::sync::Arc;

use kernel::balance::Balancer;
use kernel::clock::Instant;
use kernel::evacuation::{Applied, Change, View};
use kernel::name::Domain;
use kernel::position::Reading;
use parking_lot::Mutex;
use wire::extension::{self, Extension};

use crate::adapter::{Batch, Record};
use crate::clock::Clock;
use crate::exchange::{Exchange, Sender};
use crate::observe;
use crate::placer::Placer;
use crate::registry::Registry;

/// Keeps the view of the registry and the placer.
pub(crate) struct Evacuations {
    clock: Clock,
    registry: Arc<Registry>,
    placer: Arc<Placer>,
    balancer: Arc<Mutex<Balancer>>,
}

/// What a read of the store changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Nothing.
    Unchanged,
    /// Domains were evacuated or taken back.
    Changed,
    /// The changes do not fit the view: the newest records must be read.
    Unrelated,
}

impl Evacuations {
    /// Creates an instance that changes these tables.
    pub fn new(
        clock: Clock,
        registry: &Arc<Registry>,
        placer: &Arc<Placer>,
        balancer: &Arc<Mutex<Balancer>>,
    ) -> Self {
        Self {
            clock,
            registry: Arc::clone(registry),
            placer: Arc::clone(placer),
            balancer: Arc::clone(balancer),
        }
    }

    /// Applies the evacuations among the records of a read that began at `began`, and returns the
    /// other records, which must be applied afterwards: no request of a new configuration may reach
    /// an endpoint of an evacuated failure domain.
    pub fn apply_batch(
        &self,
        batch: Batch,
        reading: Reading,
        began: Instant,
    ) -> (Outcome, Vec<Record>) {
        let (era, position) = (batch.era, batch.next);
        let (mut changes, mut others) = (Vec::new(), Vec::new());
        for record in batch.records {
            match record {
                Record::Evacuation(change) => changes.push(change),
                other => others.push(other),
            }
        }
        let now = self.clock.now();
        let applied = self.registry.with_evacuations(|table| {
            if reading == Reading::Changes {
                return table.apply(era, position, changes, now);
            }
            let domains = changes.into_iter().filter_map(|change| match change {
                Change::Evacuated(domain) => Some(domain),
                Change::TakenBack(_) => None,
            });
            let domains = domains.collect();
            let view = View {
                era,
                position,
                domains,
            };
            Applied::Changed(table.replace(view, began, now))
        });
        let outcome = match applied {
            Applied::Changed(changes) => self.handle(&changes, position, "store", ""),
            Applied::Unrelated => Outcome::Unrelated,
        };
        (outcome, others)
    }

    /// Returns the current view for the other hosts.
    pub fn extension(&self) -> Option<Extension> {
        let view = self.registry.with_evacuations(|table| table.view());
        view.as_ref().map(encode)
    }

    /// Logs changes, which came from `source`, and applies them to the engines.
    fn handle(&self, changes: &[Change], position: u64, source: &str, from: &str) -> Outcome {
        if changes.is_empty() {
            return Outcome::Unchanged;
        }
        for change in changes {
            let (domain, state) = match change {
                Change::Evacuated(domain) => (domain, "evacuated"),
                Change::TakenBack(domain) => (domain, "taken_back"),
            };
            if let Change::TakenBack(domain) = change {
                self.restart(domain);
            }
            log::warn!(
                "event=evacuation domain={domain} state={state} position={position} source={source}{from}"
            );
        }
        let evacuated = self
            .registry
            .with_evacuations(|table| table.evacuated().count());
        observe::set_gauge("filbertstage_evacuated_domains", evacuated as u64);
        self.placer.refresh_engines(&self.registry);
        Outcome::Changed
    }
}

impl Evacuations {
    /// Uses the endpoints of a domain that is taken back at a rising rate, where the configuration says
    /// that endpoints become cold.
    fn restart(&self, domain: &Domain) {
        let Some(configuration) = self.registry.configuration() else {
            return;
        };
        for (service, entry) in &configuration.services {
            let Some(cold) = entry.cold else {
                continue;
            };
            self.placer.restart(service, domain, cold);
            let now = self.clock.now();
            let endpoints = self.registry.registered(service);
            let endpoints = endpoints.iter().filter(|entry| entry.domain == *domain);
            for endpoint in endpoints.filter(|_| entry.engine.is_none()) {
                let mut balancer = self.balancer.lock();
                balancer.restart(endpoint.identity(), cold.rate, cold.duration, now);
            }
        }
    }

    /// Returns lines for the metrics page: each domain that is or was evacuated, its state, and the
    /// time since this host learnt of it in seconds.
    pub fn render(&self) -> String {
        let now = self.clock.now();
        self.registry.with_evacuations(|table| {
            let evacuated = table.evacuated().map(|state| (state, "evacuated"));
            let taken_back = table.taken_back().map(|state| (state, "taken_back"));
            let lines = evacuated.chain(taken_back).map(|((domain, since), state)| {
                let seconds = now.since(since).as_secs_f64();
                let name = domain.as_str();
                // The debug form escapes quotation marks and backslashes as labels need it.
                let labels = format!("domain={name:?},state={state:?}");
                format!("filbertstage_evacuation_seconds{{{labels}}} {seconds:.1}\n")
            });
            lines.collect()
        })
    }
}

impl Exchange for Evacuations {
    fn apply(&self, sender: Sender<'_>, extension: &Extension) {
        let Extension::Evacuations(told) = extension else {
            return;
        };
        let view = decode(told);
        let (position, now) = (view.position, self.clock.now());
        let changes = self
            .registry
            .with_evacuations(|table| table.merge(view, now));
        let Sender { host, holder, .. } = sender;
        let from = format!(" host={host} life={holder:x}");
        self.handle(&changes, position, "host", &from);
    }

    fn repeated(&self) -> Vec<Extension> {
        let now = self.clock.now();
        let view = self.registry.with_evacuations(|table| table.repeated(now));
        view.as_ref().map(encode).into_iter().collect()
    }
}

fn encode(view: &View) -> Extension {
    Extension::Evacuations(extension::Evacuations {
        era: view.era,
        position: view.position,
        domains: view
            .domains
            .iter()
            .map(|domain| domain.as_str().to_owned())
            .collect(),
    })
}

fn decode(told: &extension::Evacuations) -> View {
    View {
        era: told.era,
        position: told.position,
        domains: told
            .domains
            .iter()
            .map(|name| Domain::from(name.as_str()))
            .collect(),
    }
}
