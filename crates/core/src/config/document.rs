//! The versioned document kept in the platform's store.

mod apply;
mod validate;
mod view;

pub(crate) use self::view::recorded;

use std::collections::{BTreeMap, VecDeque};

use sassafrasmast_wire::{AgentId, ConfigVersion, ServiceId};
use serde::{Deserialize, Serialize};

use super::{Digest, OperationId, Secrets, Service, Upstream, Zone, ZoneName, digest};

pub use self::validate::MAX_DOCUMENT_BYTES;

/// Confirmed operations remembered for settling a lost reply or a second confirm.
pub const REMEMBERED_OPERATIONS: usize = 64;

/// The whole configuration. Kept as JSON in the store, sent as postcard between processes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Grows by one with each confirmed plan.
    pub version: ConfigVersion,
    /// Recently confirmed operations and the version each produced, oldest first.
    pub operations: VecDeque<(OperationId, ConfigVersion)>,
    /// Availability zones by name.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Admitted upstreams by the id of their agent.
    pub upstreams: BTreeMap<AgentId, Upstream>,
    /// Admitted upstreams that this document leaves out; 0 in the whole document.
    #[serde(default)]
    pub left_out: usize,
    /// Next unused service id.
    pub next_service: ServiceId,
    /// Next unused agent id.
    pub next_agent: AgentId,
    /// The fleet's secrets.
    pub secrets: Secrets,
}

impl Document {
    /// The first document of a fleet: version 1, nothing but secrets.
    pub fn first(secrets: Secrets) -> Self {
        Self {
            version: 1,
            operations: VecDeque::new(),
            zones: BTreeMap::new(),
            services: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            left_out: 0,
            next_service: 1,
            next_agent: 1,
            secrets,
        }
    }

    /// Whether the upstream of `agent` may get packets: admitted and its zone is not out.
    pub fn admits(&self, agent: AgentId) -> bool {
        self.upstreams
            .get(&agent)
            .is_some_and(|upstream| self.zones.get(&upstream.zone).is_some_and(|zone| !zone.out))
    }

    /// Admitted upstreams of the whole fleet.
    pub fn fleet(&self) -> usize {
        self.upstreams.len() + self.left_out
    }

    /// Id of the service called `name`.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        self.services
            .iter()
            .find(|(_, service)| service.name == name)
            .map(|(&id, _)| id)
    }

    /// Digest of the whole document, the same in all processes.
    pub fn digest(&self) -> Digest {
        digest::of(self)
    }

    /// Version that a confirmed operation produced, while it is remembered.
    pub fn version_of(&self, operation: &str) -> Option<ConfigVersion> {
        self.operations
            .iter()
            .find(|(id, _)| id == operation)
            .map(|&(_, version)| version)
    }

    /// Remembers that `operation` produced the present version, forgetting the oldest ones.
    pub fn remember(&mut self, operation: OperationId) {
        self.operations.push_back((operation, self.version));
        while self.operations.len() > REMEMBERED_OPERATIONS {
            self.operations.pop_front();
        }
    }
}
