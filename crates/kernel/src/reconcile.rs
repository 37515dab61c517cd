//! Compares what the usage list wants of the engines with what they say they have.
//!
//! The comparison is level-triggered: it is repeated from the current reports, so an order that
//! was lost, refused or overwritten by a paused former holder is simply given again. Copies move
//! between models by demand, with hysteresis, within the rate of the weight store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::lists::{ModelEntry, Usage};
use crate::name::{Endpoint, Model};
use crate::schedule::{Report, Summary};

/// Wait that must be predicted for a model before a copy is moved to it.
const PRESSURE_WAIT: Duration = Duration::from_secs(5);
/// How long the pressure must last.
const PRESSURE_DURATION: Duration = Duration::from_secs(5);
/// Time before a moved engine may be moved again.
const MOVE_COOLDOWN: Duration = Duration::from_mins(1);
/// Time before an order that had no effect is given again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Orders that may load weights at the same time in one failure domain.
const MAX_CONCURRENT_LOADS: usize = 2;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub endpoint: Endpoint,
    /// The model to load.
    pub model: Model,
    /// The version to load.
    pub version: String,
    /// The adapters to load.
    pub adapters: Vec<String>,
    /// Why, with numbers, for the journal.
    pub reason: String,
}

/// Decides on the orders for the engines of one failure domain.
#[derive(Debug, Default)]
pub struct Planner {
    assigned: BTreeMap<Endpoint, Model>,
    moved_at: BTreeMap<Endpoint, Instant>,
    ordered_at: BTreeMap<Endpoint, Instant>,
    pressure_since: BTreeMap<Model, Instant>,
}

impl Planner {
    /// The orders that are due now.
    ///
    /// `reports` are the engines that answer; `demand` has the digest of each model's pool.
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

    /// Engines keep what they have, or get the model that the list names first.
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

    /// Moves one idle copy to the model that has waited longest for one.
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

    /// Orders for the engines that have something else than they are to have.
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
        "has {loaded} {} and is to have {} {}",
        report.version,
        wanted.name.as_str(),
        wanted.version.as_str()
    )
}
