//! What the edge has to do.

use sassafrasmast_wire::AgentId;

use crate::timeline::RequestId;

use super::{Key, Nonce, Reply};

/// A decision, taken from [`super::Agent::poll`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Hand the request to the upstream. Immediately before the first byte is written,
    /// [`super::Agent::may_start`] must say `true`; afterwards [`super::Agent::finished`] must be
    /// called once. If no connection can be made, `finished` is called without `may_start`.
    Start {
        /// The request.
        id: RequestId,
    },
    /// Drop the upstream connection of a started request and report its end by
    /// [`super::Agent::finished`]. The request has been answered already.
    Abort {
        /// The request.
        id: RequestId,
    },
    /// Send the request to a peer, with the flag that it was relayed and with the time that is
    /// left, then call [`super::Agent::relayed`] once.
    Relay {
        /// The request.
        id: RequestId,
        /// The peer.
        to: AgentId,
    },
    /// Create the claim of `key` with `nonce` in the store if it is absent, under a lease of at
    /// least [`super::claim::MIN_LEASE`]; read it back if the reply is lost; then call
    /// [`super::Agent::claimed`] once.
    Claim {
        /// The request.
        id: RequestId,
        /// The minted key.
        key: Key,
        /// Value of the claim.
        nonce: Nonce,
    },
    /// Give the caller the final answer.
    Answer {
        /// The request.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// For the time line: another number of requests may run at once.
    LimitChanged {
        /// The new limit.
        limit: u16,
    },
    /// For the time line: the upstream collapsed and counts as cold.
    Collapsed,
}
