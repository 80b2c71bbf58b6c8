//! What the router asks the process's edge to do.

use sassafrasmast_wire::{Address, AgentId, Body, ConfigVersion, ServiceId};

/// One thing to do after a frame or a tick.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<'a> {
    /// Send a datagram to a caller from the socket of a service's address.
    Deliver {
        /// Service whose address is the source.
        service: ServiceId,
        /// Agent the datagram comes from.
        agent: AgentId,
        /// The caller.
        caller: Address,
        /// The datagram.
        payload: &'a [u8],
    },
    /// Send a frame to an agent or a balancer.
    Send {
        /// Destination.
        to: Address,
        /// Content; the edge adds the config version in force.
        body: Body<'a>,
    },
    /// Fetch the configuration from a process that has a newer one.
    PullConfig {
        /// Whom to ask.
        from: Address,
        /// The version it has in force.
        version: ConfigVersion,
    },
}
