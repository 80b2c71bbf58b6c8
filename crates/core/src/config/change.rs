//! One change to the configuration.

use std::net::SocketAddr;

use sassafrasmast_wire::{AgentId, KeyPhase};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Service, ServiceName, ZoneName};

/// The closed set of changes that a plan may consist of.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(
    tag = "change",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    deny_unknown_fields
)]
pub enum Change {
    /// Adds an availability zone.
    AddZone {
        /// Its name.
        zone: ZoneName,
    },
    /// Takes an availability zone out: it gets no packet and its flows are given up.
    ZoneOut {
        /// Its name.
        zone: ZoneName,
    },
    /// Brings an availability zone back.
    ZoneIn {
        /// Its name.
        zone: ZoneName,
    },
    /// Removes an availability zone without upstreams.
    RemoveZone {
        /// Its name.
        zone: ZoneName,
    },
    /// Creates a service; it gets the next service id.
    CreateService {
        /// The service.
        service: Service,
    },
    /// Replaces the rules of the service of the same name.
    SetService {
        /// The service.
        service: Service,
    },
    /// Removes a service without upstreams.
    RemoveService {
        /// Its name.
        service: ServiceName,
    },
    /// Admits an announced upstream; its agent gets the next agent id.
    Admit {
        /// Service the upstream belongs to.
        service: ServiceName,
        /// Availability zone of the upstream.
        zone: ZoneName,
        /// Address of the agent for frames and peer calls.
        agent: SocketAddr,
        /// Address of the upstream itself.
        upstream: SocketAddr,
        /// Requests the upstream runs at once.
        slots: u16,
        /// Connections the upstream holds at once.
        connections: u32,
    },
    /// Gives an upstream no new work; open work is finished.
    Drain {
        /// Id of its agent.
        agent: AgentId,
    },
    /// Gives a drained upstream new work again.
    Undrain {
        /// Id of its agent.
        agent: AgentId,
    },
    /// Removes an upstream; flows still open there end.
    RemoveUpstream {
        /// Id of its agent.
        agent: AgentId,
    },
    /// Rotates the sealing key in two steps, so that no process meets ids that it cannot open:
    /// the first adds a key that only opens, the second seals with it.
    RotateKey,
    /// Removes a key that no longer seals; ids sealed with it no longer open.
    RemoveKey {
        /// Its phase.
        phase: KeyPhase,
    },
}
