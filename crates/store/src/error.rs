//! Errors of calls to the store.

use thiserror::Error as ThisError;

use super::{Era, Revision};

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// No reply. A write may or may not have taken effect.
    #[error("the store gave no reply: {0}")]
    Unreachable(String),
    /// The requested revision has been compacted.
    #[error("revisions before {oldest} are compacted")]
    Compacted {
        /// Oldest revision that can be watched; 0 if the store did not say.
        oldest: Revision,
    },
    /// The store has come back from an older copy: what it answered before, in an earlier era, no
    /// longer holds.
    #[error("the store has come back from an older copy, era {era}")]
    Restored {
        /// The era since.
        era: Era,
    },
    /// The lease has expired or never existed.
    #[error("the lease is not found")]
    LeaseNotFound,
    /// The store rejected the call, which had no effect.
    #[error("the store rejected the call (code {code}): {message}")]
    Rejected {
        /// gRPC or HTTP status code of the store; 0 if its client rejected the call.
        code: i32,
        /// Reason as stated by the store.
        message: String,
    },
    /// The reply cannot be decoded. A write may or may not have taken effect.
    #[error("the store's reply is malformed: {0}")]
    Malformed(String),
}

impl Error {
    /// Whether a write that ended with this error may have taken effect.
    ///
    /// ```
    /// use sassafrasmast_store::Error;
    /// assert!(Error::Unreachable("timeout".into()).may_have_taken_effect());
    /// assert!(!Error::LeaseNotFound.may_have_taken_effect());
    /// ```
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Malformed(_))
    }
}
