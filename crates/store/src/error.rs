//! Errors of the store.

use thiserror::Error as ThisError;

use super::Revision;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The store did not reply. A write may or may not have taken effect.
    #[error("the store gave no reply: {0}")]
    Unreachable(String),
    /// The requested revision was compacted.
    #[error("revisions before {oldest} are compacted")]
    Compacted {
        /// Oldest revision that can be watched; 0 if the store did not say.
        oldest: Revision,
    },
    /// The lease expired or never existed.
    #[error("the lease is not found")]
    LeaseNotFound,
    /// The store rejected the call, which had no effect.
    #[error("the store rejected the call (code {code}): {message}")]
    Rejected {
        /// Code of the gRPC status.
        code: i32,
        /// Message of the gRPC status.
        message: String,
    },
    /// The reply cannot be parsed. A write may or may not have taken effect.
    #[error("the store's reply is malformed: {0}")]
    Malformed(String),
}

impl Error {
    /// Whether a write that ended with this error may have taken effect.
    ///
    /// ```
    /// use sassafrasmast_store::Error;
    /// assert!(Error::Unreachable("timeout".into()).is_unsettled());
    /// assert!(!Error::LeaseNotFound.is_unsettled());
    /// ```
    pub fn is_unsettled(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Malformed(_))
    }
}
