//! Who an agent is once operators admitted its upstream.

use sassafrasmast_core::config::Document;
use sassafrasmast_wire::{Address, AgentId, ServiceId};

/// What the configuration says about the agent at one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Id of the agent.
    pub agent: AgentId,
}

impl Identity {
    /// Looks up the agent that listens at `listen` before an upstream of the service named
    /// `service`. An admission under another service is not this agent's: the address may have
    /// been reused.
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
