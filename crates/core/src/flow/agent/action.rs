//! What an agent wants done.

use std::{net::SocketAddrV4, time::Duration};

use crate::flow::{Key, Reason, balancer::ResetCause};

/// What an agent wants done. "The packet" is the one that was just handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Give the packet to the upstream.
    ToUpstream,
    /// Send the packet to its client.
    ToClient,
    /// Hand the opening packet back to a balancer.
    Return {
        /// The balancer.
        to: SocketAddrV4,
        /// Why.
        reason: Reason,
    },
    /// Hand an opening packet that was kept back to a balancer.
    ReturnBuffered {
        /// The balancer.
        to: SocketAddrV4,
        /// Why.
        reason: Reason,
        /// The packet.
        packet: Box<[u8]>,
    },
    /// Tell a balancer that the upstream accepted a flow.
    Accepted {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
        /// Sequence number of the upstream's reply.
        sequence: u32,
        /// Time since the opening packet came.
        took: Duration,
    },
    /// Tell a balancer that the flow is here.
    Found {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
    },
    /// Tell a balancer that a flow is not here.
    Absent {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
    },
    /// Tell a balancer that only the upstream knows whether a flow is here.
    Unconfirmed {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
    },
    /// Tell a balancer that the packet's flow is not here, and hand the packet back.
    Missing {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
    },
    /// Tell a balancer that a packet's flow is not here, and hand back the packet, which was kept.
    MissingBuffered {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
        /// The packet.
        packet: Box<[u8]>,
    },
    /// Reset a flow towards its client.
    Reset {
        /// The flow.
        flow: Key,
        /// The client's last acknowledged number.
        sequence: u32,
        /// Why.
        cause: ResetCause,
    },
}
