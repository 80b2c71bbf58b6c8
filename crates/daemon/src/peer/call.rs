//! Calls from one process to another.

use sassafrasmast_wire::{Address, ConfigVersion};
use serde::{Deserialize, Serialize};

use crate::relay::Head;

/// A call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Requests the configuration if the peer has a newer one.
    Config {
        /// Version in force at the sender; 0 for none.
        known_version: ConfigVersion,
        /// Address of the sender if it is an agent, which gets only its part; `None` for the full
        /// configuration.
        agent_address: Option<Address>,
    },
    /// Requests some of the live balancers.
    Balancers,
    /// Requests the config version in force.
    Version,
    /// Requests the events on the peer's time line with higher numbers than `after`.
    Events {
        /// Number of the last event that the sender has.
        after: u64,
    },
    /// Asks the peer to run a request. The connection then carries the request's body and its
    /// answer.
    Relay(Box<Head>),
}
