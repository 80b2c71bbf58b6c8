//! Partial documents for agents, and copies without secrets.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use sassafrasmast_wire::keys::SECRET_BYTES;
use serde::{Deserialize, Deserializer, de::Error};

use super::{Document, Secrets};

impl Document {
    /// The partial document for the agent at `address`: its service with all upstreams of that
    /// service, the zones and the secrets. Its size does not grow with the number of services.
    /// `None` unless the upstream of an agent with that address is admitted.
    pub fn for_agent(&self, address: SocketAddr) -> Option<Self> {
        let upstream = self.upstreams.values().find(|u| u.agent == address)?;
        let service = upstream.service;
        let mut partial = self.without_services();
        partial.services.extend(
            self.services
                .get_key_value(&service)
                .map(|(&id, s)| (id, s.clone())),
        );
        let upstreams = self.upstreams.iter().filter(|(_, u)| u.service == service);
        partial.upstreams = upstreams.map(|(&agent, u)| (agent, u.clone())).collect();
        partial.left_out = self.upstreams.len() - partial.upstreams.len();
        Some(partial)
    }

    /// The partial document without services and upstreams, for an agent whose upstream is no
    /// longer admitted.
    pub fn without_services(&self) -> Self {
        Self {
            version: self.version,
            operations: VecDeque::new(),
            zones: self.zones.clone(),
            services: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            left_out: self.upstreams.len(),
            next_service: self.next_service,
            next_agent: self.next_agent,
            secrets: self.secrets.clone(),
        }
    }

    /// A copy with zeroed secrets, safe to show and to record.
    pub fn without_secrets(&self) -> Self {
        let phases = self
            .secrets
            .phases
            .keys()
            .map(|&phase| (phase, [0; SECRET_BYTES]));
        let secrets = Secrets {
            sealing: self.secrets.sealing,
            phases: phases.collect(),
            reset: [0; SECRET_BYTES],
        };
        Self {
            operations: VecDeque::new(),
            secrets,
            ..self.clone()
        }
    }
}

/// Deserializes a document inside an internally tagged enum. Serde buffers the fields of such enums
/// and then no longer accepts the keys of a JSON object, which are strings, as integer map keys.
pub(crate) fn recorded<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Box<Document>, D::Error> {
    let value = serde_json::Value::deserialize(deserializer)?;
    serde_json::from_value(value)
        .map(Box::new)
        .map_err(D::Error::custom)
}
