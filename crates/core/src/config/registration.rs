//! Registration of a balancer in the platform's store.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::ZoneName;

/// One live balancer. Stored under a lease, so it disappears when the balancer stops renewing it.
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
