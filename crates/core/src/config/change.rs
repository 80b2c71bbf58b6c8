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
        /// Name of the zone.
        zone: ZoneName,
    },
    /// Takes an availability zone out of service: it gets no more packets and its open flows end.
    ZoneOut {
        /// Name of the zone.
        zone: ZoneName,
    },
    /// Returns an availability zone to service.
    ZoneIn {
        /// Name of the zone.
        zone: ZoneName,
    },
    /// Removes an availability zone without upstreams.
    RemoveZone {
        /// Name of the zone.
        zone: ZoneName,
    },
    /// Creates a service; it gets the next service id.
    CreateService {
        /// Settings of the service.
        service: Service,
    },
    /// Replaces the settings of the service of the same name.
    SetService {
        /// Settings of the service.
        service: Service,
    },
    /// Removes a service without upstreams.
    RemoveService {
        /// Name of the service.
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
        /// Largest number of requests the upstream runs concurrently.
        slots: u16,
        /// Largest number of connections the upstream holds concurrently.
        connections: u32,
    },
    /// Stops new work to an upstream; open work is finished.
    Drain {
        /// Id of the upstream's agent.
        agent: AgentId,
    },
    /// Resumes new work to a draining upstream.
    Undrain {
        /// Id of the upstream's agent.
        agent: AgentId,
    },
    /// Removes an upstream; its open flows end.
    RemoveUpstream {
        /// Id of the upstream's agent.
        agent: AgentId,
    },
    /// Performs one step of the two-step rotation of the sealing key: the first step adds a key
    /// that only opens connection ids and tickets, the second starts to seal with it. So no
    /// process receives an id or ticket that it cannot open.
    RotateKey,
    /// Removes a key that is not the sealing key; connection ids and tickets sealed with it can no
    /// longer be opened.
    RemoveKey {
        /// Phase of the key.
        phase: KeyPhase,
    },
}
