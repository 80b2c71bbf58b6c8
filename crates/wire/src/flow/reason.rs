//! Why an agent returns a SYN.

use serde::{Deserialize, Serialize};

/// Why an agent returns a SYN. In none of these cases a request handler has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The agent's upstream runs another service, or the route does not include its service.
    WrongService,
    /// The upstream is draining or gone.
    Leaving,
    /// The upstream's zone is taken out of service.
    ZoneOut,
    /// The upstream is cold and has reached its rate limit of new flows.
    Cold,
    /// The upstream has as many requests in progress as it can answer in time, or the agent's flow
    /// table is full.
    Busy,
    /// The upstream bounced the packet.
    Shed,
    /// The upstream did not answer in time.
    Silent,
}

impl Reason {
    /// The name in logs and metrics.
    ///
    /// ```
    /// assert_eq!(sassafrasmast_wire::flow::Reason::Cold.as_str(), "cold");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WrongService => "wrong_service",
            Self::Leaving => "leaving",
            Self::ZoneOut => "zone_out",
            Self::Cold => "cold",
            Self::Busy => "busy",
            Self::Shed => "shed",
            Self::Silent => "silent",
        }
    }
}
