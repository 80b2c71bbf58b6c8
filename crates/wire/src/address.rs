//! Address of a process for frames and calls between processes.

use std::net::SocketAddr;

/// IP address and port of a process, for both UDP and TCP.
pub type Address = SocketAddr;
