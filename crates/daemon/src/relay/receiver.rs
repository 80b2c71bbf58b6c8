//! The reading half of a connection between agents.

use tokio::net::tcp::OwnedReadHalf;

use super::{Answer, Chunk, MAX_MESSAGE_BYTES};
use crate::peer::{Error, codec};

/// Receives chunks, and the head of an answer, from a peer.
#[derive(Debug)]
pub struct Receiver {
    read: OwnedReadHalf,
}

impl Receiver {
    /// A receiver that reads from `read`.
    pub fn new(read: OwnedReadHalf) -> Self {
        Self { read }
    }

    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// If the connection broke or the message is malformed.
    pub async fn receive_answer(&mut self) -> Result<Answer, Error> {
        codec::read(&mut self.read, MAX_MESSAGE_BYTES).await
    }

    /// Waits for the next chunk.
    ///
    /// # Errors
    ///
    /// If the connection broke or the message is malformed.
    pub async fn receive_chunk(&mut self) -> Result<Chunk, Error> {
        codec::read(&mut self.read, MAX_MESSAGE_BYTES).await
    }
}
