//! An admitted upstream.

use std::net::SocketAddr;

use sassafrasmast_wire::ServiceId;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::ZoneName;

/// An upstream that operators admitted, and its agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Service the upstream belongs to.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the agent for frames and peer calls.
    pub agent: SocketAddr,
    /// Address of the upstream itself.
    pub upstream: SocketAddr,
    /// Largest number of requests the upstream runs concurrently.
    pub slots: u16,
    /// Largest number of connections the upstream holds concurrently.
    pub connections: u32,
    /// Whether operators drain the upstream: it gets no new work, open work is finished.
    pub draining: bool,
}
