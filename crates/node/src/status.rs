//! Status reports for operators: one node, all known nodes, and the decisions on a request.

use std::sync::Arc;

use kernel::journal::Entry;
use kernel::request::Id;
use serde_json::{Value, json};
use shutdown::Stage;
use wire::Frame;

use crate::peer;
use crate::shared::Shared;

/// Returns this node's status.
pub(crate) fn node(shared: &Shared) -> Value {
    use std::sync::atomic::Ordering;
    let now = shared.now();
    let tables = &shared.tables;
    let (plans, usage) = {
        let fold = tables.fold.lock();
        (fold.state().plans_version, fold.state().usage_version)
    };
    let members: Vec<_> = {
        let members = tables.members.lock();
        let known = members.known(now).into_iter();
        known
            .map(|(entry, alive)| json!({ "host": entry.host, "domain": entry.domain, "alive": alive }))
            .collect()
    };
    let engines: Vec<_> = {
        let engine_status = tables.engine_status.lock();
        engine_status
            .reports
            .values()
            .map(|report| json!(report))
            .collect()
    };
    let pools: Vec<_> = {
        let pools = tables.pools.lock();
        let summary = |local: &crate::tables::LocalPool| local.pool.summary(now);
        pools
            .iter()
            .map(|(model, local)| json!({ "model": model, "digest": summary(local) }))
            .collect()
    };
    let leases: Vec<_> = {
        let leases = tables.leases.lock();
        leases
            .iter()
            .map(
                |(name, lease)| json!({ "name": name, "holder": lease.host, "fence": lease.fence }),
            )
            .collect()
    };
    json!({
        "host": shared.host,
        "domain": shared.domain,
        "incarnation": shared.incarnation.to_string(),
        "ready": shared.ready(),
        "draining": shared.shutdown.has_reached(Stage::Draining),
        "running": shared.running.load(Ordering::SeqCst),
        "plans_version": plans,
        "usage_version": usage,
        "lists_from_log": tables.progress.lists_fresh(now),
        "members": members,
        "engines": engines,
        "pools": pools,
        "leases": leases,
        "held_at_endpoints": tables.ledger.lock().len(),
        "keys_remembered": tables.claims.lock().len(),
        "unknown_outcomes": tables.claims.lock().unknown_keys(now),
    })
}

/// Returns the status of every known node, with the error for each node that does not respond.
pub(crate) async fn fleet(shared: &Arc<Shared>) -> Value {
    let mut nodes = vec![node(shared)];
    for (host, address) in other_members(shared) {
        let status = match shared.peers.call(address, &Frame::Status).await {
            Ok(Frame::Report(text)) => serde_json::from_str(&text).unwrap_or(Value::Null),
            Ok(_) => Value::Null,
            Err(error) => json!({ "host": host, "unreachable": error.to_string() }),
        };
        nodes.push(status);
    }
    json!({ "nodes": nodes })
}

fn other_members(shared: &Shared) -> Vec<(kernel::name::Host, std::net::SocketAddr)> {
    let now = shared.now();
    let members = shared.tables.members.lock();
    let known = members.known(now).into_iter().skip(1);
    let addressed =
        known.filter_map(|(entry, _)| Some((entry.host.clone(), peer::address(entry)?)));
    addressed.collect()
}

/// Returns the decisions of all nodes on a request, oldest first.
pub(crate) async fn explain(shared: &Arc<Shared>, id: Id) -> Value {
    let own: Vec<Entry> = shared.tables.journal.lock().entries(id).to_vec();
    let mut entries: Vec<_> = own
        .into_iter()
        .map(|entry| (shared.host.clone(), entry))
        .collect();
    for (host, address) in other_members(shared) {
        if let Ok(Frame::Entries(received)) = shared.peers.call(address, &Frame::Explain(id)).await
        {
            entries.extend(received.into_iter().map(|entry| (host.clone(), entry)));
        }
    }
    entries.sort_by_key(|(_, entry)| entry.at);
    let first = entries
        .first()
        .map(|(_, entry)| entry.at)
        .unwrap_or_default();
    let decisions: Vec<_> = entries
        .iter()
        .map(|(host, entry)| {
            json!({
                "host": host,
                "after_ms": entry.at.since(first).as_millis(),
                "event": entry.event,
                "reason": entry.reason,
            })
        })
        .collect();
    json!({ "request": id.to_string(), "decisions": decisions })
}
