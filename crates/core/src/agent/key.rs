//! What makes a non-idempotent request recognisable.

use std::sync::Arc;

use sassafrasmast_wire::Ticket;
use serde::{Deserialize, Serialize};

/// The idempotency key of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Key {
    /// A ticket that names the one agent that may run the request.
    Ticket(Ticket),
    /// A key that the caller made up. It must be claimed in the platform's store.
    Minted(Arc<str>),
}
