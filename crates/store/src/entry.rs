//! A key and its value.

use super::{LeaseId, Revision};

/// A key with its value and versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision that created the key.
    pub create_revision: Revision,
    /// Revision of the last change. Comparing with it gives compare-and-swap.
    pub mod_revision: Revision,
    /// Lease that the key lives under, if any.
    pub lease: Option<LeaseId>,
}
