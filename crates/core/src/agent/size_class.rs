//! Size classes of requests.

/// Body length in bytes from which a request counts as large.
pub const LARGE_BODY_BYTES: u64 = 64 * 1024;

/// Size of a request by its body. Service times are learnt, and slots are shared, per class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SizeClass {
    /// A body shorter than `LARGE_BODY_BYTES`, such as a booking or a query.
    Small,
    /// A longer body, or one of unknown length, such as a manifest with photos.
    Large,
}

impl SizeClass {
    /// Class of a body by its length; an unknown length counts as large.
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

    /// The other class.
    pub(crate) fn other(self) -> Self {
        match self {
            Self::Small => Self::Large,
            Self::Large => Self::Small,
        }
    }
}
