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
    /// Requests the upstream runs concurrently.
    pub slots: u16,
    /// Connections the upstream holds concurrently.
    pub connections: u32,
    /// Addresses of balancers to announce the upstream to.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the platform's store, which holds the claims on callers' idempotency keys.
    #[serde(default)]
    pub store: Vec<SocketAddr>,
    /// Time in milliseconds after which a drain stops requests that still run; if it is missing, a
    /// drain waits until all callers have left.
    #[serde(default)]
    pub drain_deadline_ms: Option<u64>,
    /// File with the certificate chain (PEM).
    pub certificate: PathBuf,
    /// File with the private key (PEM).
    pub key: PathBuf,
}
