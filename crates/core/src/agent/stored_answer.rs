//! Answers stored for repeats.

/// The answer of a non-idempotent request, given to repeats with the same key. The agent uses only
/// its size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// Status from the upstream.
    pub status: u16,
    /// Headers from the upstream.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Size of the answer in memory, in bytes.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let heads: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        size_of::<Self>() + heads + self.body.len()
    }
}
