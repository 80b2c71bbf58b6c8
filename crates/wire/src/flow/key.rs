//! Identity of a flow.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// Identifies a flow by its two endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The client's address.
    pub client: SocketAddrV4,
    /// The address that the client connects to, which identifies a route.
    pub route: SocketAddrV4,
}
