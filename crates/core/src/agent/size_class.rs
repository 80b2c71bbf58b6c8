//! How much work a request is.

/// Body bytes from which a request counts as large.
pub const LARGE_BODY_BYTES: u64 = 64 * 1024;

/// Service times are learnt, and slots shared, by size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SizeClass {
    /// A booking or a query.
    Small,
    /// A manifest with photos.
    Large,
}

impl SizeClass {
    /// SizeClass of a request by the length of its body; an unknown length counts as large.
    ///
    /// ```
    /// use sassafrasmast_core::agent::SizeClass;
    /// assert_eq!(SizeClass::of(Some(300)), SizeClass::Small);
    /// assert_eq!(SizeClass::of(None), SizeClass::Large);
    /// ```
    pub fn of(body_bytes: Option<u64>) -> Self {
        match body_bytes {
            Some(bytes) if bytes < LARGE_BODY_BYTES => Self::Small,
            _ => Self::Large,
        }
    }

    /// The other size.
    pub(crate) fn other(self) -> Self {
        match self {
            Self::Small => Self::Large,
            Self::Large => Self::Small,
        }
    }
}
