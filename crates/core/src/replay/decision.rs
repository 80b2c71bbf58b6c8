//! One decision that a replay produced.

use std::{fmt, time::Duration};

use sassafrasmast_wire::{AgentId, ServiceId};

use crate::{error, timeline::RequestId};

/// What was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    /// To hand a request to the upstream.
    Start,
    /// The hand-over took place.
    HandedOver,
    /// The hand-over was forbidden at the last moment.
    Forbidden,
    /// To drop the upstream connection of a request.
    Abort,
    /// To relay a request.
    Relay(AgentId),
    /// To claim a key in the store.
    Claim,
    /// The final answer of a request.
    Answer {
        /// What the caller is told about the run.
        outcome: error::Outcome,
        /// Why there is no answer of the upstream, if there is none.
        kind: Option<error::Kind>,
    },
    /// Another number of requests may run at once.
    Limit(u16),
    /// The upstream counts as collapsed.
    Collapsed,
    /// A flow was placed.
    Placed(AgentId),
    /// No agent could take a flow.
    Unplaced(ServiceId),
}

/// A decision with its time and place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Time since the first event of the trace.
    pub at: Duration,
    /// Deciding process.
    pub process: String,
    /// Request concerned.
    pub request: Option<RequestId>,
    /// What was decided.
    pub what: What,
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "+{:.3}s {}", self.at.as_secs_f64(), self.process)?;
        if let Some(request) = self.request {
            write!(formatter, " #{request}")?;
        }
        match &self.what {
            What::Start => write!(formatter, " start"),
            What::HandedOver => write!(formatter, " handed over"),
            What::Forbidden => write!(formatter, " hand-over forbidden"),
            What::Abort => write!(formatter, " abort"),
            What::Relay(to) => write!(formatter, " relay to agent {to}"),
            What::Claim => write!(formatter, " claim"),
            What::Answer {
                outcome,
                kind: None,
            } => write!(formatter, " answer {outcome}"),
            What::Answer {
                outcome,
                kind: Some(kind),
            } => {
                write!(formatter, " answer {outcome}: {kind}")
            }
            What::Limit(limit) => write!(formatter, " limit {limit}"),
            What::Collapsed => write!(formatter, " upstream collapsed"),
            What::Placed(agent) => write!(formatter, " flow placed on agent {agent}"),
            What::Unplaced(service) => {
                write!(formatter, " no agent for a flow of service {service}")
            }
        }
    }
}
