//! The closed set of things a frame can carry.

use serde::{Deserialize, Serialize};

use crate::{Address, AgentId, Incarnation, Load, ServiceId};

/// Content of a [`crate::Frame`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body<'a> {
    /// Balancer to agent: a caller's datagram.
    Inbound {
        /// Service whose address received the datagram.
        service: ServiceId,
        /// Agent the datagram is meant for.
        agent: AgentId,
        /// Incarnation named by the connection id; `None` for a first datagram being placed.
        incarnation: Option<Incarnation>,
        /// How often this first datagram was already handed back by other agents.
        attempt: u8,
        /// The caller's address.
        caller: Address,
        /// The QUIC datagram.
        #[serde(borrow)]
        payload: &'a [u8],
    },
    /// Agent to balancer: a datagram for a caller.
    Outbound {
        /// Service from whose address the datagram is sent.
        service: ServiceId,
        /// Sending agent.
        agent: AgentId,
        /// Sending agent's incarnation.
        incarnation: Incarnation,
        /// The caller's address.
        caller: Address,
        /// The agent's load.
        load: Load,
        /// The QUIC datagram.
        #[serde(borrow)]
        payload: &'a [u8],
    },
    /// Agent to balancer: this first datagram cannot be taken here, place it elsewhere.
    Handback {
        /// Service whose address received the datagram.
        service: ServiceId,
        /// Refusing agent.
        agent: AgentId,
        /// Refusing agent's incarnation.
        incarnation: Incarnation,
        /// How often this datagram was handed back, this time included.
        attempt: u8,
        /// The caller's address.
        caller: Address,
        /// The agent's load.
        load: Load,
        /// The QUIC datagram, unchanged.
        #[serde(borrow)]
        payload: &'a [u8],
    },
    /// Balancer or peer agent to agent: report your load.
    Probe {
        /// Echoed in the report.
        nonce: u32,
        /// Agent the prober believes to live at this address.
        agent: AgentId,
    },
    /// Agent's reply to a probe.
    Report {
        /// Nonce of the probe.
        nonce: u32,
        /// Service the agent serves; `None` until the agent is admitted.
        service: Option<ServiceId>,
        /// Id of the agent; `None` until the agent is admitted.
        agent: Option<AgentId>,
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// The agent's load.
        load: Load,
    },
    /// Agent to balancers: an upstream exists and waits to be admitted or is back.
    Announce {
        /// Name of the service the upstream belongs to.
        service: &'a str,
        /// Availability zone of the upstream.
        zone: &'a str,
        /// Address of the upstream itself, for operators' eyes.
        upstream: Address,
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// Requests the upstream runs at once.
        slots: u16,
        /// Connections the upstream holds at once.
        connections: u32,
    },
    /// Any process to any: only the frame's config version matters.
    Hello,
}
