//! Names of hosts, failure domains, workspaces, endpoints, models and services.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $type {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name! {
    /// A machine that runs a node.
    Host
}
name! {
    /// A failure domain: hosts and endpoints that lose connectivity together.
    Domain
}
name! {
    /// A group of failure domains in which requests of some routes and workspaces must stay.
    Region
}
name! {
    /// A customer account: its requests share one plan and its limits.
    Workspace
}
name! {
    /// A back end: a model engine or an instance of a service.
    Endpoint
}
name! {
    /// A model that an engine can load.
    Model
}
name! {
    /// A service that one or more endpoints provide.
    Service
}

/// Returns the rendezvous hashing score of `candidate` for `key`; the candidate with the highest
/// score owns the key.
///
/// All nodes compute the same owner from the same candidates. Removing a candidate only moves the
/// keys that it owned.
#[must_use]
pub fn rendezvous(key: &str, candidate: &str) -> u64 {
    const SEPARATOR: u64 = 0xff;
    let seed = key.bytes().fold(FNV_OFFSET, fnv_step);
    let hash = candidate
        .bytes()
        .fold(murmur_mix(seed ^ SEPARATOR), fnv_step);
    murmur_mix(hash)
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn fnv_step(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
}

/// The 64-bit finalizer of `MurmurHash3`.
fn murmur_mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
