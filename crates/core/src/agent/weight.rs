//! How much work a request is.

/// Body bytes from which a request counts as heavy.
pub const HEAVY_BYTES: u64 = 64 * 1024;

/// Service times are learnt, and slots shared, by weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weight {
    /// A booking or a query.
    Small,
    /// A manifest with photos.
    Heavy,
}

impl Weight {
    /// Weight of a request by the length of its body; an unknown length counts as heavy.
    ///
    /// ```
    /// use sassafrasmast_core::agent::Weight;
    /// assert_eq!(Weight::of(Some(300)), Weight::Small);
    /// assert_eq!(Weight::of(None), Weight::Heavy);
    /// ```
    pub fn of(body_bytes: Option<u64>) -> Self {
        match body_bytes {
            Some(bytes) if bytes < HEAVY_BYTES => Self::Small,
            _ => Self::Heavy,
        }
    }

    /// The other weight.
    pub(crate) fn other(self) -> Self {
        match self {
            Self::Small => Self::Heavy,
            Self::Heavy => Self::Small,
        }
    }
}
