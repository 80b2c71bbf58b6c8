//! How a new flow chooses among agents.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Placement policies, so that they can be measured against each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Any agent that takes work.
    Random,
    /// One after the other.
    RoundRobin,
    /// The fewest open flows, as last reported.
    LeastConnections,
    /// The better of two random agents by the wait they predict, corrected for what was placed
    /// since their last report.
    PredictedWait,
    /// The best of a random half of the agents by that wait. All of them would draw the balancers
    /// to the same agent, and open feeds to the nearest.
    #[default]
    LeastWait,
}

impl Policy {
    /// Name in settings files.
    ///
    /// ```
    /// use sassafrasmast_core::balancer::Policy;
    /// assert_eq!(Policy::LeastConnections.to_string(), "least-connections");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastConnections => "least-connections",
            Self::PredictedWait => "predicted-wait",
            Self::LeastWait => "least-wait",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
