//! The part of a document that one agent needs.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use sassafrasmast_wire::keys::SECRET_BYTES;
use serde::{Deserialize, Deserializer, de::Error};

use super::{Document, Secrets};

impl Document {
    /// What the agent at `address` needs: its service with all upstreams of it, the zones and the
    /// secrets. Its size does not grow with the number of services. `None` until an agent of
    /// that address is admitted.
    pub fn for_agent(&self, address: SocketAddr) -> Option<Self> {
        let own = self.upstreams.values().find(|u| u.agent == address)?;
        let service = own.service;
        let mut view = self.bare();
        view.services.extend(
            self.services
                .get_key_value(&service)
                .map(|(&id, s)| (id, s.clone())),
        );
        let peers = self.upstreams.iter().filter(|(_, u)| u.service == service);
        view.upstreams = peers.map(|(&agent, u)| (agent, u.clone())).collect();
        view.left_out = self.upstreams.len() - view.upstreams.len();
        Some(view)
    }

    /// The document without services and upstreams: what an agent needs to know that is no
    /// longer admitted.
    pub fn bare(&self) -> Self {
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

    /// A copy that may be shown and recorded: its secrets are zero.
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

/// Reads a document that is part of a tagged enum. Serde buffers such fields and then no longer
/// takes the text of a JSON object's key for a number.
pub(crate) fn recorded<'de, D: Deserializer<'de>>(from: D) -> Result<Box<Document>, D::Error> {
    let value = serde_json::Value::deserialize(from)?;
    serde_json::from_value(value)
        .map(Box::new)
        .map_err(D::Error::custom)
}
