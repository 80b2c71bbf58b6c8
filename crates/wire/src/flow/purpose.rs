//! Why a balancer sends a packet to an agent.

use serde::{Deserialize, Serialize};

/// Why a balancer sends a packet to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// The packet is a SYN, which the agent may return.
    Open,
    /// The balancer has this agent recorded as the owner of the packet's flow.
    Known,
    /// The agent does not know whether its upstream holds the flow; the upstream's response to the
    /// packet shows it.
    Find,
}

impl Purpose {
    /// The name in logs and metrics.
    ///
    /// ```
    /// assert_eq!(sassafrasmast_wire::flow::Purpose::Find.as_str(), "find");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Known => "known",
            Self::Find => "find",
        }
    }
}
