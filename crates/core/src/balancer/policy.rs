//! How a new flow chooses among agents.

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
    /// The best of all agents by that wait.
    #[default]
    LeastWait,
}
