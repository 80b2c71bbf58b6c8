//! How a request may be treated.

use serde::{Deserialize, Serialize};

/// What the method and path of a request allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A long-lived answer. Holds a connection of the upstream, and a slot only until the head
    /// of the answer arrives.
    Feed,
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
}
