//! A service.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::ServiceName;

/// A service and the rules by which traffic reaches it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// Address to which callers send. No two services share one.
    pub address: SocketAddr,
    /// Path prefixes of requests that stay open as feeds. They hold a connection of the
    /// upstream, not one of its slots.
    pub feeds: Vec<String>,
    /// Longest time a request may take when its caller gives no deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
}
