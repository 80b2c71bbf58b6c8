//! Values with the places that they were read from.

use crate::Place;

/// Where a value was read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Path of the key in the document, in the document's own words.
    pub key: String,
    /// Place of the value.
    pub place: Place,
}

/// A value and where it was read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry<T> {
    /// The value.
    pub value: T,
    /// Where it was read from.
    pub origin: Origin,
}
