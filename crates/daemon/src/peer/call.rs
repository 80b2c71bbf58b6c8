//! What one process asks of another.

use sassafrasmast_wire::{Address, ConfigVersion};
use serde::{Deserialize, Serialize};

use crate::relay::Head;

/// A question to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Give me the configuration, if you have a newer one.
    Config {
        /// Version in force at the asker; 0 for none.
        have: ConfigVersion,
        /// Address of the asking agent, which gets only its part; `None` for the whole.
        agent: Option<Address>,
    },
    /// Give me some live balancers.
    Balancers,
    /// Tell me your config version.
    Version,
    /// Give me the events of your time line numbered higher than this.
    Events {
        /// Number of the last event known.
        after: u64,
    },
    /// Run this request for me. The connection then carries its body and its answer.
    Relay(Box<Head>),
}
