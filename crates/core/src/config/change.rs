//! A single change to the configuration.

use std::net::SocketAddr;

use sassafrasmast_wire::{AgentId, KeyPhase};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Service, ServiceName, ZoneName};

/// A change that a plan may contain.
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
    /// Takes an availability zone out of service: it gets no more packets and its open flows end.
    ZoneOut {
        /// Its name.
        zone: ZoneName,
    },
    /// Returns an availability zone to service.
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
    /// Replaces the settings of the service of the same name.
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
        /// Requests the upstream runs concurrently.
        slots: u16,
        /// Connections the upstream holds concurrently.
        connections: u32,
    },
    /// Stops new work to an upstream; open work is finished.
    Drain {
        /// Id of its agent.
        agent: AgentId,
    },
    /// Resumes new work to a draining upstream.
    Undrain {
        /// Id of its agent.
        agent: AgentId,
    },
    /// Removes an upstream; its open flows end.
    RemoveUpstream {
        /// Id of its agent.
        agent: AgentId,
    },
    /// Performs one step of the two-step rotation of the sealing key: the first step adds a key
    /// that only opens ids, the second starts to seal with it. So no process receives an id that
    /// it cannot open.
    RotateKey,
    /// Removes a key that does not seal new ids; ids sealed with it can no longer be opened.
    RemoveKey {
        /// Its phase.
        phase: KeyPhase,
    },
}
