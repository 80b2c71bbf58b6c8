//! Attempt of a caller that ended without an answer.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

/// Attempt of a caller that ended without an answer. A further attempt comes from another port, so
/// the caller is known by its address and by what it connects to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The caller's address.
    pub client: Ipv4Addr,
    /// The address that it connects to, which identifies a route.
    pub route: SocketAddrV4,
    /// Time since the caller's first attempt, in milliseconds.
    pub age_ms: u32,
}
