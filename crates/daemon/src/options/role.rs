//! The role of a process.

use serde::Deserialize;

use super::{Agent, Balancer};

/// What this process is.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs on an entry VM.
    Balancer(Balancer),
    /// Runs beside an upstream.
    Agent(Agent),
}
