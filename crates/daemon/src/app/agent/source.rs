//! Request bodies as they arrive.

use bytes::{Buf, Bytes, BytesMut};
use h3::server::RequestStream;
use http::{HeaderMap, header};
use sassafrasmast_core::error::Kind;
use tokio::sync::mpsc;

use super::{AbortOnDrop, Cut, Piece, RequestBody};
use crate::http3::Receiver;

/// Bodies up to this size are read completely before the agent state machine decides about the
/// request, so that a slow sender occupies no slot and the request can be sent again to another
/// agent.
pub const MAX_BUFFERED_REQUEST_BYTES: usize = 64 * 1_024;

/// Where a body comes from.
pub enum Origin {
    /// The request stream of a caller.
    Caller(RequestStream<Receiver, Bytes>),
    /// A peer that relays the request.
    Peer(RequestBody),
}

/// A body whose start, or all of it, is buffered.
pub struct Source {
    start: Bytes,
    rest: Rest,
    length: Option<u64>,
    limit: u64,
}

/// What follows the buffered start.
enum Rest {
    Empty,
    Remaining(Origin),
    /// It was passed to an attempt and cannot be sent again.
    Consumed,
}

impl Source {
    /// Buffers the start of a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`Kind::BodyTooLarge`], [`Kind::BadRequest`] if the length differs from the declared content
    /// length, or [`Kind::Cancelled`] if the caller stopped sending before the end.
    pub async fn read(mut origin: Origin, headers: &HeaderMap, limit: u64) -> Result<Self, Kind> {
        let length = content_length(headers)?;
        if length.is_some_and(|length| length > limit) {
            return Err(Kind::BodyTooLarge);
        }
        let mut start = BytesMut::new();
        let rest = loop {
            match origin.next().await {
                Piece::Data(bytes) => start.extend_from_slice(&bytes),
                Piece::End => break Rest::Empty,
                Piece::Cut(_) => return Err(Kind::Cancelled),
            }
            if start.len() as u64 > limit {
                return Err(Kind::BodyTooLarge);
            }
            if start.len() >= MAX_BUFFERED_REQUEST_BYTES {
                break Rest::Remaining(origin);
            }
        };
        let whole = matches!(rest, Rest::Empty);
        if whole && length.is_some_and(|length| length != start.len() as u64) {
            return Err(Kind::BadRequest);
        }
        Ok(Self {
            length: if whole {
                Some(start.len() as u64)
            } else {
                length
            },
            start: start.freeze(),
            rest,
            limit,
        })
    }

    /// Length of the body, if it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// The first [`MAX_BUFFERED_REQUEST_BYTES`] of the body, independent of the pieces in which it
    /// arrived.
    pub fn start(&self) -> &[u8] {
        &self.start[..self.start.len().min(MAX_BUFFERED_REQUEST_BYTES)]
    }

    /// The body for one attempt and the task that sends it; `None` if it was passed to an earlier
    /// attempt and can't be sent again.
    pub fn body(&mut self) -> Option<(RequestBody, Option<AbortOnDrop>)> {
        match std::mem::replace(&mut self.rest, Rest::Consumed) {
            Rest::Empty => {
                self.rest = Rest::Empty;
                Some((RequestBody::whole(self.start.clone()), None))
            }
            Rest::Consumed => None,
            Rest::Remaining(origin) => {
                let (pieces, body) = RequestBody::stream(self.length);
                let copy_body =
                    copy_body(std::mem::take(&mut self.start), origin, pieces, self.limit);
                Some((body, Some(AbortOnDrop::spawn(copy_body))))
            }
        }
    }
}

impl Origin {
    /// The next piece of the body.
    async fn next(&mut self) -> Piece {
        match self {
            Self::Peer(body) => body.next().await,
            Self::Caller(stream) => match stream.recv_data().await {
                Ok(Some(mut data)) => Piece::Data(data.copy_to_bytes(data.remaining())),
                Ok(None) => Piece::End,
                Err(_) => Piece::Cut(Cut::Incomplete),
            },
        }
    }
}

/// Copies a body from its origin to an attempt and enforces its size limit.
async fn copy_body(start: Bytes, mut origin: Origin, pieces: mpsc::Sender<Piece>, limit: u64) {
    let mut seen = start.len() as u64;
    let mut piece = Piece::Data(start);
    loop {
        let last = !matches!(piece, Piece::Data(_));
        if pieces.send(piece).await.is_err() || last {
            return;
        }
        piece = origin.next().await;
        if let Piece::Data(bytes) = &piece {
            seen += bytes.len() as u64;
            if seen > limit {
                piece = Piece::Cut(Cut::TooLarge);
            }
        }
    }
}

/// The declared content length of a body.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Kind> {
    let mut values = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Kind::BadRequest);
    }
    let text = value.to_str().map_err(|_| Kind::BadRequest)?;
    text.parse().map(Some).map_err(|_| Kind::BadRequest)
}
