//! A balancer as it registers itself in the platform's store.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::ZoneName;

/// One live balancer. Kept under a lease, so it goes when the balancer does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Registration {
    /// Name of the process.
    pub name: String,
    /// Availability zone of the balancer.
    pub zone: ZoneName,
    /// Address for frames and peer calls.
    pub listen: SocketAddr,
    /// Address of the operators' API.
    pub api: SocketAddr,
}
