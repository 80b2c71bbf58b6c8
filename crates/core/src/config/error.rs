//! Errors in changes, plans and documents.

use std::net::SocketAddr;

use sassafrasmast_wire::{AgentId, ConfigVersion, KeyPhase, ServiceId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

use super::{ServiceName, ZoneName};

/// Why a change, a plan or a document is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema, ThisError)]
#[serde(
    tag = "refusal",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum Error {
    /// The plan has no changes.
    #[error("the plan has no changes")]
    Empty,
    /// The plan has too many changes.
    #[error("the plan has {count} changes, at most {limit} are allowed")]
    TooMany {
        /// Changes in the plan.
        count: usize,
        /// Largest number of changes in a plan.
        limit: usize,
    },
    /// A name is empty, too long or has characters other than letters, digits, '-', '_' and '.'.
    #[error("{name:?} is not a name: 1 to 64 letters, digits, '-', '_' or '.' are wanted")]
    Name {
        /// The given text.
        name: String,
    },
    /// The availability zone exists already.
    #[error("zone {zone} exists already")]
    ZoneExists {
        /// Name of the zone.
        zone: ZoneName,
    },
    /// There is no such availability zone.
    #[error("there is no zone {zone}")]
    ZoneUnknown {
        /// The given name.
        zone: ZoneName,
    },
    /// The availability zone is already in the requested state.
    #[error("zone {zone} is {} already", if *out { "out" } else { "in" })]
    ZoneUnchanged {
        /// Name of the zone.
        zone: ZoneName,
        /// Whether it is out.
        out: bool,
    },
    /// The availability zone still has upstreams.
    #[error("zone {zone} still has {upstreams} upstreams")]
    ZoneInUse {
        /// Name of the zone.
        zone: ZoneName,
        /// Upstreams in the zone.
        upstreams: usize,
    },
    /// The service exists already.
    #[error("service {service} exists already")]
    ServiceExists {
        /// Name of the service.
        service: ServiceName,
    },
    /// There is no such service.
    #[error("there is no service {service}")]
    ServiceUnknown {
        /// The given name.
        service: ServiceName,
    },
    /// The service already has the requested settings.
    #[error("service {service} is set so already")]
    ServiceUnchanged {
        /// Name of the service.
        service: ServiceName,
    },
    /// The service still has upstreams.
    #[error("service {service} still has {upstreams} upstreams")]
    ServiceInUse {
        /// Name of the service.
        service: ServiceName,
        /// Upstreams of the service.
        upstreams: usize,
    },
    /// Two services have the same address.
    #[error("services {first} and {second} share the address {address}")]
    ServiceAddressShared {
        /// One service.
        first: ServiceName,
        /// The other one.
        second: ServiceName,
        /// The address.
        address: SocketAddr,
    },
    /// An address is not usable: port 0, or an unspecified or multicast IP address.
    #[error("{address} is not usable as an address of {what}")]
    Address {
        /// The given address.
        address: SocketAddr,
        /// The object that it is the address of.
        what: String,
    },
    /// A limit is zero.
    #[error("{limit} of {what} is zero")]
    ZeroLimit {
        /// Name of the limit.
        limit: String,
        /// The object that it limits.
        what: String,
    },
    /// A path prefix of feeds does not start with '/'.
    #[error("feed path {path:?} of service {service} does not start with '/'")]
    FeedPath {
        /// The service.
        service: ServiceName,
        /// The given path.
        path: String,
    },
    /// Two upstreams have the same agent address.
    #[error("agents {first} and {second} share the address {address}")]
    AgentAddressShared {
        /// One agent.
        first: AgentId,
        /// The other one.
        second: AgentId,
        /// The address.
        address: SocketAddr,
    },
    /// Two agents serve the same upstream.
    #[error("agents {first} and {second} are both beside the upstream {address}")]
    UpstreamShared {
        /// One agent.
        first: AgentId,
        /// The other one.
        second: AgentId,
        /// Address of the upstream.
        address: SocketAddr,
    },
    /// There is no such agent.
    #[error("there is no admitted agent {agent}")]
    AgentUnknown {
        /// The given id.
        agent: AgentId,
    },
    /// The upstream is already in the requested state.
    #[error("the upstream of agent {agent} is {}", if *draining { "draining already" } else { "not draining" })]
    DrainUnchanged {
        /// Id of the upstream's agent.
        agent: AgentId,
        /// Whether it is draining.
        draining: bool,
    },
    /// An upstream names a service that does not exist.
    #[error("the upstream of agent {agent} belongs to service {service}, which does not exist")]
    ServiceMissing {
        /// Id of the upstream's agent.
        agent: AgentId,
        /// The service.
        service: ServiceId,
    },
    /// An upstream names an availability zone that does not exist.
    #[error("the upstream of agent {agent} is in zone {zone}, which does not exist")]
    ZoneMissing {
        /// Id of the upstream's agent.
        agent: AgentId,
        /// The availability zone.
        zone: ZoneName,
    },
    /// An id is not below the next id to assign, so it could be assigned twice.
    #[error("{what} id {id} is not below the next one, {next}")]
    Counter {
        /// Kind of id.
        what: String,
        /// The id.
        id: u32,
        /// The next id to assign.
        next: u32,
    },
    /// All ids of a kind are used up.
    #[error("no {what} id is left")]
    IdsSpent {
        /// Kind of id.
        what: String,
    },
    /// The sealing phase has no key.
    #[error("the sealing phase {phase} has no key")]
    SealingKey {
        /// The phase.
        phase: KeyPhase,
    },
    /// There is no such key.
    #[error("there is no key of phase {phase}")]
    KeyUnknown {
        /// The phase.
        phase: KeyPhase,
    },
    /// The key is the sealing key.
    #[error("the key of phase {phase} seals new ids and cannot be removed")]
    KeyInUse {
        /// The phase.
        phase: KeyPhase,
    },
    /// Two phases have the same key.
    #[error("key phases {first} and {second} have the same key")]
    KeyShared {
        /// One phase.
        first: KeyPhase,
        /// The other one.
        second: KeyPhase,
    },
    /// The document has too many keys.
    #[error("{count} keys are kept, at most {limit} are allowed: remove an old one first")]
    TooManyKeys {
        /// Keys in the document.
        count: usize,
        /// Largest number of keys.
        limit: usize,
    },
    /// The plan has more than one key change (rotation step or removal).
    #[error("a plan may hold one change of keys")]
    KeysTwice,
    /// A document has version 0.
    #[error("version 0 is no configuration")]
    VersionZero,
    /// The document is too large for one value in the store.
    #[error("the document has {bytes} bytes, at most {limit} are allowed")]
    TooLarge {
        /// Size of the document.
        bytes: usize,
        /// Largest size allowed.
        limit: usize,
    },
    /// All versions are used up.
    #[error("no version is left after {version}")]
    VersionSpent {
        /// The last version.
        version: ConfigVersion,
    },
}
