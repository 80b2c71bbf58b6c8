//! Report of an agent on itself and its upstream.

use serde::{Deserialize, Serialize};

use super::State;
use crate::Incarnation;

/// State of an agent and its upstream, sent with each of the agent's frames.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the agent.
    pub agent: Incarnation,
    /// Incarnation of the upstream, 0 before its first announcement.
    pub upstream: Incarnation,
    /// Whether the upstream accepts new flows.
    pub state: State,
    /// Requests that the upstream processes concurrently.
    pub slots: u16,
    /// Flows with a request in progress or about to arrive.
    pub busy: u16,
    /// Open flows, busy ones included.
    pub flows: u32,
    /// Whether the agent was told to stop while its upstream runs on. It works until it is killed,
    /// and is expected back.
    pub stopping: bool,
    /// New flows that the upstream can take at present. `u16::MAX` from agents of earlier builds,
    /// which state only what the cold limit allows, and this if there is none.
    pub headroom: u16,
}
