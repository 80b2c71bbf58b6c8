//! Bodies of answers that are still arriving.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error as ThisError;

use super::AbortOnDrop;
use crate::relay::{self, Chunk};

/// The connection broke before the body's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
#[error("the answer's body ended before it was complete")]
pub struct Truncated;

/// A body that is read piece by piece. Dropping it before its end closes its connection.
#[derive(Debug)]
pub enum ResponseBody {
    /// From the upstream, with the connection's task and the task that sends the request's body.
    Upstream(Incoming, AbortOnDrop, Option<AbortOnDrop>),
    /// From a peer, with the task that sends the request's body to it.
    Peer(relay::Receiver, AbortOnDrop),
}

impl ResponseBody {
    /// The next piece; `None` after the last one.
    ///
    /// # Errors
    ///
    /// [`Truncated`].
    pub async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        match self {
            Self::Upstream(body, _, _) => piece(body).await,
            Self::Peer(receiver, _) => match receiver.receive_chunk().await {
                Ok(Chunk::Data(bytes)) => Ok(Some(bytes)),
                Ok(Chunk::End) => Ok(None),
                Ok(Chunk::TooLarge) | Err(_) => Err(Truncated),
            },
        }
    }
}

/// Reads the next piece of a body and skips trailers.
async fn piece(body: &mut Incoming) -> Result<Option<Bytes>, Truncated> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(Truncated),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}
