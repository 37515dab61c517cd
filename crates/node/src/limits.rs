//! Plan limits at this node, and loans of limits between nodes.

use std::sync::Arc;

use kernel::outcome::Refusal;
use kernel::prelude::*;
use kernel::share::{Cost, Limit};
use rand::seq::SliceRandom;
use wire::{Borrow, Frame};

use crate::peer;
use crate::shared::Shared;

/// Maximum number of nodes that are asked for a loan before a request is refused.
const MAX_LENDERS: usize = 4;

/// Permission to run one request within its workspace's limits, released when dropped.
pub(crate) struct Permit {
    shared: Arc<Shared>,
    workspace: Workspace,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.tables.limiter.lock().release(&self.workspace);
    }
}

/// Charges `cost` to the limits of `workspace`, with loans from other nodes if this node's share is
/// used up.
///
/// Fails with `Unauthorized` if the workspace has no plan, and with `Limited` if a limit is still
/// reached after the loans.
pub(crate) async fn acquire(
    shared: &Arc<Shared>,
    workspace: &Workspace,
    cost: Cost,
) -> Result<Permit, Refusal> {
    let lists = shared.tables.lists();
    let plan = lists.plan(workspace).ok_or(Refusal::Unauthorized)?;
    let try_acquire = || {
        let now = shared.now();
        shared
            .tables
            .limiter
            .lock()
            .acquire(now, workspace, plan, cost)
    };
    let permit = || Permit {
        shared: Arc::clone(shared),
        workspace: workspace.clone(),
    };
    let Err((limit, mut refusal)) = try_acquire() else {
        return Ok(permit());
    };
    for lender in lenders(shared) {
        let requested_at = shared.now();
        let borrow = Borrow {
            workspace: workspace.clone(),
            limit,
        };
        let response = shared.peers.call(lender, &Frame::Borrow(borrow)).await;
        let Ok(Frame::Lent(amount)) = response else {
            continue;
        };
        if amount <= 0.0 {
            continue;
        }
        let now = shared.now();
        shared
            .tables
            .limiter
            .lock()
            .borrow(requested_at, now, workspace, plan, (limit, amount));
        match try_acquire() {
            Ok(()) => return Ok(permit()),
            Err((_, latest)) => refusal = latest,
        }
    }
    Err(refusal)
}

fn lenders(shared: &Shared) -> Vec<std::net::SocketAddr> {
    let now = shared.now();
    let mut others: Vec<_> = {
        let members = shared.tables.members.lock();
        members
            .live(now)
            .into_iter()
            .skip(1)
            .filter_map(peer::address)
            .collect()
    };
    shared.with_random(|random| others.shuffle(random));
    others.truncate(MAX_LENDERS);
    others
}

/// Lends unused capacity of a limit; returns the lent amount, or 0 if there is none.
pub(crate) fn lend(shared: &Shared, borrow: &Borrow) -> f64 {
    let lists = shared.tables.lists();
    let Some(plan) = lists.plan(&borrow.workspace) else {
        return 0.0;
    };
    let limit: Limit = borrow.limit;
    let now = shared.now();
    shared
        .tables
        .limiter
        .lock()
        .lend(now, &borrow.workspace, plan, limit)
}
