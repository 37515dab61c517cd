//! How parts of the system exchange extensions with their counterparts on the other hosts.

use kernel::name::Host;
use wire::extension::Extension;

/// The host that sent an extension.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// Name of the host.
    pub host: &'a Host,
    /// Incarnation of the host.
    pub holder: u64,
    /// Whether it is in the failure domain of this host.
    pub is_near: bool,
}

/// A part of the system that exchanges extensions with its counterparts on the other hosts.
pub trait Exchange: Send + Sync {
    /// Applies an extension of another host. Extensions of other parts are ignored.
    fn apply(&self, sender: Sender<'_>, extension: &Extension);

    /// Returns what is sent with each snapshot, so that the loss of a datagram is repaired.
    fn repeated(&self) -> Vec<Extension>;
}
