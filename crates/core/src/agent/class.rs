//! Request classes.

use serde::{Deserialize, Serialize};

/// Kind of a request, derived from its method and path: whether it may run more than once, or is a
/// feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A request with a long-lived answer. It holds a connection to the upstream, and a slot only
    /// until the head of the answer arrives. It is not relayed or retried.
    Feed,
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
}
