//! Failures of calls.

use std::io;

use thiserror::Error as ThisError;

/// Failure of a call to a peer.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The connection failed.
    #[error("peer call failed: {0}")]
    Io(#[from] io::Error),
    /// A call or reply was not received or sent in time.
    #[error("peer call timed out")]
    Timeout,
    /// The message cannot be parsed or encoded.
    #[error("peer message is malformed")]
    Malformed,
    /// The message is larger than allowed.
    #[error("peer message of {bytes} bytes is too large, at most {limit} are allowed")]
    TooLarge {
        /// Size of the message.
        bytes: usize,
        /// Largest size allowed.
        limit: usize,
    },
}
