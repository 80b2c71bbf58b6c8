//! A body that is sent piece by piece.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, combinators::BoxBody};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

use super::Cut;

/// Pieces buffered between the producer and the connection.
const BUFFER: usize = 16;

/// The connection's end of a body that is sent piece by piece. An error breaks the connection.
#[derive(Debug)]
pub struct Stream {
    pieces: mpsc::Receiver<Result<Bytes, Cut>>,
}

impl Stream {
    /// A producer and the body that it feeds. The producer is closed when the caller leaves.
    pub fn open() -> (mpsc::Sender<Result<Bytes, Cut>>, BoxBody<Bytes, Cut>) {
        let (sender, pieces) = mpsc::channel(BUFFER);
        (sender, Self { pieces }.boxed())
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let piece = self.pieces.poll_recv(context);
        piece.map(|piece| piece.map(|bytes| bytes.map(Frame::data)))
    }
}
