//! Reserves memory at helpers for prompts that do not fit into one engine.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use kernel::catalogue::{Entry, Identity};
use kernel::name::Service;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::adapter::{Helper, Memory};
use crate::observe;
use crate::pipeline::Pipeline;
use crate::placer::Placement;

/// Time to live of a reservation, which also bounds how long it outlives a crashed host.
const RESERVATION_TTL: Duration = Duration::from_secs(3);
/// Time between two renewals of a reservation.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);
/// Longest wait for an engine's response to a reserve or release request.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempts to release a reservation. After the last one it expires by itself.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// A requested reservation, whether or not the engine made it.
#[derive(Clone)]
struct Reservation {
    entry: Entry,
    ticket: String,
    tokens: u64,
}

impl Reservation {
    /// Reserves or renews; returns whether the engine confirmed it in time.
    async fn reserve(&self, memory: &dyn Memory) -> bool {
        let request = memory.reserve(&self.entry, &self.ticket, self.tokens, RESERVATION_TTL);
        let outcome = timeout(ENGINE_TIMEOUT, request).await;
        let reserved = matches!(outcome, Ok(Ok(())));
        observe::count_reservation(if reserved { "made" } else { "refused" });
        if !reserved {
            log::info!(
                "event=not_reserved engine={} ticket={} tokens={} outcome={outcome:?}",
                self.entry.name,
                self.ticket,
                self.tokens
            );
        }
        reserved
    }

    async fn release(&self, memory: &dyn Memory) {
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            let request = memory.release(&self.entry, &self.ticket);
            if matches!(timeout(ENGINE_TIMEOUT, request).await, Ok(Ok(()))) {
                return;
            }
        }
        observe::count_reservation("not_released");
        log::warn!(
            "event=not_released engine={} ticket={} reason=\"expires by itself\"",
            self.entry.name,
            self.ticket
        );
    }
}

/// The reservations of one attempt. They are renewed until this is dropped, then released.
pub(crate) struct Reservations {
    renewals: Vec<AbortHandle>,
    requested: Vec<Reservation>,
    memory: Arc<dyn Memory>,
}

impl Drop for Reservations {
    fn drop(&mut self) {
        for task in &self.renewals {
            task.abort();
        }
        let reservations = std::mem::take(&mut self.requested);
        if !reservations.is_empty() {
            let memory = Arc::clone(&self.memory);
            tokio::spawn(async move {
                join_all(
                    reservations
                        .iter()
                        .map(|reservation| reservation.release(&*memory)),
                )
                .await;
            });
        }
    }
}

/// Reserves the memory that a plan needs and returns the helpers for the request.
///
/// Reserves at one engine after another, in the order of the plan. If two requests compete for the
/// same engines, one of them fails at the first engine. Concurrent reservations could make both
/// fail.
///
/// # Errors
///
/// Returns the engine that did not confirm its reservation or is gone.
pub(crate) async fn reserve_all(
    pipeline: &Pipeline,
    service: &Service,
    placement: &Placement,
) -> Result<(Reservations, Vec<Helper>), Identity> {
    let mut reservations = Reservations {
        renewals: Vec::new(),
        requested: Vec::new(),
        memory: Arc::clone(&pipeline.memory),
    };
    let mut helpers = Vec::with_capacity(placement.plan.helpers.len());
    for (index, part) in placement.plan.helpers.iter().enumerate() {
        let entry = pipeline.registry.endpoint(service, part.engine);
        let entry = entry.ok_or(part.engine)?;
        let ticket = (part.reserved_tokens > 0).then(|| placement.reservation_ticket(index));
        helpers.push(Helper {
            address: entry.address,
            ticket: ticket.clone(),
        });
        if let Some(ticket) = ticket {
            let reservation = Reservation {
                entry,
                ticket,
                tokens: part.reserved_tokens,
            };
            // Recorded before the request is sent, so that it is released however this ends.
            reservations.requested.push(reservation.clone());
            if !reservation.reserve(&*pipeline.memory).await {
                return Err(part.engine);
            }
            let task = tokio::spawn(renew(Arc::clone(&pipeline.memory), reservation));
            reservations.renewals.push(task.abort_handle());
        }
    }
    Ok((reservations, helpers))
}

/// Renews one reservation until its task is aborted. Each reservation has a task of its own, so
/// that an unresponsive engine does not delay the others.
async fn renew(memory: Arc<dyn Memory>, reservation: Reservation) {
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        reservation.reserve(&*memory).await;
    }
}
