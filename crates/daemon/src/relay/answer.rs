//! Heads of answers to relayed requests.

use sassafrasmast_core::error::{Kind, Outcome};
use serde::{Deserialize, Serialize};

use super::Fields;

/// Head of the answer from the agent that ran or refused a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers from the upstream.
    pub headers: Fields,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Reason for which there is no answer from the upstream.
    pub kind: Option<Kind>,
}
