//! The writing half of a connection between agents.

use bytes::Bytes;
use tokio::net::tcp::OwnedWriteHalf;

use super::{Answer, Chunk, MAX_DATA_BYTES, MAX_MESSAGE_BYTES};
use crate::peer::{Error, codec};

/// Sends chunks, and the head of an answer, to a peer.
#[derive(Debug)]
pub struct Sender {
    write: OwnedWriteHalf,
}

impl Sender {
    /// A sender that writes to `write`.
    pub fn new(write: OwnedWriteHalf) -> Self {
        Self { write }
    }

    /// Sends the head of an answer.
    ///
    /// # Errors
    ///
    /// If the connection broke or the head is too large.
    pub async fn send_answer(&mut self, answer: &Answer) -> Result<(), Error> {
        codec::write(&mut self.write, answer, MAX_MESSAGE_BYTES).await
    }

    /// Sends bytes of a body.
    ///
    /// # Errors
    ///
    /// If the connection broke.
    pub async fn send_data(&mut self, mut bytes: Bytes) -> Result<(), Error> {
        while !bytes.is_empty() {
            let piece = bytes.split_to(MAX_DATA_BYTES.min(bytes.len()));
            self.send_chunk(&Chunk::Data(piece)).await?;
        }
        Ok(())
    }

    /// Sends one chunk.
    ///
    /// # Errors
    ///
    /// If the connection broke.
    pub async fn send_chunk(&mut self, chunk: &Chunk) -> Result<(), Error> {
        codec::write(&mut self.write, chunk, MAX_MESSAGE_BYTES).await
    }
}
