//! Answer for an error kind.

use super::Outcome;

/// What a caller is told: status, outcome, and when a retry makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Seconds for the `Retry-After` header; `None` if a retry makes no sense.
    pub retry_after: Option<u64>,
}
