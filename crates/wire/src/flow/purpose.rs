//! Why a balancer sends a packet to an agent.

use serde::{Deserialize, Serialize};

/// Why a balancer sends a packet to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// It opens a flow and may be handed back.
    Open,
    /// Its flow is believed to be at this agent's upstream.
    Known,
    /// It is shown to an upstream whose agent does not know whether the flow is there.
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
