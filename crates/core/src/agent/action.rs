//! Actions that the I/O layer has to carry out.

use sassafrasmast_wire::AgentId;

use crate::timeline::RequestId;

use super::{Key, Nonce, Reply};

/// An action, taken from [`super::Agent::poll`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Hand the request over to the upstream. Immediately before the first byte is written,
    /// [`super::Agent::begin_hand_over`] must return `true`; afterwards
    /// [`super::Agent::finished`] must be called once. If no connection can be made, `finished` is
    /// called without `begin_hand_over`.
    Start {
        /// The request.
        id: RequestId,
    },
    /// Drop the upstream connection of a started request and report its end with
    /// [`super::Agent::finished`]. Its final answer is a separate [`Action::Answer`].
    Abort {
        /// The request.
        id: RequestId,
    },
    /// Send the request to a peer, marked as relayed and with the time left until its deadline,
    /// then call [`super::Agent::relayed`] once.
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
        /// The value to write.
        nonce: Nonce,
    },
    /// Send the final answer to the caller.
    Answer {
        /// The request.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Record on the timeline that the concurrency limit changed.
    LimitChanged {
        /// The new limit.
        limit: u16,
    },
    /// Record on the timeline that the upstream collapsed and counts as cold.
    Collapsed,
}
