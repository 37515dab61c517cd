//! Reads bodies into memory.

use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use quick_error::quick_error;

use crate::Hold;

/// Capacity with which a body of unknown length begins, in bytes. It doubles as needed.
const FIRST_BYTES: usize = 4 * 1_024;
/// Size beyond which a body of unknown length holds as much as it may become. Several that grow step by
/// step would each wait for room that the others hold.
const MAX_GROWING_BYTES: usize = 32 * 1_024;

quick_error! {
    /// Why a body could not be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The body is longer than the limit, in bytes.
        TooLarge(limit: usize) {
            display("the body is longer than {} bytes", limit)
        }
        /// There is no room for the body.
        Full {
            display("there is no room in memory for the body")
        }
        /// The body has stopped coming, and others need its room.
        Stalled {
            display("the body has stopped")
        }
        /// The body ended early, with the reason.
        Broken(reason: String) {
            display("the body ended early: {}", reason)
        }
    }
}

/// Limits on the reading of one body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of the body, in bytes.
    pub bytes: usize,
    /// Maximum time for which the body waits for room.
    pub patience: Duration,
}

/// Reads a whole body into `hold`. A body that states its length gets its room at once. Any other one
/// grows, and once it is large gets the room of the longest body that is allowed. `observe` gets the bytes
/// as they arrive.
///
/// # Errors
///
/// See [`Error`]. What was read is dropped.
pub async fn read<B>(
    body: B,
    hold: Hold,
    limits: Limits,
    observe: impl FnMut(&[u8]),
) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes>,
    B::Error: Display,
{
    let (whole, hold) = fill(body, hold, limits, observe).await?;
    Ok(if whole.is_empty() {
        Bytes::new()
    } else {
        hold.attach(whole)
    })
}

/// Reads a whole body like [`read`], and returns its hold apart, for bodies that are replaced by what
/// they are parsed into.
///
/// # Errors
///
/// See [`Error`]. What was read is dropped.
pub async fn fill<B>(
    body: B,
    mut hold: Hold,
    limits: Limits,
    mut observe: impl FnMut(&[u8]),
) -> Result<(Vec<u8>, Hold), Error>
where
    B: Body<Data = Bytes>,
    B::Error: Display,
{
    let too_large = || Error::TooLarge(limits.bytes);
    let mut whole = Vec::new();
    let mut taken = 0;
    if let Some(length) = body.size_hint().exact() {
        let length = usize::try_from(length).map_err(|_| too_large())?;
        if length > limits.bytes {
            return Err(too_large());
        }
        take(length, &mut hold, &limits).await?;
        taken = length;
        whole.reserve_exact(length);
    }
    tokio::pin!(body);
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = hold.wait_until_revoked() => return Err(Error::Stalled),
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        hold.record_arrival(bytes.len());
        observe(bytes);
        let needed = whole.len() + bytes.len();
        if needed > limits.bytes {
            return Err(too_large());
        }
        if needed > taken {
            let doubled = needed.max(taken * 2).max(FIRST_BYTES);
            let size = if doubled > MAX_GROWING_BYTES {
                limits.bytes.min(hold.max_bytes()).max(needed)
            } else {
                doubled.min(limits.bytes)
            };
            take(size - taken, &mut hold, &limits).await?;
            taken = size;
        }
        if needed > whole.capacity() {
            let doubled = (whole.capacity() * 2).max(needed).min(taken);
            whole.reserve_exact(doubled - whole.len());
        }
        whole.extend_from_slice(bytes);
    }
    hold.settle();
    whole.shrink_to_fit();
    hold.give_back(taken.saturating_sub(whole.capacity()));
    Ok((whole, hold))
}

async fn take(bytes: usize, hold: &mut Hold, limits: &Limits) -> Result<(), Error> {
    if hold.take(bytes, limits.patience).await {
        Ok(())
    } else {
        Err(Error::Full)
    }
}
