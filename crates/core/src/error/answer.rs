//! The answer to an error kind.

use super::Outcome;

/// What a caller is told. A refusal is final at once and says when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Seconds for the `Retry-After` header, if coming back makes sense.
    pub retry_after: Option<u64>,
}
