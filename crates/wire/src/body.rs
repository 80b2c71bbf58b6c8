//! Content of the frames between balancers and agents.

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
        /// Incarnation named by the connection id; `None` for the first datagram of a flow.
        incarnation: Option<Incarnation>,
        /// How often other agents have already handed this first datagram back.
        attempt: u8,
        /// The caller's address.
        caller: Address,
        /// The QUIC datagram.
        #[serde(borrow)]
        payload: &'a [u8],
    },
    /// Agent to balancer: a datagram to deliver to a caller.
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
    /// Agent to balancer: the agent refuses this first datagram of a flow, and the balancer has to
    /// place it on another agent.
    Handback {
        /// Service whose address received the datagram.
        service: ServiceId,
        /// Refusing agent.
        agent: AgentId,
        /// Refusing agent's incarnation.
        incarnation: Incarnation,
        /// How often this datagram was handed back, including this time.
        attempt: u8,
        /// The caller's address.
        caller: Address,
        /// The agent's load.
        load: Load,
        /// The QUIC datagram, unchanged.
        #[serde(borrow)]
        payload: &'a [u8],
    },
    /// Balancer or peer agent to agent: a request for a load report.
    Probe {
        /// Echoed in the report.
        nonce: u32,
        /// Id of the agent at this address, according to the prober's configuration.
        agent: AgentId,
    },
    /// Agent to balancer or peer agent: the load report that answers a probe.
    Report {
        /// Nonce of the probe.
        nonce: u32,
        /// Service of the agent; `None` until the agent knows that it is admitted.
        service: Option<ServiceId>,
        /// Id of the agent; `None` until the agent knows that it is admitted.
        agent: Option<AgentId>,
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// The agent's load.
        load: Load,
    },
    /// Agent to balancers, sent repeatedly: the agent runs and offers its upstream for admission.
    /// Admitted agents continue to send it.
    Announce {
        /// Name of the service the upstream belongs to.
        service: &'a str,
        /// Availability zone of the upstream.
        zone: &'a str,
        /// Address of the upstream itself; only shown to operators.
        upstream: Address,
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// Maximum number of requests that the upstream runs concurrently.
        slots: u16,
        /// Maximum number of connections that the upstream holds concurrently.
        connections: u32,
    },
    /// Any process to any other: carries nothing but the config version of the frame.
    Hello,
}
