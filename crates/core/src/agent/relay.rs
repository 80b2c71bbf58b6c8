//! Results of relaying a request to a peer.

use serde::{Deserialize, Serialize};

use crate::error::{Kind, Outcome};

/// How the relay of a request ended. Reported once for each relayed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Relay {
    /// The answer of the peer's upstream arrived completely.
    Whole,
    /// The peer itself answered with an error.
    Refused {
        /// The reason.
        kind: Kind,
        /// The outcome that the peer reported.
        outcome: Outcome,
    },
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// The connection broke after part of the request was sent.
    Lost,
}
