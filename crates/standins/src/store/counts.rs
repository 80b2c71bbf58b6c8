//! Counters of calls to the store.

use serde::{Deserialize, Serialize};

/// Calls that reached the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Range calls.
    pub reads: u64,
    /// Transactions, puts, lease grants, keep-alives and revocations.
    pub writes: u64,
    /// Watches open now.
    pub watches: u64,
    /// Watches opened since the start.
    pub watches_opened: u64,
}
