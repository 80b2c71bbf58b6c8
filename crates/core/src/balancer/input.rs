//! Inputs on which a router's placements depend, in the form recorded in the time line.

use std::net::SocketAddr;

use sassafrasmast_wire::{AgentId, Incarnation, Load, ServiceId};
use serde::{Deserialize, Serialize};

use crate::config::{Document, document};

/// One input of a router. Datagrams of open flows are routed by their connection id alone and are
/// not recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "input", rename_all = "kebab-case")]
pub enum Input {
    /// A configuration came into force. Its secrets are not recorded.
    Config {
        /// The configuration document.
        #[serde(deserialize_with = "document::recorded")]
        document: Box<Document>,
    },
    /// An agent reported its load.
    Report {
        /// Address of the agent.
        from: SocketAddr,
        /// Service of the agent.
        service: ServiceId,
        /// Id of the agent.
        agent: AgentId,
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// Reported load.
        load: Load,
    },
    /// The first datagram of a flow arrived at a service's address.
    First {
        /// The service.
        service: ServiceId,
    },
}
