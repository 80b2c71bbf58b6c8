//! One question of a search.

use serde::{Deserialize, Serialize};

use super::Key;

/// Asks whether a flow is at an agent's upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The flow.
    pub flow: Key,
    /// Number that the client acknowledged last.
    pub acknowledgement: u32,
}

impl Question {
    /// Questions, or flows of the answers, that surely fit one frame: each takes 20 bytes at most.
    pub const MAX_PER_FRAME: usize = 64;
}
