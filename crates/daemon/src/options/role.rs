//! The role of a process.

use serde::Deserialize;

use super::{Agent, Balancer};

/// Role of a process and its settings.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Forwards callers' datagrams to agents; runs on a VM of its own in front of the services, an
    /// entry VM.
    Balancer(Balancer),
    /// Runs next to an upstream.
    Agent(Agent),
}
