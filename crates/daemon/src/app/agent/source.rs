//! The body of a request as it arrives.

use bytes::{Buf, Bytes, BytesMut};
use h3::server::RequestStream;
use http::{HeaderMap, header};
use sassafrasmast_core::error::Kind;
use tokio::sync::mpsc;

use super::{Cut, Driver, Inflow, Piece};
use crate::http3::Receiver;

/// Bodies up to this size are read whole before the request is admitted: a slow sender then holds
/// no slot, and the request can be sent again elsewhere.
pub const WHOLE_BYTES: usize = 64 * 1_024;

/// Where a body comes from.
pub enum Origin {
    /// A caller's request stream.
    Caller(RequestStream<Receiver, Bytes>),
    /// A peer that relays the request.
    Peer(Inflow),
}

/// A body of which the beginning, or all, was read.
pub struct Source {
    start: Bytes,
    rest: Rest,
    length: Option<u64>,
    limit: u64,
}

/// What comes after the beginning.
enum Rest {
    Nothing,
    More(Origin),
    /// It was handed over once and cannot be repeated.
    Spent,
}

impl Source {
    /// Reads the beginning of a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`Kind::BodyTooLarge`], [`Kind::BadRequest`] if it does not fit its content length, or
    /// [`Kind::Cancelled`] if the caller broke it off.
    pub async fn read(mut origin: Origin, headers: &HeaderMap, limit: u64) -> Result<Self, Kind> {
        let length = content_length(headers)?;
        if length.is_some_and(|length| length > limit) {
            return Err(Kind::BodyTooLarge);
        }
        let mut start = BytesMut::new();
        let rest = loop {
            match origin.next().await {
                Piece::Data(bytes) => start.extend_from_slice(&bytes),
                Piece::End => break Rest::Nothing,
                Piece::Cut(_) => return Err(Kind::Cancelled),
            }
            if start.len() as u64 > limit {
                return Err(Kind::BodyTooLarge);
            }
            if start.len() >= WHOLE_BYTES {
                break Rest::More(origin);
            }
        };
        let whole = matches!(rest, Rest::Nothing);
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

    /// The first [`WHOLE_BYTES`] of the body, however it came in pieces.
    pub fn start(&self) -> &[u8] {
        &self.start[..self.start.len().min(WHOLE_BYTES)]
    }

    /// The body for one attempt and what feeds it; `None` if it cannot be repeated.
    pub fn body(&mut self) -> Option<(Inflow, Option<Driver>)> {
        match std::mem::replace(&mut self.rest, Rest::Spent) {
            Rest::Nothing => {
                self.rest = Rest::Nothing;
                Some((Inflow::whole(self.start.clone()), None))
            }
            Rest::Spent => None,
            Rest::More(origin) => {
                let (pieces, body) = Inflow::stream(self.length);
                let pump = pump(std::mem::take(&mut self.start), origin, pieces, self.limit);
                Some((body, Some(Driver::spawn(pump))))
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
                Err(_) => Piece::Cut(Cut::Short),
            },
        }
    }
}

/// Moves the rest of a body, watching its size.
async fn pump(start: Bytes, mut origin: Origin, pieces: mpsc::Sender<Piece>, limit: u64) {
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

/// The declared length of a body.
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
