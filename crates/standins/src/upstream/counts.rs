//! Counts of an upstream.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What an upstream saw and did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Starts of each booking, by the id in its body, else by its idempotency key.
    pub bookings: BTreeMap<String, u64>,
    /// Highest number of starts of one booking.
    pub max_executions: u64,
    /// Requests offered, feeds and reports not counted.
    pub offered: u64,
    /// Requests running now.
    pub running: usize,
    /// Highest number of requests running at once.
    pub peak: usize,
    /// Requests finished with a whole answer.
    pub finished: u64,
    /// Requests refused before they ran.
    pub shed: u64,
    /// Requests whose caller left while they ran.
    pub cancelled: u64,
    /// Requests whose deadline passed while they ran.
    pub expired: u64,
    /// Requests failed by a collapse.
    pub failed: u64,
    /// Times the upstream collapsed.
    pub collapses: u64,
    /// Feeds open now.
    pub feeds: usize,
    /// Feeds ever opened.
    pub feeds_opened: u64,
    /// Manifests read whole.
    pub manifests: u64,
}
