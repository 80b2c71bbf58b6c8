//! A change delivered by a watch.

use super::{Entry, Revision};

/// A change of one watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// The key was put.
    Put(Entry),
    /// The key was deleted, or its lease expired.
    Delete {
        /// Key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}
