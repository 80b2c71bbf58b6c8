//! Why an agent hands an opening packet back.

use serde::{Deserialize, Serialize};

/// Why an agent hands an opening packet back. None of these has reached a request handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The agent's upstream runs another service, or the route does not lead to it.
    WrongService,
    /// The upstream is leaving or gone.
    Leaving,
    /// The upstream's zone is out.
    ZoneOut,
    /// The upstream is cold and has got what it bears for now.
    Cold,
    /// The upstream has as many requests in progress as it answers in time.
    Busy,
    /// The upstream refused the packet.
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
