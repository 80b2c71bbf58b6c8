//! Errors of encoding and decoding.

use thiserror::Error as ThisError;

/// Failure to encode or decode a frame or a sealed identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The frame or ticket cannot be encoded, or the bytes are not a valid one.
    #[error("malformed frame or ticket")]
    Malformed,
    /// The frame has a protocol version that this build does not support.
    #[error("frame has unsupported protocol version {0}")]
    Version(u8),
    /// The connection id does not have the fixed length.
    #[error("connection id does not have 17 bytes")]
    CidLength,
    /// No key is known for the phase of the identifier.
    #[error("no key is known for key phase {0}")]
    Phase(u8),
    /// The ticket fails authentication with the fleet's key.
    #[error("ticket was not sealed by this fleet")]
    Forged,
    /// The frame is larger than the limit for one datagram.
    #[error("frame is too large for one datagram")]
    TooLarge,
}
