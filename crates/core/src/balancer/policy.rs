//! Load-balancing policies for new flows.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Policy that selects the agent for a new flow. The alternatives to the default allow comparisons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// A random agent.
    Random,
    /// The agents in turn.
    RoundRobin,
    /// The agent with the fewest open flows: those last reported and those placed since.
    LeastConnections,
    /// The better of two random agents by cost: predicted wait, plus penalties for occupancy,
    /// including flows placed since the last report, for open flows and for another availability
    /// zone.
    PredictedWait,
    /// The best by the same cost in a random sample of just over half of the agents. Choosing among
    /// all agents would make the balancers pick the same one, and would concentrate open feeds
    /// (long-lived requests) on the nearest one.
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
