//! A document together with what derives from it.

use sassafrasmast_wire::Keys;

use super::Document;

/// An immutable configuration in force in one process.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The document.
    pub document: Document,
    /// Keys derived from the document's secrets.
    pub keys: Keys,
}

impl Snapshot {
    /// Derives the snapshot; `None` if the secrets are inconsistent.
    pub fn new(document: Document) -> Option<Self> {
        let keys = document.secrets.keys()?;
        Some(Self { document, keys })
    }
}
