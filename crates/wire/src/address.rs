//! Network addresses.

use std::net::SocketAddr;

/// IP address and port of a process, an upstream or a caller. A process uses the same port for
/// frames over UDP and calls over TCP.
pub type Address = SocketAddr;
