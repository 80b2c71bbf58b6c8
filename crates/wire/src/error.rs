//! Errors of encoding and decoding.

use thiserror::Error as ThisError;

/// Failure to encode or decode a frame or a sealed identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The bytes are not a valid message of this protocol.
    #[error("malformed message")]
    Malformed,
    /// The message has a protocol version that this build does not support.
    #[error("unsupported protocol version {0}")]
    Version(u8),
    /// The connection id has the wrong length.
    #[error("connection id has the wrong length")]
    Length,
    /// No key is known for the phase of the identifier.
    #[error("unknown key phase {0}")]
    Phase(u8),
    /// The ticket fails authentication with the fleet's key.
    #[error("ticket was not sealed by this fleet")]
    Forged,
    /// The message is larger than the limit for one datagram.
    #[error("message is too large for one datagram")]
    TooLarge,
}
