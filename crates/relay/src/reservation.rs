//! Reserves memory at helpers for prompts that do not fit into one engine.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use kernel::catalogue::{Entry, Identity};
use kernel::name::Service;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::adapter::{Error, Helper, Memory, Reply};
use crate::notice::Notices;
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
    /// Reserves or renews for `ttl`; returns whether the engine confirmed it in time.
    async fn reserve(&self, commands: &Commands, ttl: Duration) -> bool {
        let request = commands
            .memory
            .reserve(&self.entry, &self.ticket, self.tokens, ttl);
        let outcome = commands.run(&self.entry, request).await;
        let reserved = outcome.is_ok();
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

    async fn release(&self, commands: &Commands) {
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            let request = commands.memory.release(&self.entry, &self.ticket);
            if commands.run(&self.entry, request).await.is_ok() {
                return;
            }
            if commands.backoff(&self.entry).is_some() {
                break;
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

/// Sends commands to engines and applies what the engines announce in their replies.
#[derive(Clone)]
struct Commands {
    memory: Arc<dyn Memory>,
    notices: Arc<Notices>,
}

impl Commands {
    async fn run(&self, engine: &Entry, command: impl Future<Output = Reply>) -> Result<(), Error> {
        let sent_at = self.notices.clock.now();
        let Ok(reply) = timeout(ENGINE_TIMEOUT, command).await else {
            return Err(Error::Uncertain("no answer in time".to_owned()));
        };
        self.notices.apply(engine, reply.notice, sent_at);
        reply.result
    }

    /// Returns the rest of the time for which an engine wants no requests, if any.
    fn backoff(&self, engine: &Entry) -> Option<Duration> {
        let placer = &self.notices.placer;
        placer.backoff(&engine.service, engine.identity())
    }
}

/// The reservations of one attempt. They are renewed until this is dropped, then released.
pub(crate) struct Reservations {
    renewals: Vec<AbortHandle>,
    requested: Vec<Reservation>,
    commands: Commands,
}

impl Drop for Reservations {
    fn drop(&mut self) {
        for task in &self.renewals {
            task.abort();
        }
        let reservations = std::mem::take(&mut self.requested);
        if !reservations.is_empty() {
            let commands = self.commands.clone();
            tokio::spawn(async move {
                let releases = reservations
                    .iter()
                    .map(|reservation| reservation.release(&commands));
                join_all(releases).await;
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
    let commands = Commands {
        memory: Arc::clone(&pipeline.memory),
        notices: Arc::clone(&pipeline.notices),
    };
    let mut reservations = Reservations {
        renewals: Vec::new(),
        requested: Vec::new(),
        commands: commands.clone(),
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
            if !reservation.reserve(&commands, RESERVATION_TTL).await {
                return Err(part.engine);
            }
            let task = tokio::spawn(renew(commands.clone(), reservation));
            reservations.renewals.push(task.abort_handle());
        }
    }
    Ok((reservations, helpers))
}

/// Renews one reservation until its task is aborted. Each reservation has a task of its own, so
/// that an unresponsive engine does not delay the others.
///
/// An engine that wants no requests for a while gets a single renewal that lasts that long.
async fn renew(commands: Commands, reservation: Reservation) {
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        let backoff = commands.backoff(&reservation.entry).unwrap_or_default();
        reservation
            .reserve(&commands, RESERVATION_TTL + backoff)
            .await;
        tokio::time::sleep(backoff).await;
    }
}
