//! What identifies a flow.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// The two ends of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The client's end.
    pub client: SocketAddrV4,
    /// The address that the client asked for, which names a route.
    pub route: SocketAddrV4,
}
