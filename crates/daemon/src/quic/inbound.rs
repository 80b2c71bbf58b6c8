//! A caller's datagram as a balancer hands it over.

use std::net::SocketAddr;

use sassafrasmast_wire::{AgentId, Incarnation, ServiceId, cid};

/// Bit of a QUIC datagram's first byte that tells a long header.
const LONG_HEADER: u8 = 0x80;

/// Low bits of an incarnation that connection ids carry.
const INCARNATION_MASK: Incarnation = (1 << cid::INCARNATION_BITS) - 1;

/// The content of an inbound frame.
#[derive(Debug, Clone, Copy)]
pub(super) struct Inbound<'a> {
    pub service: ServiceId,
    pub agent: AgentId,
    pub incarnation: Option<Incarnation>,
    pub attempt: u8,
    pub caller: SocketAddr,
    pub payload: &'a [u8],
}

/// What becomes of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It goes to quinn.
    Deliver,
    /// Its balancer has to place it elsewhere.
    HandBack,
    /// It is dropped, for this reason.
    Drop(&'static str),
}

impl Inbound<'_> {
    /// Whether the datagram has a long header, as those of a handshake.
    pub fn is_long(&self) -> bool {
        self.payload
            .first()
            .is_some_and(|byte| byte & LONG_HEADER != 0)
    }

    /// Whether the datagram names another incarnation than `mine`.
    pub fn is_stale(&self, mine: Incarnation) -> bool {
        let differs = |other: Incarnation| (other ^ mine) & INCARNATION_MASK != 0;
        self.incarnation.is_some_and(differs)
    }
}
