//! Routing decision for a caller's datagram.

use sassafrasmast_wire::{Address, AgentId, Incarnation};

use super::{Reason, Reset};

/// What to do with one datagram of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Forward to the agent named by the connection id.
    Forward {
        /// Agent that terminates the flow.
        agent: AgentId,
        /// Address of the agent.
        address: Address,
        /// Incarnation named by the connection id.
        incarnation: Incarnation,
    },
    /// Forward the first datagram of a flow to the agent chosen for the flow.
    Place {
        /// Chosen agent.
        agent: AgentId,
        /// Address of the agent.
        address: Address,
    },
    /// Answer the caller with a stateless reset, because the flow's agent is gone or its
    /// availability zone is out of service.
    Reset {
        /// Agent of the flow.
        agent: AgentId,
        /// The datagram to send to the caller.
        reset: Reset,
    },
    /// Drop the datagram.
    Drop(Reason),
}
