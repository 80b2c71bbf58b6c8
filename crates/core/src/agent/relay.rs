//! How the relay of a request to a peer ended.

use serde::{Deserialize, Serialize};

use crate::error::{Kind, Outcome};

/// Reported once for each relayed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Relay {
    /// The peer's answer of an upstream arrived whole.
    Whole,
    /// The peer answered with an error of its own.
    Refused {
        /// Why.
        kind: Kind,
        /// Outcome as the peer told it.
        outcome: Outcome,
    },
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// The connection broke after something was sent.
    Lost,
}
