//! A whole answer kept for repeating.

/// The answer of a non-idempotent request, given again to whoever repeats its key. The fields
/// are opaque to the decisions but for their size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// Status as the upstream gave it.
    pub status: u16,
    /// Headers as the upstream gave them.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Bytes the answer occupies.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let heads: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        size_of::<Self>() + heads + self.body.len()
    }
}
