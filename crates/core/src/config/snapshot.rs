//! A document with the keys derived from it.

use sassafrasmast_wire::Keys;

use super::Document;

/// An immutable configuration, in force in one process.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The document.
    pub document: Document,
    /// Keys derived from the document's secrets.
    pub keys: Keys,
}

impl Snapshot {
    /// Derives the keys; `None` if the sealing phase has no secret.
    pub fn new(document: Document) -> Option<Self> {
        let keys = document.secrets.keys()?;
        Some(Self { document, keys })
    }
}
