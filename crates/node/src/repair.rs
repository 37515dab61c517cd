//! Gives orders to engines under a lease, and corrects what they have loaded.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use endpoint::Client;
use kernel::lease::{Candidate, Step};
use kernel::prelude::*;
use kernel::reconcile::{Order, Planner};
use kernel::schedule::Summary;

use crate::follow::LEASES;
use crate::shared::Shared;

/// Time between two comparisons.
const EVERY: Duration = Duration::from_millis(500);

/// Compares and corrects for ever, whenever this node holds its domain's lease.
pub(crate) async fn run(shared: Arc<Shared>) {
    let name = format!("orders/{}", shared.domain);
    let mut candidate = Candidate::new(&name, &shared.host, shared.incarnation);
    let mut planner = Planner::default();
    loop {
        tokio::time::sleep(EVERY).await;
        let now = shared.now();
        let step = candidate.step(now, &shared.tables.leases.lock());
        if let Step::Append(record) = step
            && let Ok(text) = serde_json::to_string(&record)
        {
            // A lost acknowledgement does not matter: the record counts when it is read.
            let _ = shared.outside.log.append(LEASES, &text).await;
        }
        if candidate.fence(shared.now()).is_some() {
            correct(&shared, &candidate, &mut planner).await;
        }
    }
}

async fn correct(shared: &Arc<Shared>, candidate: &Candidate, planner: &mut Planner) {
    let accepting = shared
        .outside
        .weights
        .current_load()
        .await
        .is_ok_and(|load| load.accepting);
    if !accepting {
        return;
    }
    let now = shared.now();
    let lists = shared.tables.lists();
    let reports = shared.tables.sights.lock().reports.clone();
    let demand = demand(shared);
    for order in planner.orders(now, lists.usage(), &reports, &demand) {
        // The lease is looked at again right before each order is sent.
        let Some(fence) = candidate.fence(shared.now()) else {
            return;
        };
        log::info!(
            "event=order endpoint={} fence={fence} reason={:?}",
            order.endpoint,
            order.reason
        );
        send(shared, &order, fence).await;
    }
}

/// The digests of this failure domain's pools.
fn demand(shared: &Shared) -> BTreeMap<Model, Summary> {
    let digests = shared.tables.digests.lock();
    let own = digests
        .values()
        .filter(|entry| entry.domain == shared.domain);
    own.map(|entry| (entry.model.clone(), entry.digest))
        .collect()
}

async fn send(shared: &Shared, order: &Order, fence: u64) {
    if let Some(Client::Engine(engine)) = shared.client(&order.endpoint)
        && let Err(error) = engine.send_order(order, fence).await
    {
        log::warn!(
            "event=order_failed endpoint={} error={error}",
            order.endpoint
        );
    }
}
