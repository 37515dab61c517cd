//! Reconciles the models that engines have loaded with the usage list, by orders under a lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use endpoint::Client;
use kernel::lease::{Candidate, Step};
use kernel::prelude::*;
use kernel::reconcile::{Order, Planner};
use kernel::schedule::Summary;

use crate::follow::LEASES_STREAM;
use crate::shared::Shared;

/// Time between two reconciliations.
const INTERVAL: Duration = Duration::from_millis(500);

/// Reconciles the engines with the usage list while this node holds its domain's lease. Never
/// returns.
pub(crate) async fn run(shared: Arc<Shared>) {
    let name = format!("orders/{}", shared.domain);
    let mut candidate = Candidate::new(&name, &shared.host, shared.incarnation);
    let mut planner = Planner::default();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = shared.now();
        let step = candidate.step(now, &shared.tables.leases.lock());
        if let Step::Append(record) = step
            && let Ok(text) = serde_json::to_string(&record)
        {
            // A lost acknowledgement is harmless: the record takes effect when it is read.
            let _ = shared.dependencies.log.append(LEASES_STREAM, &text).await;
        }
        if candidate.fence(shared.now()).is_some() {
            reconcile(&shared, &candidate, &mut planner).await;
        }
    }
}

async fn reconcile(shared: &Arc<Shared>, candidate: &Candidate, planner: &mut Planner) {
    let accepting = shared
        .dependencies
        .weights
        .current_load()
        .await
        .is_ok_and(|load| load.accepting);
    if !accepting {
        return;
    }
    let now = shared.now();
    let lists = shared.tables.lists();
    let reports = shared.tables.engine_status.lock().reports.clone();
    let demand = demand(shared);
    for order in planner.orders(now, lists.usage(), &reports, &demand) {
        // The lease may have expired since the last order, so it is checked before each one.
        let Some(fence) = candidate.fence(shared.now()) else {
            return;
        };
        log::info!(
            "event=order endpoint={} fence={fence} reason={:?}",
            order.endpoint,
            order.reason
        );
        send_order(shared, &order, fence).await;
    }
}

/// Returns the summaries of this failure domain's pools, by model.
fn demand(shared: &Shared) -> BTreeMap<Model, Summary> {
    let summaries = shared.tables.pool_summaries.lock();
    let own = summaries
        .values()
        .filter(|entry| entry.domain == shared.domain);
    own.map(|entry| (entry.model.clone(), entry.summary))
        .collect()
}

async fn send_order(shared: &Shared, order: &Order, fence: u64) {
    if let Some(Client::Engine(engine)) = shared.client(&order.endpoint)
        && let Err(error) = engine.send_order(order, fence).await
    {
        log::warn!(
            "event=order_failed endpoint={} error={error}",
            order.endpoint
        );
    }
}
