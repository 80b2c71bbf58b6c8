//! The body of an answer that is still arriving.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error as ThisError;

use super::Driver;
use crate::relay::{self, Chunk};

/// The body broke off before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
#[error("the answer's body was cut")]
pub struct Broken;

/// Reads a body piece by piece. Dropped before its end, it closes the connection it comes from.
#[derive(Debug)]
pub enum Outflow {
    /// From the upstream; with the connection and what feeds the request's body.
    Upstream(Incoming, Driver, Option<Driver>),
    /// From a peer; with what sends it the request's body.
    Peer(relay::Receiver, Driver),
}

impl Outflow {
    /// The next piece; `None` after the last one.
    ///
    /// # Errors
    ///
    /// [`Broken`].
    pub async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        match self {
            Self::Upstream(body, _, _) => piece(body).await,
            Self::Peer(receiver, _) => match receiver.chunk().await {
                Ok(Chunk::Data(bytes)) => Ok(Some(bytes)),
                Ok(Chunk::End) => Ok(None),
                Ok(Chunk::TooLarge) | Err(_) => Err(Broken),
            },
        }
    }
}

/// Reads the next piece of a body, passing over trailers.
async fn piece(body: &mut Incoming) -> Result<Option<Bytes>, Broken> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(Broken),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}
