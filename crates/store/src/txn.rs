//! A conditional write.

use super::{LeaseId, Revision};

/// Writes that are applied atomically if all comparisons hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// Comparisons, all of which must hold.
    pub compares: Vec<Compare>,
    /// Keys to put.
    pub puts: Vec<Put>,
    /// Keys to delete. Those that do not exist are ignored.
    pub deletes: Vec<String>,
}

/// A condition on one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last changed at this revision.
    ModRevision(String, Revision),
    /// The key was created at this revision.
    CreateRevision(String, Revision),
}

/// A key to put.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Put {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease to bind the key to.
    pub lease: Option<LeaseId>,
}

/// Result of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// Whether the comparisons held and the writes took effect.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
}
