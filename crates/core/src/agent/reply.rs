//! The final answer to a caller.

use std::sync::Arc;

use crate::error::{Kind, Outcome};

use super::StoredAnswer;

/// The final answer to a request's caller. Each request gets exactly one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The answer that this request's own run or relay has just delivered completely.
    Fresh,
    /// The stored answer of a run with the same key. The outcome is [`Outcome::Ran`].
    Stored(Arc<StoredAnswer>),
    /// An error instead of an upstream's answer. Status and `Retry-After` are those of
    /// [`Kind::answer`]. The outcome is `outcome`, which may be weaker than that of
    /// [`Kind::answer`] where "not run" can't be guaranteed.
    Error {
        /// The reason.
        kind: Kind,
        /// Whether the request ran, as far as this agent knows.
        outcome: Outcome,
    },
}
