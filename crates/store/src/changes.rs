//! Changes that were read without waiting for one.

use super::{Revision, Update};

/// All changes of a range between two revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Revision of the store when it answered. There is no other change of the range up to it.
    pub revision: Revision,
    /// The changes, in order.
    pub updates: Vec<Update>,
}
