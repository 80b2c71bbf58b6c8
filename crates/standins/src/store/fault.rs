//! Faults injected into the store.

use serde::{Deserialize, Serialize};

/// Faults of the store, in force until the next `POST /standin/fault`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Connections, including watches, are closed without a reply. Leases still expire.
    pub down: bool,
    /// Delay of each reply in milliseconds. A call takes effect before the delay.
    pub delay_ms: u64,
    /// Number of coming writes that take effect but whose reply is lost.
    pub lose_replies: u64,
}
