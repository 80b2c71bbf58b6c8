//! Settings of the agent role.

use std::{net::SocketAddr, path::PathBuf};

use serde::Deserialize;

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Name of the service of the upstream.
    pub service: String,
    /// Address of the upstream (HTTP/1.1).
    pub upstream: SocketAddr,
    /// Requests the upstream runs at once.
    pub slots: u16,
    /// Connections the upstream holds at once.
    pub connections: u32,
    /// Addresses of balancers to announce the upstream to.
    pub entries: Vec<SocketAddr>,
    /// File with the certificate chain (PEM).
    pub certificate: PathBuf,
    /// File with the private key (PEM).
    pub key: PathBuf,
}
