//! The agent's entry in the configuration.

use std::{collections::BTreeSet, net::SocketAddr};

use sassafrasmast_wire::{AgentId, ServiceId};

use crate::config::{Document, Upstream};

/// What the configuration says about this agent and its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Member {
    pub agent: AgentId,
    pub service: ServiceId,
    pub slots: u16,
    pub connections: u32,
    /// Whether operators set the upstream to draining.
    pub draining: bool,
    /// Whether operators took the agent's availability zone out.
    pub zone_out: bool,
    /// Agents of the same service to which requests with their tickets may be relayed.
    pub homes: BTreeSet<AgentId>,
    /// Agents of the same service to which new requests may be relayed.
    pub peers: BTreeSet<AgentId>,
    /// Number of admitted upstreams in the whole fleet.
    pub fleet_size: usize,
}

impl Member {
    /// Finds the entry of the agent that listens on `listen`.
    pub fn find(document: &Document, listen: SocketAddr) -> Option<Self> {
        let mut upstreams = document.upstreams.iter();
        let (&agent, upstream) = upstreams.find(|(_, upstream)| upstream.agent == listen)?;
        let homes = Self::others(document, agent, upstream, |_| true);
        let peers = Self::others(document, agent, upstream, |other| !other.draining);
        Some(Self {
            agent,
            service: upstream.service,
            slots: upstream.slots,
            connections: upstream.connections,
            draining: upstream.draining,
            zone_out: !document.is_routable(agent),
            homes,
            peers,
            fleet_size: document.total_upstreams(),
        })
    }

    fn others(
        document: &Document,
        agent: AgentId,
        upstream: &Upstream,
        wanted: impl Fn(&Upstream) -> bool,
    ) -> BTreeSet<AgentId> {
        let upstreams = document.upstreams.iter();
        upstreams
            .filter(|(id, other)| **id != agent && other.service == upstream.service)
            .filter(|(id, other)| document.is_routable(**id) && wanted(other))
            .map(|(id, _)| *id)
            .collect()
    }
}
