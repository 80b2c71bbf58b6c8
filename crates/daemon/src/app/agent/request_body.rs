//! Request bodies on the way to the upstream or a peer agent.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error as ThisError;
use tokio::sync::mpsc;

/// Pieces queued on the way, of at most 128 KiB each.
const MAX_QUEUED_PIECES: usize = 4;

/// Why a body ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
pub enum Cut {
    /// The caller stopped sending.
    #[error("the request body ended before it was complete")]
    Incomplete,
    /// The body is larger than the service allows.
    #[error("the request body is too large")]
    TooLarge,
}

/// One step of a body.
#[derive(Debug)]
pub enum Piece {
    /// Some bytes.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body ends here without being complete.
    Cut(Cut),
}

/// A complete body or one that is still arriving. Without [`Piece::End`] it ends in [`Cut`], so
/// that an incomplete body never looks complete to the upstream.
#[derive(Debug)]
pub enum RequestBody {
    /// The complete body; `None` if it is empty or was read.
    Whole(Option<Bytes>),
    /// The pieces and the length, if it is known.
    Stream(mpsc::Receiver<Piece>, Option<u64>),
    /// Everything was read, or the body was cut.
    Ended,
}

impl RequestBody {
    /// A body of `length` bytes, if it is known, and the sender that fills it.
    pub fn stream(length: Option<u64>) -> (mpsc::Sender<Piece>, Self) {
        let (sender, pieces) = mpsc::channel(MAX_QUEUED_PIECES);
        (sender, Self::Stream(pieces, length))
    }

    /// A complete body.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// The next piece, with [`Piece::End`] after the last one.
    pub async fn next(&mut self) -> Piece {
        match self {
            Self::Whole(bytes) => bytes.take().map_or(Piece::End, Piece::Data),
            Self::Stream(pieces, _) => pieces.recv().await.unwrap_or(Piece::Cut(Cut::Incomplete)),
            Self::Ended => Piece::End,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let piece = match &mut *self {
            Self::Whole(bytes) => bytes.take().map_or(Piece::End, Piece::Data),
            Self::Stream(pieces, _) => {
                ready!(pieces.poll_recv(cx)).unwrap_or(Piece::Cut(Cut::Incomplete))
            }
            Self::Ended => Piece::End,
        };
        Poll::Ready(match piece {
            Piece::Data(bytes) => Some(Ok(Frame::data(bytes))),
            Piece::End => {
                *self = Self::Ended;
                None
            }
            Piece::Cut(cut) => {
                *self = Self::Ended;
                Some(Err(cut))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None) | Self::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_, Some(length)) => SizeHint::with_exact(*length),
            Self::Stream(_, None) => SizeHint::default(),
            Self::Ended => SizeHint::with_exact(0),
        }
    }
}
