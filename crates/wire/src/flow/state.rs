//! Whether an upstream takes new flows.

use serde::{Deserialize, Serialize};

/// Whether an upstream takes new flows, as its agent knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The agent has not heard from its upstream yet and lets little through.
    #[default]
    Unknown,
    /// It takes new flows.
    Ready,
    /// It is cold: new flows come at a bounded rate.
    Cold,
    /// It answers nothing at present.
    Silent,
    /// It is leaving: open flows go on, new ones go elsewhere.
    Draining,
    /// It has left.
    Gone,
}

impl State {
    /// Whether new flows may be placed at all.
    ///
    /// ```
    /// use sassafrasmast_wire::flow::State;
    /// assert!(State::Cold.takes_flows());
    /// assert!(!State::Draining.takes_flows());
    /// ```
    pub fn takes_flows(self) -> bool {
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
