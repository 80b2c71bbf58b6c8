//! Counts of a store's calls.

use serde::{Deserialize, Serialize};

/// Calls that reached the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Ranges.
    pub reads: u64,
    /// Transactions, puts, lease grants, keep-alives and revocations.
    pub writes: u64,
    /// Watches waiting now.
    pub watches: u64,
    /// Watches ever opened.
    pub watches_opened: u64,
}
