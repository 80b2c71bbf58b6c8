//! Range of keys, and the result of reading one.

use super::{Entry, Revision};

/// One key, or all keys with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Range {
    /// Exactly this key.
    Key(String),
    /// All keys that start with this text.
    Prefix(String),
}

impl Range {
    /// First key of the range.
    ///
    /// ```
    /// use sassafrasmast_store::Range;
    /// assert_eq!(Range::Key("a".into()).start(), "a");
    /// ```
    pub fn start(&self) -> &str {
        match self {
            Self::Key(key) | Self::Prefix(key) => key,
        }
    }

    /// First key after the range of a prefix; `None` for a single key.
    ///
    /// ```
    /// use sassafrasmast_store::Range;
    /// assert_eq!(Range::Prefix("a/".into()).end(), Some(b"a0".to_vec()));
    /// ```
    pub fn end(&self) -> Option<Vec<u8>> {
        let Self::Prefix(prefix) = self else {
            return None;
        };
        let mut end = prefix.clone().into_bytes();
        match end.last_mut() {
            // UTF-8 text has no byte 0xff, so this never overflows.
            Some(last) => *last += 1,
            None => end.push(0),
        }
        Some(end)
    }
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store at the time of the read. A watch from the next revision on misses no
    /// change.
    pub revision: Revision,
    /// Entries, ordered by key.
    pub entries: Vec<Entry>,
}
