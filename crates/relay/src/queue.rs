//! Events that wait for a client, within the memory of the host.
//!
//! While a client does not read, its events wait here, so that the engine is not held up: engines have few
//! places, and break off responses that are not read for some time.

use buffer::Buffers;
use buffer::events::FREE_BYTES;
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::body::Error;

/// Maximum number of chunks of events that wait for one client.
const MAX_CHUNKS: usize = 512;
/// Number of small chunks that wait without a hold on the memory. Larger ones have one.
const FREE_CHUNKS: usize = 4;

/// Memory of a chunk beside its events, in bytes.
const CHUNK_BYTES: usize = 256;
/// The end of a queue into which events are put.
pub(crate) type Sender = mpsc::Sender<Result<Bytes, Error>>;
/// The end of a queue from which the client's connection takes events.
pub(crate) type Receiver = mpsc::Receiver<Result<Bytes, Error>>;

/// The connection of the client has ended.
pub(crate) struct Closed;

/// Creates an empty queue.
pub(crate) fn open() -> (Sender, Receiver) {
    mpsc::channel(MAX_CHUNKS)
}

/// Puts events into the queue. Waits for the client if the queue is full, or there is no room in memory.
pub(crate) async fn send(sender: &Sender, buffers: &Buffers, events: Bytes) -> Result<(), Closed> {
    let waiting = sender.max_capacity() - sender.capacity();
    let events = if waiting < FREE_CHUNKS || events.len() > FREE_BYTES {
        events
    } else {
        let mut hold = buffers.open();
        if hold.try_take(events.len() + CHUNK_BYTES) {
            hold.attach(events)
        } else {
            let reserved = sender.reserve_many(MAX_CHUNKS - FREE_CHUNKS + 1).await;
            reserved.map_err(|_| Closed)?;
            events
        }
    };
    sender.send(Ok(events)).await.map_err(|_| Closed)
}
