//! Memory that helpers hold for a prompt which one engine cannot hold.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
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

/// A reservation that was asked for, whether or not it was made.
#[derive(Clone)]
struct Order {
    entry: Entry,
    ticket: String,
    tokens: u64,
}

impl Order {
    /// Reserves or renews; returns whether the engine said so in time.
    async fn reserve(&self, memory: &dyn Memory) -> bool {
        let order = memory.reserve(&self.entry, &self.ticket, self.tokens, HOLD);
        let reserved = timeout(ORDER_TIMEOUT, order).await;
        let made = matches!(reserved, Ok(Ok(())));
        observe::reservation(if made { "made" } else { "refused" });
        if !made {
            log::info!(
                "event=not_reserved engine={} ticket={} tokens={} outcome={reserved:?}",
                self.entry.name,
                self.ticket,
                self.tokens
            );
        }
        made
    }

    async fn release(&self, memory: &dyn Memory) {
        for _ in 0..RELEASES {
            let order = memory.release(&self.entry, &self.ticket);
            if matches!(timeout(ORDER_TIMEOUT, order).await, Ok(Ok(()))) {
                return;
            }
        }
        observe::reservation("not_released");
        log::warn!(
            "event=not_released engine={} ticket={} reason=\"lapses by itself\"",
            self.entry.name,
            self.ticket
        );
    }
}

/// The reservations of one run, renewed until they are dropped and then released.
pub(crate) struct Reservations {
    renewing: Vec<AbortHandle>,
    orders: Vec<Order>,
    memory: Arc<dyn Memory>,
}

impl Drop for Reservations {
    fn drop(&mut self) {
        for task in &self.renewing {
            task.abort();
        }
        let orders = std::mem::take(&mut self.orders);
        if !orders.is_empty() {
            let memory = Arc::clone(&self.memory);
            tokio::spawn(async move {
                join_all(orders.iter().map(|order| order.release(&*memory))).await;
            });
        }
    }
}

/// Reserves what a plan asks for, and names the helpers for the request.
///
/// One engine after another, in the order of the plan: of two requests that want the same engines
/// one fails at the first of them, where orders given at once would let both fail.
///
/// Fails with an engine that could not reserve, or that is gone.
pub(crate) async fn make(
    pipeline: &Pipeline,
    service: &Service,
    place: &Place,
) -> Result<(Reservations, Vec<Helper>), Identity> {
    let mut reservations = Reservations {
        renewing: Vec::new(),
        orders: Vec::new(),
        memory: Arc::clone(&pipeline.memory),
    };
    let mut helpers = Vec::with_capacity(place.plan.helpers.len());
    for (index, part) in place.plan.helpers.iter().enumerate() {
        let entry = pipeline.known.endpoint(service, part.engine);
        let entry = entry.ok_or(part.engine)?;
        let ticket = (part.reserved_tokens > 0).then(|| place.ticket(index));
        helpers.push(Helper {
            address: entry.address,
            ticket: ticket.clone(),
        });
        if let Some(ticket) = ticket {
            let order = Order {
                entry,
                ticket,
                tokens: part.reserved_tokens,
            };
            // Whatever was ordered is released, however this ends.
            reservations.orders.push(order.clone());
            if !order.reserve(&*pipeline.memory).await {
                return Err(part.engine);
            }
            let task = tokio::spawn(renew(Arc::clone(&pipeline.memory), order));
            reservations.renewing.push(task.abort_handle());
        }
    }
    Ok((reservations, helpers))
}

/// Renews one reservation for ever; none waits for another, which may be at a silent engine.
async fn renew(memory: Arc<dyn Memory>, order: Order) {
    loop {
        tokio::time::sleep(RENEW).await;
        order.reserve(&*memory).await;
    }
}
