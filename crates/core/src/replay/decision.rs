//! Decisions that a replay produces.

use std::{fmt, time::Duration};

use sassafrasmast_wire::{AgentId, ServiceId};

use crate::{error, timeline::RequestId};

/// What was decided or happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecisionKind {
    /// A request is to be handed over to the upstream.
    Start,
    /// The hand-over of a request took place.
    HandedOver,
    /// The hand-over was forbidden by the check immediately before it.
    Forbidden,
    /// The upstream connection of a request is to be closed.
    Abort,
    /// A request is to be relayed to a peer agent.
    Relay(AgentId),
    /// A key is to be claimed in the store.
    Claim,
    /// The final answer of a request.
    Answer {
        /// Outcome reported to the caller.
        outcome: error::Outcome,
        /// Error kind, if the answer is not the upstream's.
        kind: Option<error::Kind>,
    },
    /// The limit on concurrent requests changed.
    Limit(u16),
    /// The upstream collapsed; see [`crate::timeline::Kind::UpstreamCollapsed`].
    Collapsed,
    /// A flow was placed.
    Placed(AgentId),
    /// No agent could take a flow of this service.
    Unplaced(ServiceId),
}

/// A decision with its time, process and request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Time since the first event of the trace.
    pub at: Duration,
    /// Process that made the decision.
    pub process: String,
    /// Request that the decision is about.
    pub request: Option<RequestId>,
    /// What was decided or happened.
    pub kind: DecisionKind,
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "+{:.3}s {}", self.at.as_secs_f64(), self.process)?;
        if let Some(request) = self.request {
            write!(formatter, " #{request}")?;
        }
        match &self.kind {
            DecisionKind::Start => write!(formatter, " start"),
            DecisionKind::HandedOver => write!(formatter, " handed over"),
            DecisionKind::Forbidden => write!(formatter, " hand-over forbidden"),
            DecisionKind::Abort => write!(formatter, " abort"),
            DecisionKind::Relay(to) => write!(formatter, " relay to agent {to}"),
            DecisionKind::Claim => write!(formatter, " claim"),
            DecisionKind::Answer {
                outcome,
                kind: None,
            } => write!(formatter, " answer {outcome}"),
            DecisionKind::Answer {
                outcome,
                kind: Some(kind),
            } => {
                write!(formatter, " answer {outcome}: {kind}")
            }
            DecisionKind::Limit(limit) => write!(formatter, " limit {limit}"),
            DecisionKind::Collapsed => write!(formatter, " upstream collapsed"),
            DecisionKind::Placed(agent) => write!(formatter, " flow placed on agent {agent}"),
            DecisionKind::Unplaced(service) => {
                write!(formatter, " no agent for a flow of service {service}")
            }
        }
    }
}
