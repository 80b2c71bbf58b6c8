//! What one confirm changed, as written next to the document.

use sassafrasmast_wire::{ConfigVersion, keys::Secret};
use serde::{Deserialize, Serialize};

use super::{Change, Digest, Document, OperationId};

/// A small description of one new version, so that watchers need not read the whole document.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Version that the changes produced.
    pub version: ConfigVersion,
    /// Operation that confirmed them.
    pub operation: OperationId,
    /// The changes.
    pub changes: Vec<Change>,
    /// Key that the changes may have added.
    pub fresh: Secret,
    /// Digest of the document after the changes.
    pub digest: Digest,
}

impl Record {
    /// The document that follows `base`. `None` if the record is not about the next version or
    /// the result is not the one that was confirmed; the whole document must be read then.
    pub fn follow(&self, base: &Document) -> Option<Document> {
        if self.version != base.version.checked_add(1)? {
            return None;
        }
        let mut next = base.apply(&self.changes, &self.fresh).ok()?;
        next.remember(self.operation.clone());
        (next.digest() == self.digest).then_some(next)
    }
}
