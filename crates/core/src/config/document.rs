//! The versioned configuration document kept in the platform's store.

mod apply;
mod partial;
mod validate;

pub(crate) use self::partial::recorded;

use std::collections::{BTreeMap, VecDeque};

use sassafrasmast_wire::{AgentId, ConfigVersion, ServiceId};
use serde::{Deserialize, Serialize};

use super::{Digest, OperationId, Secrets, Service, Upstream, Zone, ZoneName, digest};

pub use self::validate::MAX_DOCUMENT_BYTES;

/// Confirmed operations kept in the document, so that a confirm whose reply was lost, or that is
/// repeated, finds its outcome.
pub const MAX_REMEMBERED_OPERATIONS: usize = 64;

/// The configuration. Stored as JSON, sent between processes as postcard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Incremented by one with each confirmed plan.
    pub version: ConfigVersion,
    /// Recently confirmed operations (`ID:DIGEST`) and the version each produced, oldest first.
    pub operations: VecDeque<(OperationId, ConfigVersion)>,
    /// Availability zones by name.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Admitted upstreams by the id of their agent, which is admitted together with the upstream.
    pub upstreams: BTreeMap<AgentId, Upstream>,
    /// Admitted upstreams omitted from this document; 0 unless it is a partial document.
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
    /// The first document of a fleet: version 1 with secrets only.
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

    /// Whether the upstream of `agent` may get packets: it is admitted and its zone is not out.
    pub fn is_routable(&self, agent: AgentId) -> bool {
        self.upstreams
            .get(&agent)
            .is_some_and(|upstream| self.zones.get(&upstream.zone).is_some_and(|zone| !zone.out))
    }

    /// Number of admitted upstreams in the fleet, including those omitted from this document.
    pub fn total_upstreams(&self) -> usize {
        self.upstreams.len() + self.left_out
    }

    /// Id of the service called `name`.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        self.services
            .iter()
            .find(|(_, service)| service.name == name)
            .map(|(&id, _)| id)
    }

    /// Digest of this document; equal documents have the same digest in all processes.
    pub fn digest(&self) -> Digest {
        digest::of(self)
    }

    /// Version that a confirmed operation produced, while the operation is kept.
    pub fn version_of_operation(&self, operation: &str) -> Option<ConfigVersion> {
        self.operations
            .iter()
            .find(|(id, _)| id == operation)
            .map(|&(_, version)| version)
    }

    /// Records that `operation` produced this version. Only the latest
    /// [`MAX_REMEMBERED_OPERATIONS`] are kept.
    pub fn record_operation(&mut self, operation: OperationId) {
        self.operations.push_back((operation, self.version));
        while self.operations.len() > MAX_REMEMBERED_OPERATIONS {
            self.operations.pop_front();
        }
    }
}
