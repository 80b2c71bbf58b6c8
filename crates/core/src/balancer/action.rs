//! I/O that the router requests from the code that drives it.

use sassafrasmast_wire::{Address, AgentId, Body, ConfigVersion, ServiceId};

/// One operation to perform after a frame was received or after a tick.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<'a> {
    /// Send a datagram to a caller from the socket of a service's address.
    Deliver {
        /// Service whose address is the source.
        service: ServiceId,
        /// Agent that sent the datagram.
        agent: AgentId,
        /// Address of the caller.
        caller: Address,
        /// The QUIC datagram.
        payload: &'a [u8],
    },
    /// Send a frame to an agent or a balancer.
    Send {
        /// Destination.
        to: Address,
        /// Content of the frame. The config version in force is added on sending.
        body: Body<'a>,
    },
    /// Fetch the configuration from a process that has a newer one.
    PullConfig {
        /// Address of that process.
        from: Address,
        /// Version in force there.
        version: ConfigVersion,
    },
}
