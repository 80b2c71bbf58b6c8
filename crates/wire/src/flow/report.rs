//! What an agent tells of itself and its upstream.

use serde::{Deserialize, Serialize};

use super::State;
use crate::Incarnation;

/// What an agent tells of itself and its upstream on each of its frames.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The agent's own start.
    pub agent: Incarnation,
    /// The upstream's start, 0 while the agent has not heard of it.
    pub upstream: Incarnation,
    /// Whether the upstream takes new flows.
    pub state: State,
    /// Requests the upstream handles at once.
    pub slots: u16,
    /// Flows with an unanswered request.
    pub busy: u16,
    /// Open flows, busy ones included.
    pub flows: u32,
    /// The agent was told to stop. It goes on until it is killed and is then started anew, unless
    /// its VM leaves.
    pub stopping: bool,
    /// New flows that the cold limit still lets through within the present second.
    pub headroom: u16,
}
