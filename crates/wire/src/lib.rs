//! Authenticated postcard frames between nodes, over UDP and TCP.
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
pub mod datagram;
mod frame;
pub mod placement;
pub mod stream;

use quick_error::quick_error;

pub use frame::{Borrow, Call, Deferred, Forward, Frame, Heartbeat, Pool};

quick_error! {
    /// Why a frame was not sent or not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// Not a frame of this version.
        Malformed {
            display("not a frame: run the same version on all nodes")
        }
        /// Sealed with another key, changed, or repeated.
        Forged {
            display("the frame's authentication failed: give all nodes the same fleet_key")
        }
        /// Larger than a frame may be.
        TooLarge {
            display("the frame is too large: lower the number of entries or the size of the body")
        }
        /// The connection could not be made.
        Unreachable(reason: String) {
            display("the node cannot be reached: {}", reason)
        }
        /// The connection ended.
        Closed {
            display("the connection ended")
        }
        /// Nothing arrived within the time limit.
        TimedOut {
            display("nothing arrived within the time limit")
        }
    }
}
