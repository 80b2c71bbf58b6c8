//! Counters of an upstream.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counters that an upstream reports at `/standin/counts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Executions of each booking, by the id in its body, else by its idempotency key.
    pub bookings: BTreeMap<String, u64>,
    /// Highest number of executions of one booking.
    pub max_executions: u64,
    /// Bookings and manifests received, whether or not they ran.
    pub offered: u64,
    /// Requests running now.
    pub running: usize,
    /// Highest number of requests running at once.
    pub peak: usize,
    /// Requests finished with a complete answer.
    pub finished: u64,
    /// Requests refused before they ran.
    pub shed: u64,
    /// Requests whose caller disconnected while they ran.
    pub cancelled: u64,
    /// Requests whose deadline passed while they ran.
    pub expired: u64,
    /// Requests that failed because of a collapse.
    pub failed: u64,
    /// Number of collapses.
    pub collapses: u64,
    /// Feeds open now.
    pub feeds: usize,
    /// Feeds opened since the start.
    pub feeds_opened: u64,
    /// Manifests received completely.
    pub manifests: u64,
}
