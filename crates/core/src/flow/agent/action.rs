//! Actions that an agent's decisions result in.

use std::{net::SocketAddrV4, time::Duration};

use crate::flow::{Key, Reason, balancer::ResetCause};

/// An action that the caller carries out. "The packet" is the one that was just handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Pass the packet to the upstream.
    ToUpstream,
    /// Pass a held packet to the upstream.
    HeldToUpstream {
        /// The held packet.
        packet: Box<[u8]>,
    },
    /// Send the packet to its client.
    ToClient,
    /// Return the SYN to a balancer.
    Return {
        /// The balancer.
        to: SocketAddrV4,
        /// Why.
        reason: Reason,
    },
    /// Return a buffered SYN to a balancer.
    ReturnBuffered {
        /// The balancer.
        to: SocketAddrV4,
        /// Why.
        reason: Reason,
        /// The buffered packet.
        packet: Box<[u8]>,
    },
    /// Tell a balancer that the upstream accepted a flow.
    Accepted {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
        /// Sequence number of the upstream's SYN-ACK.
        sequence: u32,
        /// Time since the SYN arrived.
        took: Duration,
    },
    /// Tell a balancer that a flow is at this agent's upstream.
    Found {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
    },
    /// Tell a balancer that a flow is not at this agent's upstream.
    Absent {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
    },
    /// Tell a balancer that only the upstream knows whether it holds a flow.
    Unconfirmed {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
    },
    /// Tell a balancer that the packet's flow is not at this agent's upstream, and return the
    /// packet.
    Missing {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
    },
    /// Tell a balancer that a flow is not at this agent's upstream, and return its buffered packet.
    MissingBuffered {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        flow: Key,
        /// The buffered packet.
        packet: Box<[u8]>,
    },
    /// Send a balancer a report, which offers it room.
    Report {
        /// The balancer.
        to: SocketAddrV4,
    },
    /// Tell a balancer that callers of flows had earlier attempts.
    Earlier {
        /// The balancer.
        to: SocketAddrV4,
        /// The flows, each with the age of its caller's first attempt in milliseconds.
        flows: Vec<(Key, u32)>,
    },
    /// Tell a balancer the time that the upstream takes for a request in a slot.
    Speed {
        /// The balancer.
        to: SocketAddrV4,
        /// The time in microseconds.
        service_time_micros: u32,
    },
    /// Reset a flow towards its client.
    Reset {
        /// The flow.
        flow: Key,
        /// The client's last acknowledged sequence number.
        sequence: u32,
        /// Why.
        cause: ResetCause,
    },
}

impl Action {
    /// The balancer that a frame is to be sent to, if the action sends one.
    pub fn recipient(&self) -> Option<SocketAddrV4> {
        match self {
            Self::ToUpstream
            | Self::HeldToUpstream { .. }
            | Self::ToClient
            | Self::Reset { .. } => None,
            Self::Return { to, .. }
            | Self::ReturnBuffered { to, .. }
            | Self::Accepted { to, .. }
            | Self::Found { to, .. }
            | Self::Absent { to, .. }
            | Self::Unconfirmed { to, .. }
            | Self::Missing { to, .. }
            | Self::MissingBuffered { to, .. }
            | Self::Report { to }
            | Self::Earlier { to, .. } => Some(*to),
            Self::Speed { to, .. } => Some(*to),
        }
    }
}
