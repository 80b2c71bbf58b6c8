//! Kinds of events.

use std::{net::SocketAddr, time::Duration};

use sassafrasmast_wire::{AgentId, ConfigVersion, ServiceId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{agent, balancer, config::ZoneName};

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Kind {
    /// The process started.
    Started,
    /// An agent's decision logic started. Its inputs from here on can be replayed.
    AgentSettings {
        /// Address of the agent for frames.
        listen: SocketAddr,
        /// Whether ticks that led to a decision are recorded; if not, a replay runs ticks when they
        /// are due.
        #[serde(default)]
        ticks: bool,
    },
    /// A balancer's decision logic started. Its inputs from here on can be replayed.
    BalancerSettings {
        /// Availability zone of the balancer.
        zone: ZoneName,
        /// Seed of its random number generator.
        seed: u64,
    },
    /// An agent's decision logic got an input.
    AgentInput {
        /// The input.
        #[schemars(with = "serde_json::Value")]
        input: agent::Input,
    },
    /// A balancer's decision logic got an input.
    BalancerInput {
        /// The input.
        #[schemars(with = "serde_json::Value")]
        input: balancer::Input,
    },
    /// The process was asked to stop and finishes its open work.
    Draining,
    /// The process continues after it was not scheduled for some time.
    Resumed {
        /// How long it was not scheduled.
        after: Duration,
    },
    /// The process stopped.
    Stopped,
    /// A configuration came into force.
    ConfigInForce {
        /// Version of the configuration.
        version: ConfigVersion,
    },
    /// A configuration was refused.
    ConfigRefused {
        /// Version of the configuration.
        version: ConfigVersion,
        /// Reason.
        reason: String,
    },
    /// A flow was placed on an agent.
    FlowPlaced {
        /// Service of the flow.
        service: ServiceId,
        /// The agent.
        agent: AgentId,
    },
    /// A flow was accepted by its agent.
    FlowOpened,
    /// A flow ended.
    FlowClosed {
        /// Reason.
        reason: String,
    },
    /// A flow whose agent is gone was reset.
    FlowReset {
        /// The agent that is gone.
        agent: AgentId,
    },
    /// A request arrived at an agent.
    RequestArrived,
    /// A request was handed over to the upstream.
    RequestStarted,
    /// A request was relayed to a peer agent.
    RequestRelayed {
        /// The peer agent.
        agent: AgentId,
    },
    /// A request got its final answer.
    RequestAnswered {
        /// HTTP status.
        status: u16,
        /// Text of [`crate::error::Outcome`].
        outcome: String,
    },
    /// An agent changed its limit on concurrent requests.
    LimitChanged {
        /// The new limit.
        limit: u16,
    },
    /// An upstream collapsed: it was unreachable, or requests failed or became unusually slow. It
    /// is treated as cold.
    UpstreamCollapsed,
    /// A lease in the platform's store was lost.
    LeaseLost,
    /// The platform's store stopped or resumed answering.
    StoreReachable {
        /// Whether it answers now.
        reachable: bool,
    },
}

impl Kind {
    /// Whether the event is an input of the decision logic.
    pub fn is_input(&self) -> bool {
        matches!(self, Self::AgentInput { .. } | Self::BalancerInput { .. })
    }
}
