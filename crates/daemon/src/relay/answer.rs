//! The head of an answer between agents.

use sassafrasmast_core::error::{Kind, Outcome};
use serde::{Deserialize, Serialize};

use super::Fields;

/// Answer of the agent that ran, or refused, a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the upstream.
    pub headers: Fields,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why there is no answer of the upstream.
    pub kind: Option<Kind>,
}
