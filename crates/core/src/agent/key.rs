//! Idempotency keys.

use std::sync::Arc;

use sassafrasmast_wire::Ticket;
use serde::{Deserialize, Serialize};

/// The idempotency key of a request: repeats of a request carry the same key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Key {
    /// A ticket that names the one agent that may run the request.
    Ticket(Ticket),
    /// A key that the caller generated. An agent must claim it in the platform's store before it
    /// runs the request.
    Minted(Arc<str>),
}
