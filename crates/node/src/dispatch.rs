//! Tickets, with which a request at any node of a failure domain gets an engine.
//!
//! One node of the domain owns the pool of a model, and only the owner grants the pool's engines.
//! The domain therefore has a single queue for the model, and no engine is idle while a request
//! waits at another node. A ticket is an entry in this queue and, after the grant, the right to run
//! the attempt. At any node but the owner, it is a connection to the owner. Closing the connection
//! removes the request from the queue or ends the attempt. If the owner dies, the request is still
//! at its own node, which requests a new ticket from the next owner.

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
use crate::tables::LocalPool;

/// Interval between keepalive frames to a waiting ticket.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a frame after which the owner of the pool counts as lost.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time between two rounds of grants while requests wait.
const GRANT_INTERVAL: Duration = Duration::from_millis(2);

/// The right to run a granted attempt. Dropping it ends the attempt in the pool.
pub(crate) enum Ticket {
    Local(Local),
    Remote(Box<Connection>),
}

impl Ticket {
    /// Reports the arrival of the first token to the owner of the pool.
    pub async fn record_first_token(&mut self) {
        match self {
            Self::Local(ticket) => ticket.record_first_token(),
            Self::Remote(connection) => {
                // If the owner is lost, the next owner reads the engine's report instead.
                let _ = connection.send(&Frame::FirstToken).await;
            }
        }
    }
}

/// A ticket of a pool that this node owns.
pub(crate) struct Local {
    shared: Arc<Shared>,
    model: Model,
    attempt: Attempt,
}

impl Local {
    fn record_first_token(&self) {
        let now = self.shared.now();
        if let Some(local) = self.shared.tables.pools.lock().get_mut(&self.model) {
            local.pool.record_first_token(now, self.attempt);
        }
        self.shared.grant_notify.notify_one();
    }
}

impl Drop for Local {
    fn drop(&mut self) {
        let now = self.shared.now();
        if let Some(local) = self.shared.tables.pools.lock().get_mut(&self.model) {
            local.waiters.remove(&self.attempt);
            local.pool.end(now, self.attempt);
        }
        self.shared.grant_notify.notify_one();
    }
}

/// The reason why a request got no grant.
#[derive(Debug)]
pub(crate) enum Denial {
    /// The pool refused the job.
    Refused(Refusal),
    /// The owner was lost; another node may own the pool now.
    OwnerLost,
}

/// Returns the key that selects the owner of the pool of `model`.
pub(crate) fn pool_key(model: &Model) -> String {
    format!("pool/{model}")
}

/// Requests an engine from the owner of the pool and waits for the grant.
pub(crate) async fn request_grant(
    shared: &Arc<Shared>,
    job: Job,
) -> Result<(Grant, Ticket), Denial> {
    let owner = {
        let now = shared.now();
        let members = shared.tables.members.lock();
        members.owner(now, &pool_key(&job.model)).clone()
    };
    if owner.host == shared.host {
        let (grant, ticket) = request_local(shared, job).await?;
        return Ok((grant, Ticket::Local(ticket)));
    }
    request_remote(shared, &owner, job).await
}

async fn request_local(shared: &Arc<Shared>, job: Job) -> Result<(Grant, Local), Denial> {
    let (receiver, ticket) = enqueue(shared, job).map_err(Denial::Refused)?;
    let grant = receiver.await.map_err(|_| Denial::OwnerLost)?;
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
        let local = local_pool(shared, &mut pools, &job.model);
        let attempt = job.attempt;
        local.pool.enqueue(now, job)?;
        local.waiters.insert(attempt, sender);
    }
    grant_ready(shared);
    Ok((receiver, ticket))
}

/// Returns the pool of `model` at this node, and creates it on first use.
pub(crate) fn local_pool<'a>(
    shared: &Shared,
    pools: &'a mut BTreeMap<Model, LocalPool>,
    model: &Model,
) -> &'a mut LocalPool {
    pools.entry(model.clone()).or_insert_with(|| LocalPool {
        pool: Pool::new(shared.settings.schedule()),
        waiters: BTreeMap::new(),
    })
}

async fn request_remote(
    shared: &Arc<Shared>,
    owner: &membership::Entry,
    job: Job,
) -> Result<(Grant, Ticket), Denial> {
    let address = peer::address(owner).ok_or(Denial::OwnerLost)?;
    let mut connection = shared
        .peers
        .connect(address)
        .await
        .map_err(|_| Denial::OwnerLost)?;
    let sent = connection.send(&Frame::Ticket(Box::new(job))).await;
    sent.map_err(|_| Denial::OwnerLost)?;
    loop {
        match connection.receive(OWNER_TIMEOUT).await {
            Ok(Frame::Waiting) => {}
            Ok(Frame::Grant(grant)) => return Ok((grant, Ticket::Remote(Box::new(connection)))),
            Ok(Frame::Refused(refusal)) => return Err(Denial::Refused(refusal)),
            Ok(_) | Err(_) => return Err(Denial::OwnerLost),
        }
    }
}

/// Serves a ticket of another node until the ticket ends.
pub(crate) async fn serve_ticket(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    job: Job,
) -> Result<(), Error> {
    let (mut receiver, ticket) = match enqueue(shared, job) {
        Ok(waiting) => waiting,
        Err(refusal) => {
            connection.send(&Frame::Refused(refusal)).await?;
            return Err(Error::Closed);
        }
    };
    loop {
        tokio::select! {
            grant = &mut receiver => {
                let grant = grant.map_err(|_| Error::Closed)?;
                connection.send(&Frame::Grant(grant)).await?;
                break;
            }
            // The other node sends nothing while its ticket waits, so any frame ends the ticket.
            frame = connection.receive(KEEPALIVE_INTERVAL) => match frame {
                Err(Error::TimedOut) => connection.send(&Frame::Waiting).await?,
                Ok(_) | Err(_) => return Err(Error::Closed),
            },
        }
    }
    loop {
        const MAX_ATTEMPT_DURATION: Duration = Duration::from_hours(1);
        match connection.receive(MAX_ATTEMPT_DURATION).await? {
            Frame::FirstToken => ticket.record_first_token(),
            _ => return Err(Error::Closed),
        }
    }
}

/// Grants all engines that are available now to the waiting requests of each pool.
fn grant_ready(shared: &Shared) {
    let now = shared.now();
    let mut pools = shared.tables.pools.lock();
    for local in pools.values_mut() {
        // The engines of a request that has left go to the next one.
        while !grant_round(local, now) {}
        let violation = local.pool.violation();
        invariant::check(violation.is_none(), || {
            violation.unwrap_or_default().to_owned()
        });
    }
}

/// Grants the engines of one pool that are available; returns false if a request had left before it got
/// its grant, which is taken back.
fn grant_round(local: &mut LocalPool, now: Instant) -> bool {
    let mut complete = true;
    for grant in local.pool.assign(now) {
        let attempt = grant.attempt;
        let sender = local.waiters.remove(&attempt);
        if sender.is_none_or(|sender| sender.send(grant).is_err()) {
            local.pool.end(now, attempt);
            complete = false;
        }
    }
    complete
}

/// Grants engines as they become available. Never returns.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let waiting = {
            let pools = shared.tables.pools.lock();
            pools.values().any(|local| local.pool.waiting() > 0)
        };
        if waiting {
            // An engine's window can gain room by elapsed time alone, without a notification.
            let _ = tokio::time::timeout(GRANT_INTERVAL, shared.grant_notify.notified()).await;
        } else {
            shared.grant_notify.notified().await;
        }
        grant_ready(&shared);
    }
}
