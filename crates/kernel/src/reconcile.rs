//! Reconciles the models that engines have loaded with the usage list.
//!
//! Reconciliation is level-triggered: it starts from the current reports each time. An order that
//! was lost, refused or overwritten by a paused former lease holder is therefore issued again.
//! Copies move between models by demand, with hysteresis, and no faster than the rate of the weight
//! store allows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::lists::{ModelEntry, Usage};
use crate::name::{Endpoint, Model};
use crate::schedule::{Report, Summary};

/// Predicted wait of a long request at which a model counts as under pressure.
const PRESSURE_WAIT: Duration = Duration::from_secs(5);
/// Time for which the pressure must last before a copy moves.
const PRESSURE_DURATION: Duration = Duration::from_secs(5);
/// Minimum time between two moves of the same engine.
const MOVE_COOLDOWN: Duration = Duration::from_mins(1);
/// Time after which an order without effect is issued again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum number of orders that load weights concurrently in one failure domain, because the
/// weight store limits the rate of reads. An order counts for [`ORDER_RETRY_INTERVAL`].
const MAX_CONCURRENT_LOADS: usize = 2;

/// An order to an engine to load a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine that receives the order.
    pub endpoint: Endpoint,
    /// The model to load.
    pub model: Model,
    /// The version to load.
    pub version: String,
    /// The adapters to load.
    pub adapters: Vec<String>,
    /// The reason, with the loaded and the wanted version, for the log.
    pub reason: String,
}

/// Plans the model assignment and the orders for the engines of one failure domain.
#[derive(Debug, Default)]
pub struct Planner {
    assigned: BTreeMap<Endpoint, Model>,
    moved_at: BTreeMap<Endpoint, Instant>,
    ordered_at: BTreeMap<Endpoint, Instant>,
    pressure_since: BTreeMap<Model, Instant>,
}

impl Planner {
    /// Updates the assignment and returns the orders to send now.
    ///
    /// `reports` holds the reports of the reachable engines, `demand` the pool summaries by model.
    pub fn orders(
        &mut self,
        now: Instant,
        usage: &Usage,
        reports: &BTreeMap<Endpoint, Report>,
        demand: &BTreeMap<Model, Summary>,
    ) -> Vec<Order> {
        self.assign_new(usage, reports);
        self.update_pressure(now, demand);
        self.move_copy(now, usage, reports, demand);
        self.issue_orders(now, usage, reports)
    }

    /// Assigns to each new engine the model that it has loaded, or else the one in its list entry.
    ///
    /// Drops the assignments of unreachable engines and of models that the list does not contain.
    fn assign_new(&mut self, usage: &Usage, reports: &BTreeMap<Endpoint, Report>) {
        let known: BTreeSet<_> = usage
            .models
            .iter()
            .map(|model| model.name.as_str())
            .collect();
        self.assigned.retain(|endpoint, model| {
            reports.contains_key(endpoint) && known.contains(model.as_str())
        });
        for entry in usage
            .endpoints
            .iter()
            .filter(|entry| entry.kind.as_str() == "engine")
        {
            let endpoint = Endpoint::from(entry.name.as_str());
            let Some(report) = reports.get(&endpoint) else {
                continue;
            };
            let loaded = report
                .model
                .clone()
                .filter(|model| known.contains(model.as_str()));
            let listed = entry.model.as_deref().map(Model::from);
            if let Some(model) = loaded.or(listed) {
                self.assigned.entry(endpoint).or_insert(model);
            }
        }
    }

    fn update_pressure(&mut self, now: Instant, demand: &BTreeMap<Model, Summary>) {
        self.pressure_since
            .retain(|model, _| demand.get(model).is_some_and(under_pressure));
        for (model, summary) in demand {
            if under_pressure(summary) {
                self.pressure_since.entry(model.clone()).or_insert(now);
            }
        }
    }

    /// Assigns one idle engine to the model that has been under pressure longest.
    ///
    /// No model falls below its minimum number of copies.
    fn move_copy(
        &mut self,
        now: Instant,
        usage: &Usage,
        reports: &BTreeMap<Endpoint, Report>,
        demand: &BTreeMap<Model, Summary>,
    ) {
        let lasting = self
            .pressure_since
            .iter()
            .filter(|(_, since)| **since + PRESSURE_DURATION <= now);
        let Some(target) = lasting
            .min_by_key(|(_, since)| **since)
            .map(|(model, _)| model.clone())
        else {
            return;
        };
        let idle = |model: &Model| demand.get(model).is_none_or(|summary| summary.waiting == 0);
        let spare = self.assigned.iter().find(|(endpoint, model)| {
            **model != target
                && idle(model)
                && reports
                    .get(*endpoint)
                    .is_some_and(|report| report.kv_used == 0 && !report.leaving)
                && self.copies(model) > min_copies(usage, model)
                && self
                    .moved_at
                    .get(*endpoint)
                    .is_none_or(|at| *at + MOVE_COOLDOWN <= now)
        });
        if let Some((endpoint, _)) = spare {
            let endpoint = endpoint.clone();
            self.moved_at.insert(endpoint.clone(), now);
            self.assigned.insert(endpoint, target.clone());
            self.pressure_since.insert(target, now);
        }
    }

    fn copies(&self, model: &Model) -> usize {
        self.assigned
            .values()
            .filter(|other| *other == model)
            .count()
    }

    /// Returns orders for the engines whose loaded model differs from the assignment.
    fn issue_orders(
        &mut self,
        now: Instant,
        usage: &Usage,
        reports: &BTreeMap<Endpoint, Report>,
    ) -> Vec<Order> {
        self.ordered_at
            .retain(|_, at| *at + ORDER_RETRY_INTERVAL > now);
        let mut orders = Vec::new();
        for (endpoint, model) in &self.assigned {
            let wanted = usage
                .models
                .iter()
                .find(|entry| entry.name.as_str() == model.as_str());
            let (Some(report), Some(wanted)) = (reports.get(endpoint), wanted) else {
                continue;
            };
            let loading = self.ordered_at.len() + orders.len();
            if matches(report, wanted)
                || self.ordered_at.contains_key(endpoint)
                || loading >= MAX_CONCURRENT_LOADS
            {
                continue;
            }
            orders.push(Order {
                endpoint: endpoint.clone(),
                model: model.clone(),
                version: wanted.version.to_string(),
                adapters: wanted.adapters.clone(),
                reason: reason(report, wanted),
            });
        }
        for order in &orders {
            self.ordered_at.insert(order.endpoint.clone(), now);
        }
        orders
    }
}

fn under_pressure(summary: &Summary) -> bool {
    summary.waiting > 0 && (summary.engines == 0 || summary.long_wait >= PRESSURE_WAIT)
}

fn min_copies(usage: &Usage, model: &Model) -> usize {
    let entry = usage
        .models
        .iter()
        .find(|entry| entry.name.as_str() == model.as_str());
    entry.map_or(0, |entry| entry.copies_least as usize)
}

fn matches(report: &Report, wanted: &ModelEntry) -> bool {
    let model = report
        .model
        .as_ref()
        .is_some_and(|model| model.as_str() == wanted.name.as_str());
    model
        && report.version == wanted.version.as_str()
        && wanted
            .adapters
            .iter()
            .all(|adapter| report.adapters.contains(adapter))
}

fn reason(report: &Report, wanted: &ModelEntry) -> String {
    let loaded = report.model.as_ref().map_or("nothing", Model::as_str);
    format!(
        "has {loaded} {}, should have {} {}",
        report.version,
        wanted.name.as_str(),
        wanted.version.as_str()
    )
}
