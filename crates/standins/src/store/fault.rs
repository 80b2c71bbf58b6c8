//! Faults of a store.

use serde::{Deserialize, Serialize};

/// Faults that a store obeys until told otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Connections break without a reply, watches included. Leases go on lapsing.
    pub down: bool,
    /// Delay of each reply in milliseconds. A call takes effect before the delay.
    pub delay_ms: u64,
    /// Number of coming writes whose reply is lost after they took effect.
    pub lose_replies: u64,
}
