//! Request classes.

use serde::{Deserialize, Serialize};

/// How often a request may run, derived from its method and path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A request with a long-lived answer. It holds a connection to the upstream, and a slot only
    /// until the head of the answer arrives.
    Feed,
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
}
