//! Question of a search for the owner of a flow.

use serde::{Deserialize, Serialize};

use super::Key;

/// Asks whether a flow is at an agent's upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The flow.
    pub flow: Key,
    /// The client's last acknowledged sequence number.
    pub acknowledgement: u32,
}

impl Question {
    /// Number of questions, or of flows in an answer, that always fits one frame: each takes
    /// 20 bytes at most.
    pub const MAX_PER_FRAME: usize = 64;
}
