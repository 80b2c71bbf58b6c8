//! The final answer of a request.

use std::sync::Arc;

use crate::error::{Kind, Outcome};

use super::StoredAnswer;

/// What a caller gets. Each request gets exactly one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The answer that the request's own run, or its relay, has just delivered whole.
    Fresh,
    /// The answer of an earlier run of the same key. The outcome is [`Outcome::Ran`].
    Stored(Arc<StoredAnswer>),
    /// No answer of an upstream. Status and `Retry-After` are those of [`Kind::answer`]; the
    /// outcome is the one given here, which is weaker than the table's where "not run" can't be
    /// never_runs for.
    Error {
        /// Why.
        kind: Kind,
        /// What the caller is told about the run.
        outcome: Outcome,
    },
}
