//! Where a caller's datagram goes.

use sassafrasmast_wire::{Address, AgentId, Incarnation};

use super::{Reason, Reset};

/// Decision on one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// The connection id names the agent.
    Forward {
        /// Agent that ends the flow.
        agent: AgentId,
        /// Its address.
        address: Address,
        /// The incarnation the id names.
        incarnation: Incarnation,
    },
    /// A first datagram, placed on an agent.
    Place {
        /// Chosen agent.
        agent: AgentId,
        /// Its address.
        address: Address,
    },
    /// The flow's agent is gone: tell the caller by a stateless reset.
    Reset {
        /// The agent that is gone.
        agent: AgentId,
        /// The datagram to send to the caller.
        reset: Reset,
    },
    /// Nothing is sent.
    Drop(Reason),
}
