//! Events of the streams that fake engines send.

use std::time::Duration;

use bytes::Bytes;
use relay::body::Error;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Returns the event with number `index`, from one. All streams send the same events.
#[must_use]
pub fn stream_event(index: u64) -> Bytes {
    format!("id: {index}\ndata: piece {index}\n\n").into()
}

/// Returns the event with number `index` with `padding` more bytes of data.
pub(super) fn padded_event(index: u64, padding: usize) -> Bytes {
    if padding == 0 {
        return stream_event(index);
    }
    format!("id: {index}\ndata: piece {index} {:.>padding$}\n\n", "").into()
}

/// Time between two bytes of an engine that stalls.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(300);

/// Sends bytes that never complete an event until the client has disconnected.
pub(super) async fn trickle(sender: &mpsc::Sender<Result<Bytes, Error>>) {
    while sender.send(Ok(Bytes::from_static(b"i"))).await.is_ok() {
        sleep(TRICKLE_INTERVAL).await;
    }
}
