//! Authenticated frames between nodes over UDP and TCP, encoded with postcard.
//!
//! ```
//! use kernel::membership::Update;
//! use filbertstage_wire::{datagram, Heartbeat};
//!
//! let update = Update { entries: Vec::new(), beats: Vec::new() };
//! let beat = Heartbeat { update, pools: Vec::new() };
//! let bytes = datagram::encode(b"key", &beat).expect("a small heartbeat fits");
//! assert_eq!(datagram::decode(b"key", &bytes), Ok(beat));
//! assert!(datagram::decode::<Heartbeat>(b"other key", &bytes).is_err());
//! ```

mod auth;
mod codec;
pub mod datagram;
pub mod evidence;
pub mod extension;
mod frame;
pub mod placement;
pub mod stream;

use quick_error::quick_error;

pub use frame::{Borrow, Call, Deferred, Forward, Frame, Heartbeat, Pool};

quick_error! {
    /// Why a frame was not sent or was not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The bytes are no frame of this version.
        Malformed {
            display("not a frame: run the same version on all nodes")
        }
        /// The authentication tag does not match. The sender uses another key, or the frame was
        /// modified. On a TCP connection, the frame may also have been replayed or reflected.
        Forged {
            display("the frame's authentication failed: give all nodes the same fleet_key")
        }
        /// The frame exceeds the maximum size.
        TooLarge {
            display("the frame is too large: lower the number of entries or the size of the body")
        }
        /// The connection could not be established.
        Unreachable(reason: String) {
            display("the node cannot be reached: {}", reason)
        }
        /// The connection was closed or has failed.
        Closed {
            display("the connection ended")
        }
        /// Nothing arrived within the time limit.
        TimedOut {
            display("nothing arrived within the time limit")
        }
    }
}
