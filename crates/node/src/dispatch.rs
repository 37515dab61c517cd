//! Tickets: how a request at any node of a failure domain gets an engine.
//!
//! One node of the domain owns the pool of a model. It alone grants engines, so there is one queue
//! in the domain and no engine idles while a request waits at another node. A ticket is a
//! connection to the owner: it ends the wait or the flight when it is closed. When the owner dies,
//! the request is still at its own node and takes a new ticket at the next owner.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::membership;
use kernel::outcome::Refusal;
use kernel::prelude::*;
use kernel::request::Attempt;
use kernel::schedule::{Grant, Job, Pool};
use tokio::sync::oneshot;
use wire::stream::Connection;
use wire::{Error, Frame};

use crate::invariant;
use crate::peer;
use crate::shared::Shared;
use crate::tables::Slot;

/// Time between two signs of life to a waiting ticket.
const WAITING: Duration = Duration::from_millis(400);
/// Silence after which a ticket's owner counts as lost.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time between two grants that only the passing of time makes possible.
const PUMP: Duration = Duration::from_millis(2);

/// The right to run a granted attempt; ends the flight when it is dropped.
pub(crate) enum Ticket {
    Local(Local),
    Remote(Box<Connection>),
}

impl Ticket {
    /// Tells the owner of the pool that the first token arrived.
    pub async fn first_token(&mut self) {
        match self {
            Self::Local(ticket) => ticket.first_token(),
            Self::Remote(connection) => {
                // A lost owner learns nothing more; the next one reads the engine's report.
                let _ = connection.send(&Frame::FirstToken).await;
            }
        }
    }
}

/// A ticket of the pool that this node owns.
pub(crate) struct Local {
    shared: Arc<Shared>,
    model: Model,
    attempt: Attempt,
}

impl Local {
    fn first_token(&self) {
        let now = self.shared.now();
        if let Some(slot) = self.shared.tables.pools.lock().get_mut(&self.model) {
            slot.pool.record_first_token(now, self.attempt);
        }
        self.shared.pumping.notify_one();
    }
}

impl Drop for Local {
    fn drop(&mut self) {
        let now = self.shared.now();
        if let Some(slot) = self.shared.tables.pools.lock().get_mut(&self.model) {
            slot.waiters.remove(&self.attempt);
            slot.pool.end(now, self.attempt);
        }
        self.shared.pumping.notify_one();
    }
}

/// Why a ticket brought no grant.
#[derive(Debug)]
pub(crate) enum Denied {
    /// The pool refused the job.
    Refused(Refusal),
    /// The owner was lost; another may have taken over.
    OwnerLost,
}

/// The key under which the owner of a model's pool is found.
pub(crate) fn pool_key(model: &Model) -> String {
    format!("pool/{model}")
}

/// Waits for an engine.
pub(crate) async fn request(shared: &Arc<Shared>, job: Job) -> Result<(Grant, Ticket), Denied> {
    let owner = {
        let now = shared.now();
        let members = shared.tables.members.lock();
        members.owner(now, &pool_key(&job.model)).clone()
    };
    if owner.host == shared.host {
        let (grant, ticket) = request_here(shared, job).await?;
        return Ok((grant, Ticket::Local(ticket)));
    }
    request_there(shared, &owner, job).await
}

async fn request_here(shared: &Arc<Shared>, job: Job) -> Result<(Grant, Local), Denied> {
    let (receiver, ticket) = enqueue(shared, job).map_err(Denied::Refused)?;
    let grant = receiver.await.map_err(|_| Denied::OwnerLost)?;
    Ok((grant, ticket))
}

fn enqueue(shared: &Arc<Shared>, job: Job) -> Result<(oneshot::Receiver<Grant>, Local), Refusal> {
    let (sender, receiver) = oneshot::channel();
    let ticket = Local {
        shared: Arc::clone(shared),
        model: job.model.clone(),
        attempt: job.attempt,
    };
    {
        let now = shared.now();
        let mut pools = shared.tables.pools.lock();
        let slot = slot(shared, &mut pools, &job.model);
        let attempt = job.attempt;
        slot.pool.enqueue(now, job)?;
        slot.waiters.insert(attempt, sender);
    }
    grant(shared);
    Ok((receiver, ticket))
}

/// The slot of a model's pool, made when it is first needed.
pub(crate) fn slot<'a>(
    shared: &Shared,
    pools: &'a mut BTreeMap<Model, Slot>,
    model: &Model,
) -> &'a mut Slot {
    pools.entry(model.clone()).or_insert_with(|| Slot {
        pool: Pool::new(shared.settings.schedule()),
        waiters: BTreeMap::new(),
    })
}

async fn request_there(
    shared: &Arc<Shared>,
    owner: &membership::Entry,
    job: Job,
) -> Result<(Grant, Ticket), Denied> {
    let address = peer::address(owner).ok_or(Denied::OwnerLost)?;
    let mut connection = shared
        .peers
        .connect(address)
        .await
        .map_err(|_| Denied::OwnerLost)?;
    let sent = connection.send(&Frame::Ticket(Box::new(job))).await;
    sent.map_err(|_| Denied::OwnerLost)?;
    loop {
        match connection.receive(SILENCE).await {
            Ok(Frame::Waiting) => {}
            Ok(Frame::Grant(grant)) => return Ok((grant, Ticket::Remote(Box::new(connection)))),
            Ok(Frame::Refused(refusal)) => return Err(Denied::Refused(refusal)),
            Ok(_) | Err(_) => return Err(Denied::OwnerLost),
        }
    }
}

/// Serves the ticket of another node until it ends.
pub(crate) async fn serve_ticket(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    job: Job,
) -> Result<(), Error> {
    let (mut granted, ticket) = match enqueue(shared, job) {
        Ok(waiting) => waiting,
        Err(refusal) => {
            connection.send(&Frame::Refused(refusal)).await?;
            return Err(Error::Closed);
        }
    };
    loop {
        tokio::select! {
            grant = &mut granted => {
                let grant = grant.map_err(|_| Error::Closed)?;
                connection.send(&Frame::Grant(grant)).await?;
                break;
            }
            // Nothing is sent while a ticket waits, so whatever arrives here ends it.
            frame = connection.receive(WAITING) => match frame {
                Err(Error::TimedOut) => connection.send(&Frame::Waiting).await?,
                Ok(_) | Err(_) => return Err(Error::Closed),
            },
        }
    }
    loop {
        const LONGEST_FLIGHT: Duration = Duration::from_hours(1);
        match connection.receive(LONGEST_FLIGHT).await? {
            Frame::FirstToken => ticket.first_token(),
            _ => return Err(Error::Closed),
        }
    }
}

/// Grants what can be granted now.
fn grant(shared: &Shared) {
    let now = shared.now();
    let mut pools = shared.tables.pools.lock();
    for slot in pools.values_mut() {
        for grant in slot.pool.assign(now) {
            let attempt = grant.attempt;
            let sender = slot.waiters.remove(&attempt);
            if sender.is_none_or(|sender| sender.send(grant).is_err()) {
                slot.pool.end(now, attempt);
            }
        }
        let violation = slot.pool.violation();
        invariant::check(violation.is_none(), || {
            violation.unwrap_or_default().to_owned()
        });
    }
}

/// Grants engines as they become free, until the task is dropped.
pub(crate) async fn pump(shared: Arc<Shared>) {
    loop {
        let waiting = {
            let pools = shared.tables.pools.lock();
            pools.values().any(|slot| slot.pool.waiting() > 0)
        };
        if waiting {
            // The passing of time alone may free an engine's window.
            let _ = tokio::time::timeout(PUMP, shared.pumping.notified()).await;
        } else {
            shared.pumping.notified().await;
        }
        grant(&shared);
    }
}
