//! A key with its value and revisions.

use super::{LeaseId, Revision};

/// A key with its value and revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision that created the key.
    pub create_revision: Revision,
    /// Revision of the last change. Comparing it in a transaction makes a compare-and-swap.
    pub mod_revision: Revision,
    /// Lease that the key is bound to, if any.
    pub lease: Option<LeaseId>,
}
