//! Connections between nodes, and short calls over them: one frame and its response.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::membership;
use kernel::outcome::Refusal;
use parking_lot::Mutex;
use rand::RngCore;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use wire::stream::Connection;
use wire::{Error, Frame};

use crate::connection::Connections;
use crate::shared::{Exchange, Network, Shared};
use crate::{call, connection, deferred, dispatch, limits, serve, status};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the response to a short call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections that are kept for one node.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Time without a frame after which an accepted connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Time in which the first frame of an accepted connection must arrive.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections to other nodes, reused for short calls.
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

    /// Opens a new connection to the node at `address`.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, self.network.connect(address)).await;
        let socket = socket
            .map_err(|_| Error::Unreachable("no connection in time".to_owned()))?
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        Connection::start(socket, &self.key, nonce()).await
    }

    /// Sends `frame` and returns the response, over an idle connection if there is one.
    pub async fn call(&self, address: SocketAddr, frame: &Frame) -> Result<Frame, Error> {
        let idle = self.idle.lock().get_mut(&address).and_then(Vec::pop);
        if let Some(connection) = idle {
            match self.exchange(address, connection, frame).await {
                Err(Error::Closed) => {}
                Err(error) => {
                    // The cause of this failure may have cut the other idle connections too.
                    self.idle.lock().remove(&address);
                    if error != Error::TimedOut {
                        return Err(error);
                    }
                }
                response => return response,
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
        let response = connection.receive(CALL_TIMEOUT).await?;
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
        Ok(response)
    }
}

/// Returns the address of a member, or `None` if it cannot be parsed.
pub(crate) fn address(entry: &membership::Entry) -> Option<SocketAddr> {
    entry.address.parse().ok()
}

fn nonce() -> [u8; 16] {
    use rand::SeedableRng;
    let mut nonce = [0; 16];
    rand::rngs::StdRng::from_os_rng().fill_bytes(&mut nonce);
    nonce
}

/// Accepts connections from other nodes. Never returns.
pub(crate) async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
    let resources = &shared.settings.resources;
    let connections = Connections::new(resources.max_nodes());
    let permits = Arc::new(Semaphore::new(resources.stranger_frames()));
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if let Some(connection) = connections.admit() {
                    let (shared, permits) = (Arc::clone(&shared), Arc::clone(&permits));
                    tokio::spawn(async move {
                        tokio::select! {
                            () = serve_connection(shared, socket, permits, &connection) => {}
                            () = connection.wait_until_closed(IDLE_TIMEOUT) => {}
                        }
                        connection.end();
                    });
                }
            }
            Err(error) => {
                log::warn!("event=accept_failed error={error}");
                connections.close_idle();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    shared: Arc<Shared>,
    socket: TcpStream,
    permits: Arc<Semaphore>,
    connection_state: &Arc<connection::Connection>,
) {
    let key = shared.settings.fleet_key.as_bytes();
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let Ok(mut connection) = Connection::accept(Box::new(socket), key, nonce(), permits).await
    else {
        return;
    };
    let mut time = FIRST_FRAME_TIMEOUT;
    loop {
        let frame = match connection.receive(time).await {
            Ok(frame) => frame,
            Err(Error::Forged) => {
                log::warn!("event=frame_forged remedy=\"give all nodes the same fleet_key\"");
                return;
            }
            Err(_) => return,
        };
        time = IDLE_TIMEOUT;
        let _running = connection_state.start_request();
        let next = match frame {
            Frame::Ticket(job) => dispatch::serve_ticket(&shared, &mut connection, *job).await,
            Frame::Forward(forward) => {
                let _exchange = Exchange::start(&shared);
                serve::serve_forward(&shared, &mut connection, *forward).await
            }
            frame => {
                let _exchange = Exchange::start(&shared);
                handle_frame(&shared, &mut connection, frame).await
            }
        };
        if next.is_err() {
            return;
        }
    }
}

/// Handles a frame that has a single response, and sends the response.
async fn handle_frame(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    frame: Frame,
) -> Result<(), Error> {
    let response = match frame {
        Frame::Call(call) => call::serve(shared, *call).await,
        Frame::Borrow(borrow) => Frame::Lent(limits::lend(shared, &borrow)),
        Frame::Lists(newer_than) => Frame::State(newer_lists(shared, newer_than)),
        Frame::Explain(id) => Frame::Entries(shared.tables.journal.lock().entries(id).to_vec()),
        Frame::Status => Frame::Report(status::node(shared).to_string()),
        Frame::Keep(copy) => {
            if deferred::save(shared, *copy) {
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
    connection.send(&response).await
}

/// Returns the folded lists as JSON if they are newer than the offset `newer_than`.
fn newer_lists(shared: &Shared, newer_than: u64) -> Option<String> {
    let fold = shared.tables.fold.lock();
    let newer = fold.state().next > newer_than;
    newer.then(|| serde_json::to_string(fold.state()).ok())?
}
