//! Pieces of bodies between agents.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Largest piece of a body in one message, in bytes.
pub const MAX_DATA_BYTES: usize = 64 * 1_024;

/// Largest message in bytes: a [`Chunk`] or an [`super::Answer`].
pub(crate) const MAX_MESSAGE_BYTES: usize = MAX_DATA_BYTES + 1_024;

/// One message of a body. A body without [`Chunk::End`] is incomplete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Chunk {
    /// Some bytes, at most [`MAX_DATA_BYTES`].
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body is larger than the service allows.
    TooLarge,
}
