//! What a router's decisions can be told, in a form that the time line can carry.

use std::net::SocketAddr;

use sassafrasmast_wire::{AgentId, Incarnation, Load, ServiceId};
use serde::{Deserialize, Serialize};

use crate::config::{Document, document};

/// One input of a router. Datagrams of open flows are routed by their id alone and are not
/// recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "input", rename_all = "kebab-case")]
pub enum Input {
    /// A configuration came in force. Secrets are not part of a recording.
    Config {
        /// The document.
        #[serde(deserialize_with = "document::recorded")]
        document: Box<Document>,
    },
    /// An agent reported its load.
    Report {
        /// Address of the agent.
        from: SocketAddr,
        /// Service it serves.
        service: ServiceId,
        /// Its id.
        agent: AgentId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its load.
        load: Load,
    },
    /// The first datagram of a flow came to a service's address.
    First {
        /// The service.
        service: ServiceId,
    },
}
