//! Settings of a service.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::ServiceName;

/// A service and its settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// Address that callers send to; unique among services.
    pub address: SocketAddr,
    /// Path prefixes of requests that stay open as feeds. A feed occupies a connection of the
    /// upstream, not one of its slots.
    pub feeds: Vec<String>,
    /// Longest time a request may take in milliseconds; the deadline if its caller gives none.
    pub deadline_ms: u64,
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
}
