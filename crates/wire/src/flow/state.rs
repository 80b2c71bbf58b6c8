//! Whether an upstream accepts new flows.

use serde::{Deserialize, Serialize};

/// Whether an upstream accepts new flows, as known to its agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The upstream has not announced itself yet; new flows are limited as for a cold upstream.
    #[default]
    Unknown,
    /// It accepts new flows.
    Ready,
    /// It has recently started, or its cold period has begun anew: the rate of new flows is
    /// limited.
    Cold,
    /// It does not answer at present.
    Silent,
    /// It is shutting down: open flows continue, new flows go to other upstreams.
    Draining,
    /// It has deregistered.
    Gone,
}

impl State {
    /// Whether new flows may be placed on the upstream.
    ///
    /// ```
    /// use sassafrasmast_wire::flow::State;
    /// assert!(State::Cold.accepts_flows());
    /// assert!(!State::Draining.accepts_flows());
    /// ```
    pub fn accepts_flows(self) -> bool {
        matches!(self, Self::Unknown | Self::Ready | Self::Cold)
    }

    /// The name in logs and metrics.
    ///
    /// ```
    /// assert_eq!(sassafrasmast_wire::flow::State::Gone.as_str(), "gone");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Ready => "ready",
            Self::Cold => "cold",
            Self::Silent => "silent",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}
