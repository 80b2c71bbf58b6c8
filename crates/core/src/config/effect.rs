//! Effects of a plan, described for operators.

use std::{fmt, net::SocketAddr};

use sassafrasmast_wire::{AgentId, KeyPhase};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ServiceName, ZoneName};

/// One effect of a plan. Its `Display` text is a sentence for operators.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(
    tag = "effect",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case"
)]
pub enum Effect {
    /// A zone is added.
    ZoneAdded {
        /// The zone.
        zone: ZoneName,
    },
    /// A zone is taken out of service.
    ZoneOut {
        /// The zone.
        zone: ZoneName,
        /// Upstreams in the zone.
        upstreams: usize,
    },
    /// A zone is returned to service.
    ZoneIn {
        /// The zone.
        zone: ZoneName,
        /// Upstreams in the zone.
        upstreams: usize,
    },
    /// A zone is removed.
    ZoneRemoved {
        /// The zone.
        zone: ZoneName,
    },
    /// A service is created.
    ServiceCreated {
        /// The service.
        service: ServiceName,
        /// Address that callers send to.
        address: SocketAddr,
    },
    /// The settings of a service are replaced.
    ServiceSet {
        /// The service.
        service: ServiceName,
    },
    /// The address of a service changes.
    ServiceMoved {
        /// The service.
        service: ServiceName,
        /// Address before.
        from: SocketAddr,
        /// Address after.
        to: SocketAddr,
    },
    /// A service is removed.
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// An upstream is admitted.
    Admitted {
        /// Id that its agent gets.
        agent: AgentId,
        /// Address of the upstream.
        upstream: SocketAddr,
        /// Service of the upstream.
        service: ServiceName,
        /// Zone of the upstream.
        zone: ZoneName,
    },
    /// An upstream starts to drain: it gets no new work.
    Draining {
        /// Id of the upstream's agent.
        agent: AgentId,
        /// Address of the upstream.
        upstream: SocketAddr,
    },
    /// An upstream stops draining: it gets new work again.
    Undrained {
        /// Id of the upstream's agent.
        agent: AgentId,
        /// Address of the upstream.
        upstream: SocketAddr,
    },
    /// An upstream is removed.
    Removed {
        /// Id of the upstream's agent.
        agent: AgentId,
        /// Address of the upstream.
        upstream: SocketAddr,
        /// Whether the upstream was draining before its removal.
        drained: bool,
    },
    /// A key is added that opens connection ids and tickets but does not seal them yet.
    KeyAdded {
        /// Phase of the key.
        phase: KeyPhase,
    },
    /// A key starts to seal new connection ids and tickets.
    KeySeals {
        /// Phase of the key.
        phase: KeyPhase,
    },
    /// A key is removed.
    KeyRemoved {
        /// Phase of the key.
        phase: KeyPhase,
    },
    /// The number of slots on the upstreams of a service that take new work changes.
    Capacity {
        /// The service.
        service: ServiceName,
        /// Slots before.
        before: u32,
        /// Slots after.
        after: u32,
        /// Upstreams that take new work after.
        upstreams: usize,
    },
    /// Warning: a service is left without an upstream that takes new work.
    ServiceEmpty {
        /// The service.
        service: ServiceName,
    },
    /// Warning: a service is left with a single zone that takes new work.
    LastZone {
        /// The service.
        service: ServiceName,
        /// The remaining zone.
        zone: ZoneName,
    },
}

impl Effect {
    /// Whether the effect is a warning that operators should check before they confirm.
    ///
    /// ```
    /// use sassafrasmast_core::config::Effect;
    /// let effect = Effect::ServiceEmpty { service: "booking".to_owned() };
    /// assert!(effect.is_warning());
    /// ```
    pub fn is_warning(&self) -> bool {
        match self {
            Self::ServiceEmpty { .. } | Self::LastZone { .. } | Self::ServiceMoved { .. } => true,
            Self::Removed { drained, .. } => !drained,
            _ => false,
        }
    }
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ZoneAdded { zone } => write!(f, "zone {zone} is added"),
            Self::ZoneOut { zone, upstreams } => write!(
                f,
                "zone {zone} goes out: its {upstreams} upstreams stop getting packets within \
                 5 s and their open flows end"
            ),
            Self::ZoneIn { zone, upstreams } => write!(
                f,
                "zone {zone} comes back: its {upstreams} upstreams start cold and take work again"
            ),
            Self::ZoneRemoved { zone } => write!(f, "zone {zone} is removed"),
            Self::ServiceCreated { service, address } => {
                write!(f, "service {service} is created at {address}")
            }
            Self::ServiceSet { service } => write!(f, "service {service} gets new settings"),
            Self::ServiceMoved { service, from, to } => write!(
                f,
                "service {service} moves from {from} to {to}: flows to the old address end"
            ),
            Self::ServiceRemoved { service } => write!(f, "service {service} is removed"),
            Self::Admitted {
                agent,
                upstream,
                service,
                zone,
            } => write!(
                f,
                "upstream {upstream} is admitted to service {service} in zone {zone} as agent \
                 {agent}"
            ),
            Self::Draining { agent, upstream } => write!(
                f,
                "upstream {upstream} (agent {agent}) gets no new work; its open flows go on"
            ),
            Self::Undrained { agent, upstream } => {
                write!(
                    f,
                    "upstream {upstream} (agent {agent}) takes new work again"
                )
            }
            _ => self.fmt_rest(f),
        }
    }
}

impl Effect {
    /// Formats removals of upstreams, key changes, capacity and remaining zones.
    fn fmt_rest(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Removed {
                agent,
                upstream,
                drained: true,
            } => {
                write!(
                    f,
                    "upstream {upstream} (agent {agent}) is removed; its remaining flows end"
                )
            }
            Self::Removed {
                agent,
                upstream,
                drained: false,
            } => write!(
                f,
                "upstream {upstream} (agent {agent}) is removed without a drain: its open flows \
                 end"
            ),
            Self::KeyAdded { phase } => write!(
                f,
                "key {phase} is added and opens connection ids and tickets; once this version is \
                 in force in every process, rotate again to seal with it"
            ),
            Self::KeySeals { phase } => write!(
                f,
                "key {phase} seals new connection ids and tickets; older keys still open those \
                 sealed with them"
            ),
            Self::KeyRemoved { phase } => write!(
                f,
                "key {phase} is removed: flows whose connection id is sealed with it end and \
                 tickets sealed with it become invalid"
            ),
            Self::Capacity {
                service,
                before,
                after,
                upstreams,
            } => write!(
                f,
                "service {service} has {after} slots on {upstreams} upstreams that take new \
                 work, {before} slots before"
            ),
            Self::ServiceEmpty { service } => {
                write!(
                    f,
                    "service {service} has no upstream left that takes new work"
                )
            }
            Self::LastZone { service, zone } => {
                write!(
                    f,
                    "zone {zone} is the last one in which service {service} takes new work"
                )
            }
            _ => Ok(()),
        }
    }
}
