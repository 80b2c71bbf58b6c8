//! Pieces of a body between agents.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Largest piece of a body in one message, in bytes.
pub const MAX_DATA: usize = 64 * 1_024;

/// Largest message in bytes: a piece, or the head of an answer.
pub(crate) const MAX_MESSAGE: usize = MAX_DATA + 1_024;

/// One step of a body. A body without [`Chunk::End`] is not complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Chunk {
    /// Some bytes, at most [`MAX_DATA`].
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body is larger than the service allows.
    TooLarge,
}
