//! Messages of the operators' API.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use sassafrasmast_core::{
    config::{Change, Plan, Registration, Service, Upstream, Zone, ZoneName},
    timeline::Event,
};
use sassafrasmast_wire::{AgentId, ConfigVersion, Incarnation, KeyPhase, ServiceId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What an operator wants to change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Wish {
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// A plan to be put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    /// The plan, as it was returned.
    pub plan: Plan,
    /// Chosen by whoever confirms. Repeating a confirm with the same operation is idempotent.
    pub operation: String,
}

/// The plan is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Confirmed {
    /// Version that the plan produced.
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
    /// Phases of the keys that open ids.
    pub keys: Vec<KeyPhase>,
    /// Phase of the key that seals new ids.
    pub sealing: KeyPhase,
}

/// The fleet as the asked balancer sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Name of the asked balancer.
    pub balancer: String,
    /// Version in force there; 0 for none.
    pub version: ConfigVersion,
    /// Availability zones.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// Services.
    pub services: Vec<ServiceStatus>,
    /// Admitted upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Upstreams that wait to be admitted.
    pub announced: Vec<Announced>,
    /// Live balancers.
    pub balancers: Vec<Registration>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceStatus {
    /// Its id.
    pub id: ServiceId,
    /// Its rules.
    pub service: Service,
    /// Upstreams that may get new work.
    pub open: usize,
    /// All its upstreams.
    pub upstreams: usize,
}

/// How an upstream does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The asked balancer never heard its agent.
    Unknown,
    /// It recently started or collapsed and bears little load.
    Cold,
    /// It takes work up to its limit.
    Ready,
    /// No new work; open work is finished.
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

/// One admitted upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct UpstreamStatus {
    /// Id of its agent.
    pub agent: AgentId,
    /// As admitted.
    pub upstream: Upstream,
    /// Name of its service.
    pub service: String,
    /// How it does.
    pub health: Health,
    /// Incarnation of its agent, once heard.
    pub incarnation: Option<Incarnation>,
    /// Requests running.
    pub running: u16,
    /// Requests waiting.
    pub queued: u16,
    /// Requests that its agent lets run at once.
    pub limit: u16,
    /// Open flows.
    pub flows: u32,
    /// Milliseconds since the agent was last heard.
    pub age_ms: Option<u64>,
}

/// An upstream that waits to be admitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Announced {
    /// Service that it wants to belong to.
    pub service: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address of its agent.
    pub agent: SocketAddr,
    /// Address of the upstream itself.
    pub upstream: SocketAddr,
    /// Requests it runs at once.
    pub slots: u16,
    /// Connections it holds at once.
    pub connections: u32,
}

/// What a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs on an entry VM.
    Balancer,
    /// Runs beside an upstream.
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
    /// What it is.
    pub role: Role,
}

/// How far a version has spread.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Progress {
    /// Processes asked.
    pub asked: usize,
    /// Processes with a lower version.
    pub behind: Vec<Behind>,
    /// Processes that did not answer.
    pub silent: Vec<Process>,
}

/// A process that has a lower version than asked about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Behind {
    /// The process.
    pub process: Process,
    /// The version it has in force.
    pub version: ConfigVersion,
}

/// A part of one process's time line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Events {
    /// Events in order. Ask again with the last number for more.
    pub events: Vec<Numbered>,
}

/// An event and its number in its process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Numbered {
    /// Number, growing from 1.
    pub number: u64,
    /// The event.
    pub event: Event,
}
