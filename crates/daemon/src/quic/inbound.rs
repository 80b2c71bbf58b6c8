//! Callers' datagrams as forwarded by balancers.

use std::net::SocketAddr;

use sassafrasmast_wire::{AgentId, Incarnation, ServiceId, cid};

/// Bit in the first byte of a QUIC datagram that marks a long header.
const LONG_HEADER: u8 = 0x80;

/// The low bits of an incarnation, which connection ids carry.
const CID_INCARNATION_MASK: Incarnation = (1 << cid::INCARNATION_BITS) - 1;

/// The content of an inbound frame.
#[derive(Debug, Clone, Copy)]
pub(super) struct Inbound<'a> {
    pub service: ServiceId,
    pub agent: AgentId,
    /// Incarnation in the connection id; `None` if the datagram belongs to no flow yet.
    pub incarnation: Option<Incarnation>,
    /// Number of agents that handed the datagram back.
    pub attempt: u8,
    pub caller: SocketAddr,
    pub payload: &'a [u8],
}

/// How a datagram is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is passed to quinn.
    Deliver,
    /// It is returned to its balancer, which places the flow at another agent.
    Handback,
    /// It is dropped for this reason.
    Drop(&'static str),
}

impl Inbound<'_> {
    /// Whether the datagram has a long header, as in a handshake.
    pub fn has_long_header(&self) -> bool {
        self.payload
            .first()
            .is_some_and(|byte| byte & LONG_HEADER != 0)
    }

    /// Whether the datagram names another incarnation than `own`.
    pub fn is_for_other_incarnation(&self, own: Incarnation) -> bool {
        let differs = |other: Incarnation| (other ^ own) & CID_INCARNATION_MASK != 0;
        self.incarnation.is_some_and(differs)
    }
}
