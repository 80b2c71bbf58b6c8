//! Record of one confirmed plan, stored next to the document.

use sassafrasmast_wire::{ConfigVersion, keys::Secret};
use serde::{Deserialize, Serialize};

use super::{Change, Digest, Document, OperationId};

/// The changes that produced one version, so that watchers need not read the full document.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Version that the changes produced.
    pub version: ConfigVersion,
    /// Operation that confirmed the changes, as `ID:DIGEST`.
    pub operation: OperationId,
    /// The changes.
    pub changes: Vec<Change>,
    /// Random key, added to the document if the changes add a key.
    pub fresh: Secret,
    /// Digest of the document after the changes.
    pub digest: Digest,
}

impl Record {
    /// Applies the record to `base` and returns the next document. `None` if the record is not for
    /// the version after `base` or the result has another digest than the confirmed document; the
    /// full document must then be read.
    pub fn apply_to(&self, base: &Document) -> Option<Document> {
        if self.version != base.version.checked_add(1)? {
            return None;
        }
        let mut next = base.apply(&self.changes, &self.fresh).ok()?;
        next.record_operation(self.operation.clone());
        (next.digest() == self.digest).then_some(next)
    }
}
