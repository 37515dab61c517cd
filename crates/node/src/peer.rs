//! Calls to other nodes, and the answers to theirs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::membership;
use kernel::outcome::Refusal;
use parking_lot::Mutex;
use rand::RngCore;
use tokio::net::{TcpListener, TcpStream};
use wire::stream::Connection;
use wire::{Error, Frame};

use crate::shared::{Network, Shared};
use crate::{call, deferred, dispatch, limits, serve, status};

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a short call.
const LIMIT: Duration = Duration::from_secs(1);
/// Idle connections kept for one node.
const IDLE_CONNECTIONS: usize = 32;
/// How long a connection may stay open between two calls.
const IDLE_TIME: Duration = Duration::from_mins(1);

/// Connections to other nodes.
pub(crate) struct Peers {
    key: Vec<u8>,
    network: Arc<dyn Network>,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl Peers {
    pub fn new(key: &str, network: Arc<dyn Network>) -> Self {
        Self {
            key: key.as_bytes().to_vec(),
            network,
            idle: Mutex::default(),
        }
    }

    /// A connection to `address`, made now.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let socket = tokio::time::timeout(CONNECT, self.network.connect(address)).await;
        let socket = socket
            .map_err(|_| Error::Unreachable("no connection in time".to_owned()))?
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        Connection::start(socket, &self.key, nonce()).await
    }

    /// Sends a frame and returns the answer, over an idle connection where there is one.
    pub async fn ask(&self, address: SocketAddr, frame: &Frame) -> Result<Frame, Error> {
        let idle = self.idle.lock().get_mut(&address).and_then(Vec::pop);
        if let Some(connection) = idle {
            match self.exchange(address, connection, frame).await {
                Err(Error::Closed) => {}
                Err(error) => {
                    // What lost track of one connection may have lost track of the others.
                    self.idle.lock().remove(&address);
                    if error != Error::Silent {
                        return Err(error);
                    }
                }
                answer => return answer,
            }
        }
        let connection = self.connect(address).await?;
        self.exchange(address, connection, frame).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        frame: &Frame,
    ) -> Result<Frame, Error> {
        connection.send(frame).await?;
        let answer = connection.receive(LIMIT).await?;
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_CONNECTIONS {
            connections.push(connection);
        }
        Ok(answer)
    }
}

/// The address of a member.
pub(crate) fn address(entry: &membership::Entry) -> Option<SocketAddr> {
    entry.address.parse().ok()
}

fn nonce() -> [u8; 16] {
    use rand::SeedableRng;
    let mut nonce = [0; 16];
    rand::rngs::StdRng::from_os_rng().fill_bytes(&mut nonce);
    nonce
}

/// Takes connections of other nodes until the task is dropped.
pub(crate) async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    const ACCEPT_RETRY: Duration = Duration::from_millis(50);
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::spawn(converse(Arc::clone(&shared), socket));
            }
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn converse(shared: Arc<Shared>, socket: TcpStream) {
    let key = shared.settings.fleet_key.as_bytes();
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let Ok(mut connection) = Connection::start(Box::new(socket), key, nonce()).await else {
        return;
    };
    loop {
        let frame = match connection.receive(IDLE_TIME).await {
            Ok(frame) => frame,
            Err(Error::Forged) => {
                log::warn!("event=frame_forged remedy=\"give all nodes the same fleet_key\"");
                return;
            }
            Err(_) => return,
        };
        let next = match frame {
            Frame::Ticket(job) => dispatch::serve_ticket(&shared, &mut connection, *job).await,
            Frame::Forward(forward) => {
                serve::serve_forward(&shared, &mut connection, *forward).await
            }
            frame => answer(&shared, &mut connection, frame).await,
        };
        if next.is_err() {
            return;
        }
    }
}

/// Answers a short call.
async fn answer(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    frame: Frame,
) -> Result<(), Error> {
    let answer = match frame {
        Frame::Call(call) => call::serve(shared, *call).await,
        Frame::Borrow(borrow) => Frame::Lent(limits::lend(shared, &borrow)),
        Frame::Lists(newer_than) => Frame::State(state(shared, newer_than)),
        Frame::Explain(id) => Frame::Entries(shared.tables.journal.lock().entries(id).to_vec()),
        Frame::Status => Frame::Report(status::own(shared).to_string()),
        Frame::Keep(kept) => {
            if deferred::save(shared, *kept) {
                Frame::Ack
            } else {
                Frame::Refused(Refusal::Overloaded(deferred::REPLICA_CHECK_INTERVAL))
            }
        }
        Frame::Fetch(id) => Frame::Deferred(deferred::find(shared, id).map(Box::new)),
        _ => {
            let what = "the frame is not a request".to_owned();
            let remedy = "run the same version on all nodes".to_owned();
            let refusal = Refusal::Invalid(what, remedy);
            Frame::Refused(refusal)
        }
    };
    connection.send(&answer).await
}

/// The folded lists, if they are newer than `newer_than`.
fn state(shared: &Shared, newer_than: u64) -> Option<String> {
    let fold = shared.tables.fold.lock();
    let newer = fold.state().next > newer_than;
    newer.then(|| serde_json::to_string(fold.state()).ok())?
}
