//! The closed set of things that can happen.

use std::{net::SocketAddr, time::Duration};

use sassafrasmast_wire::{AgentId, ConfigVersion, ServiceId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{agent, balancer, config::ZoneName};

/// What an event tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Kind {
    /// The process started.
    Started,
    /// An agent's decisions began. What follows of them can be replayed.
    AgentSettings {
        /// Address of the agent for frames.
        listen: SocketAddr,
        /// Whether the ticks that decided something are recorded; otherwise a replay ticks when
        /// something is due.
        #[serde(default)]
        ticks: bool,
    },
    /// A balancer's decisions began. What follows of them can be replayed.
    BalancerSettings {
        /// Availability zone of the balancer.
        zone: ZoneName,
        /// Seed of its random generator.
        seed: u64,
    },
    /// An agent's decisions were told something.
    AgentInput {
        /// What they were told.
        #[schemars(with = "serde_json::Value")]
        input: agent::Input,
    },
    /// A balancer's decisions were told something.
    BalancerInput {
        /// What they were told.
        #[schemars(with = "serde_json::Value")]
        input: balancer::Input,
    },
    /// The process was told to stop and finishes its work.
    Draining,
    /// The process was not scheduled for some time and goes on.
    Resumed {
        /// How long it stood still.
        after: Duration,
    },
    /// The process stopped.
    Stopped,
    /// A configuration came in force.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
    },
    /// A configuration was refused.
    ConfigRefused {
        /// Its version.
        version: ConfigVersion,
        /// Why.
        reason: String,
    },
    /// A flow was placed on an agent.
    FlowPlaced {
        /// Service of the flow.
        service: ServiceId,
        /// Chosen agent.
        agent: AgentId,
    },
    /// A flow was accepted by its agent.
    FlowOpened,
    /// A flow ended.
    FlowClosed {
        /// Why.
        reason: String,
    },
    /// A flow whose agent is gone was reset.
    FlowReset {
        /// The agent that is gone.
        agent: AgentId,
    },
    /// A request arrived at an agent.
    RequestArrived,
    /// A request was handed to the upstream.
    RequestStarted,
    /// A request was relayed to a peer agent.
    RequestRelayed {
        /// The peer.
        agent: AgentId,
    },
    /// A request got its final answer.
    RequestAnswered {
        /// HTTP status.
        status: u16,
        /// Text of [`crate::error::Outcome`].
        outcome: String,
    },
    /// An agent changed the number of requests it lets run at once.
    LimitChanged {
        /// The new limit.
        limit: u16,
    },
    /// An upstream collapsed and counts as cold.
    UpstreamCollapsed,
    /// A lease of the platform's store was lost.
    LeaseLost,
    /// The platform's store stopped or resumed answering.
    StoreReachable {
        /// Whether it answers.
        reachable: bool,
    },
}

impl Kind {
    /// Whether the event is an input for a replay rather than something for a person to read.
    pub fn is_input(&self) -> bool {
        matches!(self, Self::AgentInput { .. } | Self::BalancerInput { .. })
    }
}
