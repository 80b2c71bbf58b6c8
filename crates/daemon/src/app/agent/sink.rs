//! Where the answer of a request goes.

use bytes::Bytes;
use h3::{error::Code, server::RequestStream};
use thiserror::Error as ThisError;

use super::Answer;
use crate::{
    http3,
    relay::{self, Chunk, Fields},
};

/// Whoever asked is no longer there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
#[error("the caller is gone")]
pub struct Gone;

/// A caller, or a peer that relayed its request. Dropped before [`Sink::finish`], the answer is
/// seen to be incomplete.
pub enum Sink {
    /// A caller's request stream.
    Caller(Box<RequestStream<http3::Sender<Bytes>, Bytes>>),
    /// The connection of a peer.
    Peer(relay::Sender),
}

impl Sink {
    /// Sends the head of an answer.
    ///
    /// # Errors
    ///
    /// [`Gone`].
    pub async fn head(&mut self, answer: &Answer, ticket: Option<&str>) -> Result<(), Gone> {
        match self {
            Self::Caller(stream) => {
                let sent = stream.send_response(answer.head(ticket)).await;
                sent.map_err(|_| Gone)
            }
            Self::Peer(sender) => {
                let head = relay::Answer {
                    status: answer.status.as_u16(),
                    headers: Fields::new(&answer.headers),
                    outcome: answer.outcome,
                    kind: answer.kind,
                };
                sender.answer(&head).await.map_err(|_| Gone)
            }
        }
    }

    /// Sends a piece of the body.
    ///
    /// # Errors
    ///
    /// [`Gone`].
    pub async fn data(&mut self, bytes: Bytes) -> Result<(), Gone> {
        if bytes.is_empty() {
            return Ok(());
        }
        match self {
            Self::Caller(stream) => stream.send_data(bytes).await.map_err(|_| Gone),
            Self::Peer(sender) => sender.data(bytes).await.map_err(|_| Gone),
        }
    }

    /// Ends a whole answer.
    ///
    /// # Errors
    ///
    /// [`Gone`].
    pub async fn finish(mut self) -> Result<(), Gone> {
        match &mut self {
            Self::Caller(stream) => stream.finish().await.map_err(|_| Gone),
            Self::Peer(sender) => sender.chunk(&Chunk::End).await.map_err(|_| Gone),
        }
    }

    /// Ends an answer that is not whole.
    pub fn abort(mut self) {
        if let Self::Caller(stream) = &mut self {
            stream.stop_stream(Code::H3_INTERNAL_ERROR);
        }
    }
}
