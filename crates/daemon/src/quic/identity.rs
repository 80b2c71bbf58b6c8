//! The identity of an agent whose upstream operators admitted.

use sassafrasmast_core::config::Document;
use sassafrasmast_wire::{Address, AgentId, ServiceId};

/// Service and id that the configuration assigns to the agent at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Id of the agent.
    pub agent: AgentId,
}

impl Identity {
    /// Finds the agent that listens at `listen` for an upstream of the service named `service`. An
    /// admission under another service belongs to another agent, as the address may have been
    /// reused.
    pub fn find(document: &Document, listen: Address, service: &str) -> Option<Self> {
        let found = document.upstreams.iter().find(|(_, u)| u.agent == listen);
        let (&agent, upstream) = found?;
        let named = &document.services.get(&upstream.service)?.name;
        (named == service).then_some(Self {
            service: upstream.service,
            agent,
        })
    }
}
