//! Why bytes from the network could not be read.

use thiserror::Error as ThisError;

/// A decoding failure. The bytes are dropped and counted by whoever received them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The bytes are not a message of this protocol.
    #[error("malformed message")]
    Malformed,
    /// The message is of a protocol version this build does not speak.
    #[error("unsupported protocol version {0}")]
    Version(u8),
    /// The id has the wrong length.
    #[error("wrong id length")]
    Length,
    /// No key of the id's phase is known.
    #[error("unknown key phase {0}")]
    Phase(u8),
    /// The id was not sealed under the fleet's key.
    #[error("id was not sealed by this fleet")]
    Forged,
    /// The message would not fit into one datagram.
    #[error("message is larger than one datagram")]
    TooLarge,
}
