//! Destinations of answers.

use bytes::Bytes;
use h3::{error::Code, server::RequestStream};
use thiserror::Error as ThisError;

use super::Answer;
use crate::{
    http3,
    relay::{self, Chunk, Fields},
};

/// The caller, or the peer that relayed the request, closed its stream or connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
#[error("the caller or relaying peer disconnected")]
pub struct Disconnected;

/// A caller, or a peer that relayed its request. If it is dropped before [`Sink::finish`], the
/// receiver sees that the answer is incomplete.
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
    /// [`Disconnected`].
    pub async fn send_head(
        &mut self,
        answer: &Answer,
        ticket: Option<&str>,
    ) -> Result<(), Disconnected> {
        match self {
            Self::Caller(stream) => {
                let sent = stream.send_response(answer.head(ticket)).await;
                sent.map_err(|_| Disconnected)
            }
            Self::Peer(sender) => {
                let head = relay::Answer {
                    status: answer.status.as_u16(),
                    headers: Fields::new(&answer.headers),
                    outcome: answer.outcome,
                    kind: answer.kind,
                };
                sender.send_answer(&head).await.map_err(|_| Disconnected)
            }
        }
    }

    /// Sends a piece of the body.
    ///
    /// # Errors
    ///
    /// [`Disconnected`].
    pub async fn send_data(&mut self, bytes: Bytes) -> Result<(), Disconnected> {
        if bytes.is_empty() {
            return Ok(());
        }
        match self {
            Self::Caller(stream) => stream.send_data(bytes).await.map_err(|_| Disconnected),
            Self::Peer(sender) => sender.send_data(bytes).await.map_err(|_| Disconnected),
        }
    }

    /// Ends a complete answer.
    ///
    /// # Errors
    ///
    /// [`Disconnected`].
    pub async fn finish(mut self) -> Result<(), Disconnected> {
        match &mut self {
            Self::Caller(stream) => stream.finish().await.map_err(|_| Disconnected),
            Self::Peer(sender) => sender
                .send_chunk(&Chunk::End)
                .await
                .map_err(|_| Disconnected),
        }
    }

    /// Ends an incomplete answer.
    pub fn abort(mut self) {
        if let Self::Caller(stream) = &mut self {
            stream.stop_stream(Code::H3_INTERNAL_ERROR);
        }
    }
}
