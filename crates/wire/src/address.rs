//! A process's address for frames and peer calls.

use std::net::SocketAddr;

/// IP address and port; UDP and TCP of the same port belong to the same process.
pub type Address = SocketAddr;
