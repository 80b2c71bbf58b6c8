//! Request and response bodies of the operators' API.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use sassafrasmast_core::{
    config::{Change, Plan, Registration, Service, Upstream, Zone, ZoneName},
    timeline::Event,
};
use sassafrasmast_wire::{AgentId, ConfigVersion, Incarnation, KeyPhase, ServiceId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Changes to plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Wish {
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// A request to put a plan in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    /// The plan, as it was returned.
    pub plan: Plan,
    /// Id chosen by the client. Repeating a confirm with the same operation is idempotent.
    pub operation: String,
}

/// Answer to a successful confirm: the plan is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Confirmed {
    /// Version that the plan created.
    pub version: ConfigVersion,
}

/// The configuration without its secrets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Overview {
    /// Version in force.
    pub version: ConfigVersion,
    /// Availability zones.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Admitted upstreams by the id of their agent.
    pub upstreams: BTreeMap<AgentId, Upstream>,
    /// Phases of the keys that open connection ids and tickets.
    pub keys: Vec<KeyPhase>,
    /// Phase of the key that seals new connection ids and tickets.
    pub sealing: KeyPhase,
}

/// The state of the fleet as known to the balancer that answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Name of the balancer that answers.
    pub balancer: String,
    /// Version in force at this balancer; 0 if it has none.
    pub version: ConfigVersion,
    /// Availability zones.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// Services.
    pub services: Vec<ServiceStatus>,
    /// Admitted upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Announced upstreams that are not admitted yet.
    pub announced: Vec<Announced>,
    /// Live balancers.
    pub balancers: Vec<Registration>,
}

/// State of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceStatus {
    /// Its id.
    pub id: ServiceId,
    /// Its configuration.
    pub service: Service,
    /// Number of its upstreams that are open for new work.
    pub open: usize,
    /// Number of all its upstreams.
    pub upstreams: usize,
}

/// Health of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The balancer that answers has received no report from its agent.
    Unknown,
    /// It started or collapsed recently and gets little load.
    Cold,
    /// It accepts work up to its limit.
    Ready,
    /// It gets no new work and finishes open work.
    Draining,
    /// Its zone is out.
    Out,
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unknown => "unknown",
            Self::Cold => "cold",
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Out => "out",
        })
    }
}

/// State of one admitted upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct UpstreamStatus {
    /// Id of its agent.
    pub agent: AgentId,
    /// Its configuration.
    pub upstream: Upstream,
    /// Name of its service.
    pub service: String,
    /// Its health.
    pub health: Health,
    /// Incarnation of its agent; `null` before the first report.
    pub incarnation: Option<Incarnation>,
    /// Requests running.
    pub running: u16,
    /// Requests queued.
    pub queued: u16,
    /// Requests that its agent currently runs concurrently at most.
    pub limit: u16,
    /// Open flows.
    pub flows: u32,
    /// Milliseconds since the agent's last report; `null` before the first.
    pub age_ms: Option<u64>,
}

/// An announced upstream that is not admitted yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Announced {
    /// Name of the service it is announced for.
    pub service: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address of its agent.
    pub agent: SocketAddr,
    /// Address of the upstream itself.
    pub upstream: SocketAddr,
    /// Requests it runs concurrently.
    pub slots: u16,
    /// Connections it holds concurrently.
    pub connections: u32,
}

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Forwards callers' datagrams to agents; runs on a VM of its own in front of the services, an
    /// entry VM.
    Balancer,
    /// Runs next to an upstream.
    Agent,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Balancer => "balancer",
            Self::Agent => "agent",
        })
    }
}

/// One process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Process {
    /// Address for frames and peer calls.
    pub address: SocketAddr,
    /// Its role.
    pub role: Role,
}

/// Which processes have a version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Progress {
    /// Number of processes queried.
    pub asked: usize,
    /// Processes with a lower version.
    pub behind: Vec<Behind>,
    /// Processes that did not answer.
    pub silent: Vec<Process>,
}

/// A process with a lower version in force than the one queried for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Behind {
    /// The process.
    pub process: Process,
    /// The version it has in force.
    pub version: ConfigVersion,
}

/// A part of the timeline of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Events {
    /// Events in order. For more, query again with `after` set to the last number.
    pub events: Vec<Numbered>,
}

/// An event with its sequence number in its process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Numbered {
    /// Sequence number, from 1.
    pub number: u64,
    /// The event.
    pub event: Event,
}
