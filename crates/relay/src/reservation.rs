//! Memory that helpers hold for a prompt which one engine cannot hold.

use std::sync::Arc;
use std::time::Duration;

use kernel::catalogue::{Entry, Identity};
use kernel::name::Service;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::border::{Helper, Memory};
use crate::observe;
use crate::pipeline::Pipeline;
use crate::placer::Place;

/// Time for which memory is reserved; a host that dies leaves it for no longer.
const HOLD: Duration = Duration::from_secs(3);
/// Time between two renewals.
const RENEW: Duration = Duration::from_millis(900);
/// Longest wait for an engine's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Times that a release is tried; afterwards the reservation lapses by itself.
const RELEASES: u32 = 3;

/// The reservations of one run, renewed until they are dropped and then released.
pub(crate) struct Reservations {
    renewing: Option<AbortHandle>,
    held: Vec<(Entry, String)>,
    memory: Arc<dyn Memory>,
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if let Some(task) = &self.renewing {
            task.abort();
        }
        if !self.held.is_empty() {
            let held = std::mem::take(&mut self.held);
            tokio::spawn(release(Arc::clone(&self.memory), held));
        }
    }
}

/// Reserves what a plan asks for, and names the helpers for the request.
///
/// Fails with the engine that could not reserve, or that is gone.
pub(crate) async fn make(
    pipeline: &Pipeline,
    service: &Service,
    place: &Place,
) -> Result<(Reservations, Vec<Helper>), Identity> {
    let mut reservations = Reservations {
        renewing: None,
        held: Vec::new(),
        memory: Arc::clone(&pipeline.memory),
    };
    let mut helpers = Vec::with_capacity(place.plan.helpers.len());
    let mut renewals = Vec::new();
    for (index, part) in place.plan.helpers.iter().enumerate() {
        let entry = pipeline.known.endpoint(service, part.engine);
        let entry = entry.ok_or(part.engine)?;
        let mut ticket = None;
        if part.reserve > 0 {
            let name = place.ticket(index);
            reservations.held.push((entry.clone(), name.clone()));
            let order = pipeline.memory.reserve(&entry, &name, part.reserve, HOLD);
            let reserved = timeout(ORDER_TIMEOUT, order).await;
            observe::reservation(if matches!(reserved, Ok(Ok(()))) {
                "made"
            } else {
                "refused"
            });
            if !matches!(reserved, Ok(Ok(()))) {
                log::info!(
                    "event=not_reserved engine={} ticket={name} tokens={} outcome={reserved:?}",
                    entry.name,
                    part.reserve
                );
                return Err(part.engine);
            }
            renewals.push((entry.clone(), name.clone(), part.reserve));
            ticket = Some(name);
        }
        helpers.push(Helper {
            address: entry.address,
            ticket,
        });
    }
    if !renewals.is_empty() {
        let task = tokio::spawn(renew(Arc::clone(&pipeline.memory), renewals));
        reservations.renewing = Some(task.abort_handle());
    }
    Ok((reservations, helpers))
}

async fn renew(memory: Arc<dyn Memory>, held: Vec<(Entry, String, u64)>) {
    loop {
        tokio::time::sleep(RENEW).await;
        for (entry, ticket, tokens) in &held {
            let order = memory.reserve(entry, ticket, *tokens, HOLD);
            if !matches!(timeout(ORDER_TIMEOUT, order).await, Ok(Ok(()))) {
                observe::reservation("not_renewed");
                log::warn!("event=not_renewed engine={} ticket={ticket}", entry.name);
            }
        }
    }
}

async fn release(memory: Arc<dyn Memory>, held: Vec<(Entry, String)>) {
    for (entry, ticket) in held {
        let mut released = false;
        for _ in 0..RELEASES {
            let order = memory.release(&entry, &ticket);
            released = matches!(timeout(ORDER_TIMEOUT, order).await, Ok(Ok(())));
            if released {
                break;
            }
        }
        if !released {
            observe::reservation("not_released");
            let engine = &entry.name;
            log::warn!(
                "event=not_released engine={engine} ticket={ticket} reason=\"lapses by itself\""
            );
        }
    }
}
