//! Updates that a watch reports.

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

impl Update {
    /// Revision of the change.
    ///
    /// ```
    /// use sassafrasmast_store::Update;
    /// let update = Update::Delete { key: "a".into(), revision: 7 };
    /// assert_eq!(update.revision(), 7);
    /// ```
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.mod_revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}
